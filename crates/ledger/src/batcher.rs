//! Group commit of one stream, free of I/O: collects records into batches and tracks them
//! until they are folded.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use prost::Message;
use swiftlink_types::{Incarnation, WallMs};
use swiftlink_wire::log::{Batch, Charges, Fate, Record, record};

use crate::void::{VoidCharge, void_charges};

/// Largest total size of the records in one batch, and so in one entry (bytes).
pub const MAX_BATCH_BYTES: usize = 256 * 1024;
/// Largest number of records in one batch, and so in one entry.
pub const MAX_BATCH_RECORDS: usize = 4_096;

/// Identifies an entry, and with it the caller that waits for its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EntryId(u64);

/// An entry was refused because too many bytes wait for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too much waits for the log")]
pub struct QueueFull;

/// Outcome of an entry's records.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryOutcome {
    /// One fate per record, in the order of the records.
    pub fates: Vec<Fate>,
    /// Offset of the batch that was folded.
    pub offset: u64,
    /// Charges among the records that are void.
    pub void: Vec<VoidCharge>,
}

/// Collects entries into batches, with one append in flight at a time.
///
/// A batch is appended with the same bytes until it is folded; the fold ignores a
/// second copy. Entries keep their order.
#[derive(Debug)]
pub struct Batcher {
    writer: String,
    epoch: u64,
    limit: usize,
    bytes: usize,
    last_id: u64,
    last_seq: u64,
    queue: VecDeque<Entry>,
    unfolded: BTreeMap<u64, UnfoldedBatch>,
    in_flight: Option<u64>,
    charges: HashMap<Incarnation, u64>,
}

#[derive(Debug)]
struct Entry {
    id: EntryId,
    records: Vec<Record>,
    size: usize,
    has_charges: bool,
}

#[derive(Debug)]
struct UnfoldedBatch {
    data: Bytes,
    entries: Vec<Entry>,
    /// Offset that the log returned; `None` while no append is known to have succeeded.
    offset: Option<u64>,
}

impl Batcher {
    /// Creates a batcher for `writer`, started at `epoch`, that holds at most `limit` bytes
    /// of records.
    #[must_use]
    pub fn new(writer: &str, epoch: u64, limit: usize) -> Self {
        Self {
            writer: writer.to_owned(),
            epoch,
            limit,
            bytes: 0,
            last_id: 0,
            last_seq: 0,
            queue: VecDeque::new(),
            unfolded: BTreeMap::new(),
            in_flight: None,
            charges: HashMap::new(),
        }
    }

    /// Queues an entry of records that go into the same batch.
    ///
    /// Entries with charges are never dropped. Others are when no caller waits for them any more
    /// and they were not sent yet, see [`Batcher::cancel`].
    ///
    /// # Errors
    /// [`QueueFull`] when the batcher would exceed its limit.
    pub fn add(&mut self, records: Vec<Record>) -> Result<EntryId, QueueFull> {
        let size = records.iter().map(Message::encoded_len).sum::<usize>();
        if self.bytes + size > self.limit {
            return Err(QueueFull);
        }
        self.bytes += size;
        let has_charges = charges_of(&records).next().is_some();
        self.count_charges(&records);
        self.last_id += 1;
        let id = EntryId(self.last_id);
        self.queue.push_back(Entry {
            id,
            records,
            size,
            has_charges,
        });
        Ok(id)
    }

    /// Drops an entry that no caller waits for, unless it was sent or holds charges. Returns
    /// whether it was dropped; if so, it certainly won't be appended.
    pub fn cancel(&mut self, id: EntryId) -> bool {
        let Ok(at) = self.queue.binary_search_by_key(&id, |entry| entry.id) else {
            return false;
        };
        if self.queue[at].has_charges {
            return false;
        }
        if let Some(entry) = self.queue.remove(at) {
            self.bytes -= entry.size;
        }
        true
    }

