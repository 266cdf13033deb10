//! A followed stream: its folded state, its staleness, and the records kept for followers.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use swiftlink_log::{Fold, Replica, ReplicaError};
use swiftlink_types::{MICROS_PER_MS, Micros, StreamName};
use swiftlink_wire::link::Page;
use swiftlink_wire::log::LogRecord;
use tokio::sync::watch;

use crate::clock::{Clock, UNKNOWN_AGE_MS, lock};
use crate::tail::Tail;

/// Largest total size of the records in one served page (bytes).
const MAX_PAGE_BYTES: usize = 1024 * 1024;

/// Receives the fates of a stream's records as they are folded.
pub trait Sink<T>: Send + Sync + 'static {
    /// Called when the records at these offsets were decided. The state then holds all
    /// records below `next`.
    fn on_decided(&self, fates: Vec<(u64, T)>, next: u64);
}

/// A sink that ignores all fates.
#[derive(Debug, Clone, Copy)]
pub struct NoSink;

impl<T> Sink<T> for NoSink {
    fn on_decided(&self, _fates: Vec<(u64, T)>, _next: u64) {}
}

/// A stream that this process follows and folds.
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
    /// Latest time at which the state held every record up to the log's end.
    end_known_at: Option<Micros>,
}

/// Progress of a stream, for the status, the dump and the snapshot schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Offset to read next.
    pub next: u64,
    /// Whether the state holds every record before `next`.
    pub ready: bool,
    /// Number of records since the newest complete snapshot.
    pub since_snapshot: u64,
    /// Offset of the newest complete snapshot seen.
    pub snapshot: Option<u64>,
    /// Oldest offset that can be served.
    pub first: u64,
    /// Total size of the records kept for followers (bytes).
    pub tail_bytes: usize,
    /// Number of records that couldn't be decoded.
    pub malformed: u64,
    /// Number of times that records were trimmed before they were read.
    pub gaps: u64,
}

impl<F: Fold> Stream<F> {
    /// Creates a stream of which nothing was read yet. Keeps the records since the newest
    /// snapshot, at most `limit` bytes. Fates are passed to `sink`.
    #[must_use]
    pub fn new(name: StreamName, clock: Clock, limit: usize, sink: Arc<dyn Sink<F::Fate>>) -> Self {
        let inner = Inner {
            replica: Replica::new(),
            tail: Tail::default(),
            end_known_at: None,
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

    /// Returns a receiver that is notified when records were folded.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.next.subscribe()
    }

    /// Folds a page of records. `first` is the oldest offset that its sender keeps, and
    /// `end` was the end of the log at the time `end_known_at`.
    ///
    /// # Errors
    /// When the page has a gap in its records; it must be read again.
    pub fn feed(
        &self,
        first: u64,
        records: &[LogRecord],
        end: u64,
        end_known_at: Micros,
    ) -> Result<(), ReplicaError> {
        let mut inner = lock(&self.inner);
        let before = inner.replica.next();
        let fates = inner.replica.feed(first, records)?;
        let next = inner.replica.next();
        inner.keep_records(first, records, self.limit);
        if inner.replica.is_ready() && next >= end {
            inner.end_known_at = inner.end_known_at.max(Some(end_known_at));
        }
        // Called with the lock held, so that the sink gets fates and offsets in order.
        if inner.replica.is_ready() {
            self.sink.on_decided(fates, next);
        }
        drop(inner);
        if next != before {
            self.next.send_replace(next);
        }
        Ok(())
    }

    /// Folds a record that this process appended itself, if it is the next one; otherwise
    /// the follower will read it. The append was sent at `sent`.
    pub fn offer(&self, record: LogRecord, sent: Micros) {
        if record.offset != self.next() {
            return;
        }
        let end = record.offset + 1;
        // Ignored if the follower has read the record in the meantime.
        let _result = self.feed(0, &[record], end, sent);
    }

    /// Locks the stream for access to its state.
    #[must_use]
    pub fn state(&self) -> StateGuard<'_, F> {
        StateGuard(lock(&self.inner))
    }

    /// Time since the state last reached the end of the log, in milliseconds;
    /// [`UNKNOWN_AGE_MS`] if it never did.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let known = lock(&self.inner).end_known_at;
        let age = known.map(|known| self.clock.now().saturating_sub(known) / MICROS_PER_MS);
        age.unwrap_or(UNKNOWN_AGE_MS).min(UNKNOWN_AGE_MS)
    }

    /// Page of records from `from` on, for followers.
    #[must_use]
    pub fn page(&self, from: u64) -> Page {
        let age_ms = self.age_ms();
        let inner = lock(&self.inner);
        Page {
            first: inner.tail.first(),
            next: inner.tail.next(),
            records: inner.tail.read(from, MAX_PAGE_BYTES),
            age_ms,
        }
    }

    /// Progress of the stream.
    #[must_use]
    pub fn progress(&self) -> Progress {
        let inner = lock(&self.inner);
        let stats = inner.replica.stats();
        Progress {
            next: inner.replica.next(),
            ready: inner.replica.is_ready() && inner.end_known_at.is_some(),
            since_snapshot: inner.replica.since_snapshot(),
            snapshot: inner.replica.newest_snapshot(),
            first: inner.tail.first(),
            tail_bytes: inner.tail.bytes(),
            malformed: stats.malformed,
            gaps: stats.gaps,
        }
    }

    /// Offset of the last folded record and the encoded state, for a snapshot. `None` if
    /// the state doesn't hold all records.
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
    fn keep_records(&mut self, first: u64, records: &[LogRecord], limit: usize) {
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

/// Access to a stream's state under its lock. Blocks the stream's follower, so it should
/// be held only briefly.
pub struct StateGuard<'a, F: Fold>(MutexGuard<'a, Inner<F>>);

impl<F: Fold> StateGuard<'_, F> {
    /// The last valid state, which may lag behind the log.
    #[must_use]
    pub fn get(&self) -> Option<&F> {
        self.0.replica.state()
    }

    /// The state, if it holds all records up to a known end of the log.
    #[must_use]
    pub fn current(&self) -> Option<&F> {
        let current = self.0.replica.is_ready() && self.0.end_known_at.is_some();
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
