//! A replica of the state that the records of one stream produce. Does no I/O.
//!
//! The replica starts from offset 0 if the log still keeps it. Otherwise, and after a
//! gap, it buffers records until it has a complete snapshot and all records that follow
//! the snapshot; then it loads the snapshot and replays those records. The current state
//! is replaced only by a later one, so it never goes back.

use swiftlink_wire::log::{LogRecord, SnapshotChunk};

use crate::buffer::Buffer;
use crate::snapshot::{Collected, Collector, Snapshot};
use crate::{Fold, Step};

/// Why a page was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// The page omits a record that the log still keeps; read again from
    /// [`Replica::next`]. No record was applied.
    #[error("page starts at offset {found}, expected {expected}")]
    Hole {
        /// Offset to read next.
        expected: u64,
        /// Offset of the page's first record that is not before `expected`.
        found: u64,
    },
}

/// Monotonic counters of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaStats {
    /// Records that the fold could not decode.
    pub malformed: u64,
    /// Snapshots and chunks that were rejected: inconsistent, with a wrong hash,
    /// undecodable, or of an offset that is not before the chunk itself.
    pub invalid: u64,
    /// Number of times that records were trimmed before they were read.
    pub gaps: u64,
    /// Snapshots loaded.
    pub loads: u64,
}

/// Applies the records of one stream in order, for any paging and with duplicates.
#[derive(Debug)]
pub struct Replica<F: Fold> {
    next: u64,
    state: Option<F>,
    /// Offset after the last record applied to `state`.
    applied: u64,
    /// Set while records are missing between `state` and `next`.
    loading: Option<Buffer>,
    collector: Collector,
    /// Offset of the newest complete snapshot.
    newest: Option<u64>,
    /// Offsets of the snapshot chunks after the offset of the newest complete snapshot.
    chunks: Vec<u64>,
    stats: ReplicaStats,
}

type Fates<F> = Vec<(u64, <F as Fold>::Fate)>;

impl<F: Fold> Replica<F> {
    /// Creates a replica that has read nothing.
    #[must_use]
    pub fn new() -> Self {
        Self {
            next: 0,
            state: None,
            applied: 0,
            loading: None,
            collector: Collector::new(),
            newest: None,
            chunks: Vec::new(),
            stats: ReplicaStats::default(),
        }
    }

    /// Offset to read next.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Whether every record before [`Replica::next`] is applied to the state.
    ///
    /// False until the first page is fed. A reader that needs the whole content of the
    /// log must also compare [`Replica::next`] with the end of the log.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_some() && self.loading.is_none()
    }

    /// The current state, which remains available while a later one is loaded after a
    /// gap.
    ///
    /// `None` before the first page and until the first state is loaded.
    #[must_use]
    pub fn state(&self) -> Option<&F> {
        self.state.as_ref()
    }

    /// Offset after the last record applied to [`Replica::state`].
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Number of records after the offset of the newest complete snapshot, without
    /// snapshot chunks.
    #[must_use]
    pub fn since_snapshot(&self) -> u64 {
        let from = self.newest.map_or(0, |offset| offset + 1);
        let records = self.next.saturating_sub(from);
        records.saturating_sub(self.chunks.len() as u64)
    }

    /// Offset of the newest complete snapshot.
    #[must_use]
    pub fn newest_snapshot(&self) -> Option<u64> {
        self.newest
    }

    /// Counters of the replica.
    #[must_use]
    pub fn stats(&self) -> ReplicaStats {
        self.stats
    }

    /// Processes a page; `first` is the oldest offset that its sender keeps.
    ///
    /// Returns the fates of the records applied, in offset order. Ignores records before
    /// [`Replica::next`] and those after a missing record. When the log responds that
    /// the offset was trimmed, call this with the new `first` and no records.
    ///
    /// # Errors
    /// When the page begins after [`Replica::next`] although `first` does not.
    pub fn feed(
        &mut self,
        first: u64,
        records: &[LogRecord],
    ) -> Result<Vec<(u64, F::Fate)>, ReplicaError> {
        if first > self.next {
            self.start_loading(first);
        } else if self.state.is_none() && self.loading.is_none() {
            // The log still keeps offset 0, so the empty state is correct.
            self.state = Some(F::empty());
        }

        let start = self.next;
        let mut fates = Vec::new();
        for record in records {
            if record.offset < self.next {
                continue;
            }
            if record.offset > self.next {
                if self.next > start {
                    break;
                }
                return Err(ReplicaError::Hole {
                    expected: self.next,
                    found: record.offset,
                });
            }
            self.next += 1;
            self.process(record, &mut fates);
        }

        if let Some(buffer) = &mut self.loading {
            buffer.trim(first);
        }
        Ok(fates)
    }

    /// Starts over at `first`: earlier records are lost, so a snapshot is needed.
    fn start_loading(&mut self, first: u64) {
        self.stats.gaps += 1;
        self.next = first;
        self.loading = Some(Buffer::new(first));
    }

    fn process(&mut self, record: &LogRecord, fates: &mut Fates<F>) {
        let Some(buffer) = &mut self.loading else {
            self.apply(record.offset, &record.data, fates);
            return;
        };

        let Some(chunk) = F::chunk(record.offset, &record.data) else {
            buffer.push(Some(&record.data));
            return;
        };
        buffer.push(None);
        if let Some(snapshot) = self.collect(record.offset, chunk) {
            self.load(snapshot, fates);
        }
    }

    fn apply(&mut self, offset: u64, data: &[u8], fates: &mut Fates<F>) {
        let state = self.state.as_mut().expect("a ready replica has a state");
        let step = state.apply(offset, data);
        self.applied = offset + 1;

        match step {
            Step::Fate(fate) => fates.push((offset, fate)),
            Step::Malformed => self.stats.malformed += 1,
            Step::Snapshot(chunk) => {
                self.collect(offset, chunk);
            }
        }
    }

    /// Adds the chunk in the record at `at`; returns the snapshot that it completes.
    fn collect(&mut self, at: u64, chunk: SnapshotChunk) -> Option<Snapshot> {
        self.chunks.push(at);
        if chunk.offset >= at {
            // No writer can know the state after a record that is not written yet.
            self.stats.invalid += 1;
            return None;
        }
        if self.newest.is_some_and(|newest| chunk.offset <= newest) {
            return None;
        }

        match self.collector.add(chunk) {
            Collected::Partial => None,
            Collected::Invalid => {
                self.stats.invalid += 1;
                None
            }
            Collected::Complete(snapshot) => {
                self.set_newest(snapshot.offset);
                Some(snapshot)
            }
        }
    }

    fn set_newest(&mut self, offset: u64) {
        self.newest = Some(offset);
        self.chunks.retain(|chunk| *chunk > offset);
        self.collector.forget(offset);
    }

    /// Loads a snapshot and replays the buffered records after it.
    fn load(&mut self, snapshot: Snapshot, fates: &mut Fates<F>) {
        let Some(buffer) = self.loading.take() else {
            return;
        };
        let after = snapshot.offset + 1;
        if after < buffer.base() || after < self.applied {
            self.loading = Some(buffer);
            return;
        }
        let Ok(state) = F::decode(&snapshot.state) else {
            self.stats.invalid += 1;
            self.loading = Some(buffer);
            return;
        };

        self.state = Some(state);
        self.stats.loads += 1;
        self.applied = after;
        for (offset, data) in buffer.after(snapshot.offset) {
            self.apply(offset, data, fates);
        }
        self.applied = self.next;
    }
}

impl<F: Fold> Default for Replica<F> {
    fn default() -> Self {
        Self::new()
    }
}