    /// Whether [`Batcher::next_batch`] would return a batch.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.in_flight.is_none() && (!self.queue.is_empty() || self.next_retry().is_some())
    }

    /// Returns the number and bytes of the batch to append now, if any: the first one to
    /// retry, or else a new one. It is in flight until [`Batcher::on_append_result`] or
    /// [`Batcher::on_folded`].
    pub fn next_batch(&mut self, stamp_ms: WallMs) -> Option<(u64, Bytes)> {
        if self.in_flight.is_some() {
            return None;
        }
        let seq = match self.next_retry() {
            Some(seq) => seq,
            None => self.build_batch(stamp_ms)?,
        };
        self.in_flight = Some(seq);
        let batch = self.unfolded.get(&seq)?;
        Some((seq, batch.data.clone()))
    }

    /// Records that the append of batch `seq` ended, with an offset or with an error
    /// (`None`), after which the same batch is appended again.
    pub fn on_append_result(&mut self, seq: u64, offset: Option<u64>) {
        if self.in_flight == Some(seq) {
            self.in_flight = None;
        }
        if let Some(batch) = self.unfolded.get_mut(&seq) {
            batch.offset = offset;
        }
    }

    /// Records that batch `seq` was folded at `offset`, and returns the outcomes of its
    /// entries. Later copies of the batch return nothing.
    pub fn on_folded(
        &mut self,
        seq: u64,
        offset: u64,
        fates: Vec<Fate>,
    ) -> Vec<(EntryId, EntryOutcome)> {
        if self.in_flight == Some(seq) {
            self.in_flight = None;
        }
        let Some(batch) = self.unfolded.remove(&seq) else {
            return Vec::new();
        };
        let mut fates = fates.into_iter();
        let mut outcomes = Vec::new();
        for entry in batch.entries {
            self.bytes -= entry.size;
            self.uncount_charges(&entry.records);
            let fates: Vec<Fate> = fates.by_ref().take(entry.records.len()).collect();
            let void = void_charges(&entry.records, &fates);
            let outcome = EntryOutcome {
                fates,
                offset,
                void,
            };
            outcomes.push((entry.id, outcome));
        }
        outcomes
    }

    /// Records that the fold is past all offsets below `next`. A batch appended below
    /// `next` that wasn't folded individually was skipped by loading a snapshot: it is
    /// appended again to learn its fates.
    pub fn on_advanced(&mut self, next: u64) {
        for batch in self.unfolded.values_mut() {
            if batch.offset.is_some_and(|offset| offset < next) {
                batch.offset = None;
            }
        }
    }

    /// Whether batch `seq` isn't folded yet.
    #[must_use]
    pub fn is_unfolded(&self, seq: u64) -> bool {
        self.unfolded.contains_key(&seq)
    }

    /// Number of charges of `incarnation` that aren't folded yet.
    #[must_use]
    pub fn pending(&self, incarnation: &Incarnation) -> u64 {
        self.charges.get(incarnation).copied().unwrap_or(0)
    }

    /// Number of charges of all incarnations that aren't folded yet.
    #[must_use]
    pub fn pending_total(&self) -> u64 {
        self.charges.values().sum()
    }

    /// Copies of all charges that aren't folded yet.
    #[must_use]
    pub fn pending_charges(&self) -> Vec<Charges> {
        let sent = self.unfolded.values().flat_map(|batch| &batch.entries);
        let entries = sent.chain(&self.queue);
        let charges = entries.flat_map(|entry| charges_of(&entry.records));
        charges.cloned().collect()
    }

    /// Whether all entries are folded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.unfolded.is_empty()
    }

    /// Total size of the records that aren't folded yet (bytes).
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn next_retry(&self) -> Option<u64> {
        let mut waiting = self
            .unfolded
            .iter()
            .filter(|(_, batch)| batch.offset.is_none());
        waiting.next().map(|(seq, _)| *seq)
    }

    fn build_batch(&mut self, stamp_ms: WallMs) -> Option<u64> {
        let entries = self.collect_entries();
        if entries.is_empty() {
            return None;
        }
        self.last_seq += 1;
        let records = entries.iter().flat_map(|entry| &entry.records);
        let batch = Batch {
            writer: self.writer.clone(),
            writer_epoch: self.epoch,
            seq: self.last_seq,
            stamp_ms,
            records: records.cloned().collect(),
        };
        let data = Bytes::from(batch.encode_to_vec());
        let unfolded = UnfoldedBatch {
            data,
            entries,
            offset: None,
        };
        self.unfolded.insert(self.last_seq, unfolded);
        Some(self.last_seq)
    }

    fn collect_entries(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut size = 0;
        let mut count = 0;
        while let Some(entry) = self.queue.pop_front() {
            size += entry.size;
            count += entry.records.len();
            let full = size > MAX_BATCH_BYTES || count > MAX_BATCH_RECORDS;
            if full && !entries.is_empty() {
                self.queue.push_front(entry);
                break;
            }
            entries.push(entry);
        }
        entries
    }

    fn count_charges(&mut self, records: &[Record]) {
        for (incarnation, count) in charge_counts(records) {
            *self.charges.entry(incarnation).or_default() += count;
        }
    }

    fn uncount_charges(&mut self, records: &[Record]) {
        for (incarnation, count) in charge_counts(records) {
            let Some(left) = self.charges.get_mut(&incarnation) else {
                continue;
            };
            *left -= count;
            if *left == 0 {
                self.charges.remove(&incarnation);
            }
        }
    }
}

fn charges_of(records: &[Record]) -> impl Iterator<Item = &Charges> {
    records.iter().filter_map(|record| match &record.kind {
        Some(record::Kind::Charges(charges)) => Some(charges),
        _ => None,
    })
}

fn charge_counts(records: &[Record]) -> impl Iterator<Item = (Incarnation, u64)> {
    charges_of(records).filter_map(|charges| {
        let incarnation = charges.incarnation.as_ref()?;
        Some((Incarnation::from(incarnation), charges.items.len() as u64))
    })
}
