//! Group commit of one stream, without I/O: what to append next and who waits for it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use prost::Message;
use swiftlink_types::{Incarnation, WallMs};
use swiftlink_wire::log::{Batch, Charges, Fate, Record, record};

use crate::void::{VoidCharge, void_charges};

/// Most bytes of records in one batch, and so in one entry.
pub const BATCH_BYTES: usize = 256 * 1024;
/// Most records in one batch, and so in one entry.
pub const BATCH_RECORDS: usize = 4_096;

/// Number of an entry, to find who waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// An entry was not taken because too much waits for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too much waits for the log")]
pub struct Full;

/// What became of an entry's records.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// One fate per record, in order.
    pub fates: Vec<Fate>,
    /// Offset of the batch that was folded.
    pub offset: u64,
    /// Charges among the records that count for nothing.
    pub void: Vec<VoidCharge>,
}

/// Collects entries into batches, one append in flight at a time.
///
/// A batch is appended with the same bytes until the fold has shown it; the
/// fold makes nothing of a second copy. Entries keep their order.
#[derive(Debug)]
pub struct Batcher {
    writer: String,
    epoch: u64,
    limit: usize,
    bytes: usize,
    last_ticket: u64,
    last_seq: u64,
    queue: VecDeque<Entry>,
    open: BTreeMap<u64, Sent>,
    flying: Option<u64>,
    charges: HashMap<Incarnation, u64>,
}

#[derive(Debug)]
struct Entry {
    ticket: Ticket,
    records: Vec<Record>,
    size: usize,
    kept: bool,
}

#[derive(Debug)]
struct Sent {
    data: Bytes,
    entries: Vec<Entry>,
    /// Offset that the log answered; nothing while no append is known to be taken.
    offset: Option<u64>,
}

impl Batcher {
    /// Batches of `writer`, in its start `epoch`, with at most `limit` bytes of
    /// records that wait for the log.
    #[must_use]
    pub fn new(writer: &str, epoch: u64, limit: usize) -> Self {
        Self {
            writer: writer.to_owned(),
            epoch,
            limit,
            bytes: 0,
            last_ticket: 0,
            last_seq: 0,
            queue: VecDeque::new(),
            open: BTreeMap::new(),
            flying: None,
            charges: HashMap::new(),
        }
    }

    /// Queues records that belong together.
    ///
    /// Charges are never dropped; other records are when nobody waits for them
    /// any more and they were not sent yet, see [`Batcher::cancel`].
    ///
    /// # Errors
    /// [`Full`] when too much waits already.
    pub fn add(&mut self, records: Vec<Record>) -> Result<Ticket, Full> {
        let size = records.iter().map(Message::encoded_len).sum::<usize>();
        if self.bytes + size > self.limit {
            return Err(Full);
        }
        self.bytes += size;
        let kept = charges_of(&records).next().is_some();
        self.count_charges(&records);
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.queue.push_back(Entry {
            ticket,
            records,
            size,
            kept,
        });
        Ok(ticket)
    }

    /// Drops an entry that nobody waits for, unless it was sent or holds charges.
    /// Returns whether it was dropped, and so certainly won't be appended.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Ok(at) = self
            .queue
            .binary_search_by_key(&ticket, |entry| entry.ticket)
        else {
            return false;
        };
        if self.queue[at].kept {
            return false;
        }
        if let Some(entry) = self.queue.remove(at) {
            self.bytes -= entry.size;
        }
        true
    }

    /// Whether [`Batcher::take`] would give a batch.
    #[must_use]
    pub fn has_work(&self) -> bool {
        self.flying.is_none() && (!self.queue.is_empty() || self.repeat().is_some())
    }

    /// The batch to append now, if any: first one that must be repeated, else a
    /// new one. It is in flight until [`Batcher::answered`] or [`Batcher::folded`].
    pub fn take(&mut self, stamp_ms: WallMs) -> Option<(u64, Bytes)> {
        if self.flying.is_some() {
            return None;
        }
        let seq = match self.repeat() {
            Some(seq) => seq,
            None => self.build(stamp_ms)?,
        };
        self.flying = Some(seq);
        let sent = self.open.get(&seq)?;
        Some((seq, sent.data.clone()))
    }

    /// The append of batch `seq` ended: with an offset, or with an error after
    /// which the same batch is appended again.
    pub fn answered(&mut self, seq: u64, offset: Option<u64>) {
        if self.flying == Some(seq) {
            self.flying = None;
        }
        if let Some(sent) = self.open.get_mut(&seq) {
            sent.offset = offset;
        }
    }

    /// The fold showed batch `seq` at `offset`. Only the first sighting counts.
    pub fn folded(&mut self, seq: u64, offset: u64, fates: Vec<Fate>) -> Vec<(Ticket, Decided)> {
        if self.flying == Some(seq) {
            self.flying = None;
        }
        let Some(sent) = self.open.remove(&seq) else {
            return Vec::new();
        };
        let mut fates = fates.into_iter();
        let mut decided = Vec::new();
        for entry in sent.entries {
            self.bytes -= entry.size;
            self.uncount_charges(&entry.records);
            let fates: Vec<Fate> = fates.by_ref().take(entry.records.len()).collect();
            let void = void_charges(&entry.records, &fates);
            let outcome = Decided {
                fates,
                offset,
                void,
            };
            decided.push((entry.ticket, outcome));
        }
        decided
    }

    /// The fold is past all offsets below `next`. A batch that the log took there
    /// and that the fold did not show was jumped over with a snapshot: it is
    /// appended again, for its fates.
    pub fn advanced(&mut self, next: u64) {
        for sent in self.open.values_mut() {
            if sent.offset.is_some_and(|offset| offset < next) {
                sent.offset = None;
            }
        }
    }

    /// Whether batch `seq` still waits for the fold.
    #[must_use]
    pub fn is_open(&self, seq: u64) -> bool {
        self.open.contains_key(&seq)
    }

    /// Charges of `incarnation` that the fold hasn't shown yet.
    #[must_use]
    pub fn pending(&self, incarnation: &Incarnation) -> u64 {
        self.charges.get(incarnation).copied().unwrap_or(0)
    }

    /// Charges of all incarnations that the fold hasn't shown yet.
    #[must_use]
    pub fn pending_total(&self) -> u64 {
        self.charges.values().sum()
    }

    /// Copies of all charges that the fold hasn't shown yet.
    #[must_use]
    pub fn pending_charges(&self) -> Vec<Charges> {
        let sent = self.open.values().flat_map(|sent| &sent.entries);
        let entries = sent.chain(&self.queue);
        let charges = entries.flat_map(|entry| charges_of(&entry.records));
        charges.cloned().collect()
    }

    /// Whether nothing waits for the log or the fold.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.open.is_empty()
    }

    /// Bytes of records that wait for the log or the fold.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn repeat(&self) -> Option<u64> {
        let mut waiting = self.open.iter().filter(|(_, sent)| sent.offset.is_none());
        waiting.next().map(|(seq, _)| *seq)
    }

    fn build(&mut self, stamp_ms: WallMs) -> Option<u64> {
        let entries = self.fill();
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
        let sent = Sent {
            data,
            entries,
            offset: None,
        };
        self.open.insert(self.last_seq, sent);
        Some(self.last_seq)
    }

    fn fill(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut size = 0;
        let mut count = 0;
        while let Some(entry) = self.queue.pop_front() {
            size += entry.size;
            count += entry.records.len();
            let full = size > BATCH_BYTES || count > BATCH_RECORDS;
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
