//! Schedules and writes snapshots of the folded streams to the log.

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
use crate::jitter::JitteredTasks;
use crate::log_health::LogHealth;
use crate::stream::{Progress, Stream};

/// Interval between checks of the stream.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Largest random delay before a due snapshot is written (µs).
const MAX_JITTER: Micros = 3_000_000;
/// Delay before the snapshot is written again if it is still due (µs).
const RETRY_DELAY: Micros = 10_000_000;
/// Attempts to append one chunk.
const MAX_ATTEMPTS: u32 = 3;
/// A ledger that got no answer from the log for longer than this (ms) leaves the task to
/// the others.
const MAX_LOG_AGE_MS: u64 = 3_000;

/// Decides when a snapshot is due. Free of I/O.
#[derive(Debug)]
pub struct SnapshotSchedule {
    interval: u64,
    max_age: Micros,
    newest: Option<u64>,
    /// When the newest snapshot was first seen, or the first check of a stream without one.
    newest_seen_at: Option<Micros>,
    tasks: JitteredTasks<Option<u64>>,
}

impl SnapshotSchedule {
    /// Creates a schedule by which a snapshot is due after `interval` records, and after
    /// `max_age` in any case.
    #[must_use]
    pub fn new(interval: u64, max_age: Micros) -> Self {
        Self {
            interval,
            max_age,
            newest: None,
            newest_seen_at: None,
            tasks: JitteredTasks::new(MAX_JITTER, RETRY_DELAY),
        }
    }

    /// Whether to write a snapshot now. `draw` returns uniform random numbers.
    pub fn step(&mut self, now: Micros, progress: &Progress, draw: impl FnMut() -> u64) -> bool {
        if progress.snapshot != self.newest {
            self.newest = progress.snapshot;
            self.newest_seen_at = Some(now);
        }
        // The age counts from the first check and not from the clock's origin, which may be
        // the VM's boot, hours ago.
        let newest_seen_at = *self.newest_seen_at.get_or_insert(now);
        let many = progress.since_snapshot >= self.interval;
        let old = progress.next > 0 && now.saturating_sub(newest_seen_at) >= self.max_age;
        let due = progress.ready && (many || old);
        let open = due.then_some(self.newest);
        !self.tasks.take_due(now, open, draw).is_empty()
    }
}

/// Encodes a snapshot chunk as a record of a stream.
pub type ChunkEncoder = fn(SnapshotChunk) -> Vec<u8>;

/// Encodes a chunk as a record of a budget stream.
#[must_use]
pub fn budget_record(chunk: SnapshotChunk) -> Vec<u8> {
    let kind = Some(record::Kind::Snapshot(chunk));
    let batch = Batch {
        records: vec![Record { kind }],
        ..Batch::default()
    };
    batch.encode_to_vec()
}

/// Encodes a chunk as a record of the configuration stream.
#[must_use]
pub fn config_record(chunk: SnapshotChunk) -> Vec<u8> {
    let set = ChangeSet {
        snapshot: Some(chunk),
        ..ChangeSet::default()
    };
    set.encode_to_vec()
}

/// Task that writes the snapshots of one stream.
pub struct SnapshotWriter<F: Fold> {
    /// Stream whose snapshots are written.
    pub stream: Arc<Stream<F>>,
    /// The log.
    pub log: Arc<dyn Log>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
    /// Time source.
    pub clock: Clock,
    /// Number of records after which a snapshot is due.
    pub interval: u64,
    /// Age after which a new snapshot is due in any case (µs).
    pub max_age: Micros,
    /// Encoding of a chunk as a record of the stream.
    pub encode_chunk: ChunkEncoder,
}

impl<F: Fold> SnapshotWriter<F> {
    /// Writes snapshots until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.watch()).await;
    }

    async fn watch(&self) {
        let mut schedule = SnapshotSchedule::new(self.interval, self.max_age);
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.log_health.age_ms() > MAX_LOG_AGE_MS {
                continue;
            }
            let progress = self.stream.progress();
            if schedule.step(self.clock.now(), &progress, rand::random) {
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
            let data = Bytes::from((self.encode_chunk)(chunk));
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

    /// Appends one chunk, with retries; a second copy of a chunk has no effect.
    async fn append(&self, data: Bytes) -> Result<(), LogError> {
        let mut tries = 1;
        loop {
            let answer = self.log.append(self.stream.name(), data.clone()).await;
            match answer {
                Ok(_) => return Ok(()),
                Err(error) if tries == MAX_ATTEMPTS => return Err(error),
                Err(_) => tries += 1,
            }
            let pause = Duration::from_millis(rand::random_range(50..500));
            tokio::time::sleep(pause).await;
        }
    }
}

impl<F: Fold> fmt::Debug for SnapshotWriter<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("SnapshotWriter");
        out.field("stream", self.stream.name());
        out.finish_non_exhaustive()
    }
}
