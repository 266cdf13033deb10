//! Which records a reader has read, to recognize them in a store that came back from a copy.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::store::{Record, offset_of};

/// Maximum number of records that are remembered: those of the last seconds of a very large fleet,
/// as a copy of the store is some seconds old.
const MAX_RECORDS: usize = 65_536;

/// Fingerprints of the newest records read, by their offset.
#[derive(Debug, Default)]
pub(super) struct History {
    fingerprints: BTreeMap<u64, u64>,
    /// Offset after the last record that was forgotten.
    forgotten: u64,
}

impl History {
    /// Remembers a record.
    pub(super) fn insert(&mut self, record: &Record) {
        let offset = offset_of(record.offset);
        self.fingerprints.insert(offset, fingerprint(record));
        if self.fingerprints.len() > MAX_RECORDS
            && let Some((offset, _)) = self.fingerprints.pop_first()
        {
            self.forgotten = offset + 1;
        }
    }

    /// Forgets all records, whose offsets are of an earlier era.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// The offset from which on records of a later era are known to differ from those read before: they
    /// were written after the store went back, even where one of them equals the record that was read
    /// at its offset.
    pub(super) fn divergence(&self, records: &[Record]) -> Option<u64> {
        let differs = |record: &&Record| {
            let known = self.fingerprints.get(&offset_of(record.offset));
            known.is_some_and(|known| *known != fingerprint(record))
        };
        let differing = records.iter().filter(differs);
        differing.map(|record| record.offset).min()
    }

    /// Whether a record of a later era was written before the store went back, as far as the record by
    /// itself tells.
    pub(super) fn is_old(&self, record: &Record) -> bool {
        let offset = offset_of(record.offset);
        match self.fingerprints.get(&offset) {
            Some(known) => *known == fingerprint(record),
            // One that was never read counts as new: what the store has now goes before nothing.
            None => offset < self.forgotten,
        }
    }
}

fn fingerprint(record: &Record) -> u64 {
    let key = xxh3_64_with_seed(record.key.as_bytes(), 0);
    let value = record.value.as_deref();
    value.map_or(key, |value| xxh3_64_with_seed(value, key))
}
