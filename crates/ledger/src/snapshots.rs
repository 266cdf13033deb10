//! Writes snapshots of the folded streams to the log.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_log::{Fold, Log, LogError, snapshot};
use swiftlink_telemetry::event;
use swiftlink_types::Micros;
use swiftlink_wire::log::{Batch, ChangeSet, Record, SnapshotChunk, record};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::contact::Contact;
use crate::duty::Duty;
use crate::stream::{Progress, Stream};

/// Pause between looks at the stream.
const TICK: Duration = Duration::from_millis(250);
/// Largest wait before a due snapshot is written.
const SPREAD: Micros = 3_000_000;
/// Wait before it is written again if it is still due.
const AGAIN: Micros = 10_000_000;
/// Tries to append one chunk.
const TRIES: u32 = 3;
/// Without an answer from the log for longer than this, others do the work.
const CONTACT_MS: u64 = 3_000;

/// When a snapshot is due. Decides without I/O.
#[derive(Debug)]
pub struct SnapshotPlan {
    every: u64,
    period: Micros,
    newest: Option<u64>,
    /// When the newest one was first seen, or the first look at a stream without one.
    seen: Option<Micros>,
    duty: Duty<Option<u64>>,
}

impl SnapshotPlan {
    /// A snapshot is due `every` so many records, and after `period` in any case.
    #[must_use]
    pub fn new(every: u64, period: Micros) -> Self {
        Self {
            every,
            period,
            newest: None,
            seen: None,
            duty: Duty::new(SPREAD, AGAIN),
        }
    }

    /// Whether to write a snapshot now. `draw` gives uniform random numbers.
    pub fn step(&mut self, now: Micros, progress: &Progress, draw: impl FnMut() -> u64) -> bool {
        if progress.snapshot != self.newest {
            self.newest = progress.snapshot;
            self.seen = Some(now);
        }
        // The clock's start says nothing: it may be the VM's, hours ago.
        let seen = *self.seen.get_or_insert(now);
        let many = progress.since_snapshot >= self.every;
        let old = progress.next > 0 && now.saturating_sub(seen) >= self.period;
        let due = progress.ready && (many || old);
        let open = due.then_some(self.newest);
        !self.duty.step(now, open, draw).is_empty()
    }
}

/// Wraps a snapshot chunk as a record of a stream.
pub type Wrap = fn(SnapshotChunk) -> Vec<u8>;

/// A chunk as a record of a budget stream.
#[must_use]
pub fn budget_record(chunk: SnapshotChunk) -> Vec<u8> {
    let kind = Some(record::Kind::Snapshot(chunk));
    let batch = Batch {
        records: vec![Record { kind }],
        ..Batch::default()
    };
    batch.encode_to_vec()
}

/// A chunk as a record of the configuration stream.
#[must_use]
pub fn config_record(chunk: SnapshotChunk) -> Vec<u8> {
    let set = ChangeSet {
        snapshot: Some(chunk),
        ..ChangeSet::default()
    };
    set.encode_to_vec()
}

/// The task that writes the snapshots of one stream.
pub struct Snapshots<F: Fold> {
    /// Stream to write snapshots of.
    pub stream: Arc<Stream<F>>,
    /// The log.
    pub log: Arc<dyn Log>,
    /// When the log was last heard from.
    pub contact: Arc<Contact>,
    /// Time source.
    pub clock: Clock,
    /// Records after which a snapshot is due.
    pub every: u64,
    /// Time after which one is due in any case.
    pub period: Micros,
    /// Form of the stream's records.
    pub wrap: Wrap,
}

impl<F: Fold> Snapshots<F> {
    /// Writes snapshots until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.watch()).await;
    }

    async fn watch(&self) {
        let mut plan = SnapshotPlan::new(self.every, self.period);
        loop {
            tokio::time::sleep(TICK).await;
            if self.contact.age_ms() > CONTACT_MS {
                continue;
            }
            let progress = self.stream.progress();
            if plan.step(self.clock.now(), &progress, rand::random) {
                self.write().await;
            }
        }
    }

    async fn write(&self) {
        let Some((offset, state)) = self.stream.encode() else {
            return;
        };
        let chunks = snapshot::split(offset, &state);
        let count = chunks.len();
        for chunk in chunks {
            let data = Bytes::from((self.wrap)(chunk));
            if let Err(error) = self.append(data).await {
                event!(
                    warn,
                    "snapshot.failed",
                    stream = self.stream.name(),
                    error = error
                );
                return;
            }
        }
        let name = self.stream.name();
        event!(
            info,
            "snapshot.written",
            stream = name,
            offset = offset,
            bytes = state.len(),
            chunks = count
        );
    }

    /// Appends one chunk. A second copy changes nothing.
    async fn append(&self, data: Bytes) -> Result<(), LogError> {
        let mut tries = 1;
        loop {
            let answer = self.log.append(self.stream.name(), data.clone()).await;
            match answer {
                Ok(_) => return Ok(()),
                Err(error) if tries == TRIES => return Err(error),
                Err(_) => tries += 1,
            }
            let pause = Duration::from_millis(rand::random_range(50..500));
            tokio::time::sleep(pause).await;
        }
    }
}

impl<F: Fold> fmt::Debug for Snapshots<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Snapshots");
        out.field("stream", self.stream.name());
        out.finish_non_exhaustive()
    }
}
