//! One followed stream: its folded state, the records kept to serve, its age.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use swiftlink_log::{Fold, Replica, ReplicaError};
use swiftlink_types::{MICROS_PER_MS, Micros, StreamName};
use swiftlink_wire::link::Page;
use swiftlink_wire::log::LogRecord;
use tokio::sync::watch;

use crate::clock::{Clock, NEVER_MS, lock};
use crate::tail::Tail;

/// Most bytes of records in one page that is served.
const PAGE_BYTES: usize = 1024 * 1024;

/// Takes the fates of a stream's records as they are folded.
pub trait Sink<T>: Send + Sync + 'static {
    /// The records at these offsets were decided; the state holds all below `next`.
    fn decided(&self, fates: Vec<(u64, T)>, next: u64);
}

/// A sink for streams whose fates nobody waits for.
#[derive(Debug, Clone, Copy)]
pub struct NoSink;

impl<T> Sink<T> for NoSink {
    fn decided(&self, _fates: Vec<(u64, T)>, _next: u64) {}
}

/// A stream that this process folds.
pub struct Stream<F: Fold> {
    name: StreamName,
    clock: Clock,
    limit: usize,
    inner: Mutex<Inner<F>>,
    next: watch::Sender<u64>,
    sink: Arc<dyn Sink<F::Fate>>,
}

struct Inner<F: Fold> {
    replica: Replica<F>,
    tail: Tail,
    known: Option<Micros>,
}

/// What is known of a stream, for status, dump and the snapshot decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Offset to read next.
    pub next: u64,
    /// Whether the state holds every record before `next`.
    pub ready: bool,
    /// Records since the newest whole snapshot.
    pub since_snapshot: u64,
    /// Offset of the newest whole snapshot seen.
    pub snapshot: Option<u64>,
    /// Oldest offset that can be served.
    pub first: u64,
    /// Bytes of records kept to serve.
    pub tail_bytes: usize,
    /// Records that could not be read.
    pub malformed: u64,
    /// Times that records were trimmed before they were read.
    pub gaps: u64,
}

impl<F: Fold> Stream<F> {
    /// A stream of which nothing was read yet. Keeps the records since the newest
    /// snapshot, at most `limit` bytes. Fates go to `sink`.
    #[must_use]
    pub fn new(name: StreamName, clock: Clock, limit: usize, sink: Arc<dyn Sink<F::Fate>>) -> Self {
        let inner = Inner {
            replica: Replica::new(),
            tail: Tail::default(),
            known: None,
        };
        Self {
            name,
            clock,
            limit,
            inner: Mutex::new(inner),
            next: watch::Sender::new(0),
            sink,
        }
    }

    /// Name of the stream.
    #[must_use]
    pub fn name(&self) -> &StreamName {
        &self.name
    }

    /// Offset to read next.
    #[must_use]
    pub fn next(&self) -> u64 {
        *self.next.borrow()
    }

    /// Tells when records were folded.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// Folds a page of which `first` is the oldest offset that its sender keeps.
    /// `end` was the end of the log at the time `known`.
    ///
    /// # Errors
    /// When the page leaves out records; it has to be read again.
    pub fn feed(
        &self,
        first: u64,
        records: &[LogRecord],
        end: u64,
        known: Micros,
    ) -> Result<(), ReplicaError> {
        let mut inner = lock(&self.inner);
        let before = inner.replica.next();
        let fates = inner.replica.feed(first, records)?;
        let next = inner.replica.next();
        inner.keep(first, records, self.limit);
        if inner.replica.is_ready() && next >= end {
            inner.known = inner.known.max(Some(known));
        }
        // Under the lock, so that the sink sees fates and offsets in order.
        if inner.replica.is_ready() {
            self.sink.decided(fates, next);
        }
        drop(inner);
        if next != before {
            self.next.send_replace(next);
        }
        Ok(())
    }

    /// Folds a record that this process appended itself, if it is the next one;
    /// otherwise the follower brings it. The append was sent at `sent`.
    pub fn offer(&self, record: LogRecord, sent: Micros) {
        if record.offset != self.next() {
            return;
        }
        let end = record.offset + 1;
        // A record that came by another way meanwhile is a copy and ignored.
        let _result = self.feed(0, &[record], end, sent);
    }

    /// The state in force, if there is one.
    #[must_use]
    pub fn state(&self) -> StateGuard<'_, F> {
        StateGuard(lock(&self.inner))
    }

    /// Time since the log's end was last known here, in milliseconds;
    /// [`NEVER_MS`] when it never was.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let known = lock(&self.inner).known;
        let age = known.map(|known| self.clock.now().saturating_sub(known) / MICROS_PER_MS);
        age.unwrap_or(NEVER_MS).min(NEVER_MS)
    }

    /// Records from `from` on, as they are served to others.
    #[must_use]
    pub fn page(&self, from: u64) -> Page {
        let age_ms = self.age_ms();
        let inner = lock(&self.inner);
        Page {
            first: inner.tail.first(),
            next: inner.tail.next(),
            records: inner.tail.read(from, PAGE_BYTES),
            age_ms,
        }
    }

    /// What is known of the stream.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let inner = lock(&self.inner);
        let stats = inner.replica.stats();
        Progress {
            next: inner.replica.next(),
            ready: inner.replica.is_ready() && inner.known.is_some(),
            since_snapshot: inner.replica.since_snapshot(),
            snapshot: inner.replica.newest_snapshot(),
            first: inner.tail.first(),
            tail_bytes: inner.tail.bytes(),
            malformed: stats.malformed,
            gaps: stats.gaps,
        }
    }

    /// The encoded state and the offset of the last record in it, for a snapshot.
    #[must_use]
    pub fn encode(&self) -> Option<(u64, Vec<u8>)> {
        let inner = lock(&self.inner);
        if !inner.replica.is_ready() {
            return None;
        }
        let offset = inner.replica.next().checked_sub(1)?;
        let state = inner.replica.state()?;
        Some((offset, state.encode()))
    }
}

impl<F: Fold> fmt::Debug for Stream<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Stream");
        out.field("name", &self.name);
        out.field("next", &self.next());
        out.finish_non_exhaustive()
    }
}

impl<F: Fold> Inner<F> {
    fn keep(&mut self, first: u64, records: &[LogRecord], limit: usize) {
        if first > self.tail.next() {
            self.tail.restart(first);
        }
        let next = self.replica.next();
        for record in records {
            if record.offset < next {
                self.tail.push(record.offset, &record.data);
            }
        }
        if let Some(snapshot) = self.replica.newest_snapshot() {
            self.tail.drop_below(snapshot + 1);
        }
        self.tail.shrink(limit);
    }
}

/// Shared access to a stream's state; holds back its follower, so keep it short.
pub struct StateGuard<'a, F: Fold>(MutexGuard<'a, Inner<F>>);

impl<F: Fold> StateGuard<'_, F> {
    /// The last state in force.
    #[must_use]
    pub fn get(&self) -> Option<&F> {
        self.0.replica.state()
    }

    /// The state, if it also holds all records up to a known end of the log.
    #[must_use]
    pub fn current(&self) -> Option<&F> {
        let current = self.0.replica.is_ready() && self.0.known.is_some();
        self.get().filter(|_| current)
    }

    /// Offset after the last record in the state.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.0.replica.applied()
    }
}

impl<F: Fold> fmt::Debug for StateGuard<'_, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StateGuard").finish_non_exhaustive()
    }
}
