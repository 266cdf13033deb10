//! A copy of the state that one stream folds to. Does no I/O.
//!
//! The replica starts from offset 0 while the log keeps it. Otherwise, and after
//! a gap, it buffers records until it has seen a whole snapshot whose later
//! records are all in the buffer; then it replays those. The state in force is
//! replaced only by a later one, so it never goes back.

use swiftlink_wire::log::{LogRecord, SnapshotChunk};

use crate::buffer::Buffer;
use crate::snapshot::{Collected, Collector, Snapshot};
use crate::{Fold, Step};

/// Why a page was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// The page leaves out a record that the log still keeps; read again from
    /// [`Replica::next`]. Nothing was folded.
    #[error("page starts at offset {found}, expected {expected}")]
    Hole {
        /// Offset to read next.
        expected: u64,
        /// First offset found after it.
        found: u64,
    },
}

/// Counts of what a replica met. All of them only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaStats {
    /// Records that the fold could not read.
    pub malformed: u64,
    /// Snapshots that were refused: wrong hash, undecodable, or from the future.
    pub broken: u64,
    /// Times that records were lost to trimming before they were read.
    pub gaps: u64,
    /// States loaded from a snapshot.
    pub loads: u64,
}

/// Folds the records of one stream, whatever the paging and the duplicates.
#[derive(Debug)]
pub struct Replica<F: Fold> {
    next: u64,
    state: Option<F>,
    /// Offset after the last record that `state` holds.
    applied: u64,
    /// Set while records are missing between `state` and `next`.
    loading: Option<Buffer>,
    collector: Collector,
    /// Offset of the newest whole snapshot.
    newest: Option<u64>,
    /// Offsets of the snapshot chunks after the newest whole snapshot's offset.
    chunks: Vec<u64>,
    stats: ReplicaStats,
}

type Fates<F> = Vec<(u64, <F as Fold>::Fate)>;

impl<F: Fold> Replica<F> {
    /// A replica that has read nothing.
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

    /// Whether the state holds every record before [`Replica::next`].
    ///
    /// Not before the first page was fed. A reader that must know the log's whole
    /// content compares [`Replica::next`] with the end of the log besides.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.is_some() && self.loading.is_none()
    }

    /// The last state in force, also while a later one is loaded after a gap.
    ///
    /// `None` before the first page and while the first state is loaded.
    #[must_use]
    pub fn state(&self) -> Option<&F> {
        self.state.as_ref()
    }

    /// Offset after the last record that [`Replica::state`] holds.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Records read since the newest whole snapshot, its chunks not counted.
    #[must_use]
    pub fn since_snapshot(&self) -> u64 {
        let from = self.newest.map_or(0, |offset| offset + 1);
        let records = self.next.saturating_sub(from);
        records.saturating_sub(self.chunks.len() as u64)
    }

    /// Offset of the newest whole snapshot seen.
    #[must_use]
    pub fn newest_snapshot(&self) -> Option<u64> {
        self.newest
    }

    /// Counts of what the replica met.
    #[must_use]
    pub fn stats(&self) -> ReplicaStats {
        self.stats
    }

    /// Takes a page; `first` is the oldest offset that its sender keeps.
    ///
    /// Returns the fates of the records that came into force, in offset order.
    /// Records before [`Replica::next`] are ignored, and so is what follows a hole.
    /// When the log answers that the offset was trimmed, feed the new `first`
    /// with no records.
    ///
    /// # Errors
    /// When the page begins after [`Replica::next`] although `first` does not.
    pub fn feed(
        &mut self,
        first: u64,
        records: &[LogRecord],
    ) -> Result<Vec<(u64, F::Fate)>, ReplicaError> {
        if first > self.next {
            self.reload(first);
        } else if self.state.is_none() && self.loading.is_none() {
            // The log still has offset 0, so the empty state is the true one.
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
            self.take(record, &mut fates);
        }

        if let Some(buffer) = &mut self.loading {
            buffer.trim(first);
        }
        Ok(fates)
    }

    /// Records before `first` are lost: from here on a snapshot is needed.
    fn reload(&mut self, first: u64) {
        self.stats.gaps += 1;
        self.next = first;
        self.loading = Some(Buffer::new(first));
    }

    fn take(&mut self, record: &LogRecord, fates: &mut Fates<F>) {
        let Some(buffer) = &mut self.loading else {
            self.fold(record.offset, &record.data, fates);
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

    fn fold(&mut self, offset: u64, data: &[u8], fates: &mut Fates<F>) {
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

    fn collect(&mut self, at: u64, chunk: SnapshotChunk) -> Option<Snapshot> {
        self.chunks.push(at);
        if chunk.offset >= at {
            // No writer knows the state after a record that was not yet written.
            self.stats.broken += 1;
            return None;
        }
        if self.newest.is_some_and(|newest| chunk.offset <= newest) {
            return None;
        }

        match self.collector.add(chunk) {
            Collected::Partial => None,
            Collected::Broken => {
                self.stats.broken += 1;
                None
            }
            Collected::Whole(snapshot) => {
                self.note(snapshot.offset);
                Some(snapshot)
            }
        }
    }

    fn note(&mut self, offset: u64) {
        self.newest = Some(offset);
        self.chunks.retain(|chunk| *chunk > offset);
        self.collector.forget(offset);
    }

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
            self.stats.broken += 1;
            self.loading = Some(buffer);
            return;
        };

        self.state = Some(state);
        self.stats.loads += 1;
        self.applied = after;
        for (offset, data) in buffer.after(snapshot.offset) {
            self.fold(offset, data, fates);
        }
        self.applied = self.next;
    }
}

impl<F: Fold> Default for Replica<F> {
    fn default() -> Self {
        Self::new()
    }
}
