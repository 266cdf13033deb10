//! Records that a replica keeps while it waits for a complete snapshot.

use std::collections::VecDeque;

/// Size of the buffer in bytes above which it drops records that the log has trimmed.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// Consecutive records; `None` stands for a snapshot chunk, whose data is not kept.
#[derive(Debug, Default)]
pub(crate) struct Buffer {
    base: u64,
    bytes: usize,
    records: VecDeque<Option<Vec<u8>>>,
}

impl Buffer {
    /// Creates an empty buffer whose first record will have the offset `base`.
    pub(crate) fn new(base: u64) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Offset of the oldest buffered record.
    pub(crate) fn base(&self) -> u64 {
        self.base
    }

    /// Appends the next record, or `None` for a snapshot chunk.
    pub(crate) fn push(&mut self, data: Option<&[u8]>) {
        self.bytes += data.map_or(0, <[u8]>::len);
        self.records.push_back(data.map(<[u8]>::to_vec));
    }

    /// Bounds the memory used: above [`MAX_BYTES`], drops records before `first`, which
    /// the log has trimmed too.
    pub(crate) fn trim(&mut self, first: u64) {
        while self.bytes > MAX_BYTES && self.base < first {
            let Some(record) = self.records.pop_front() else {
                return;
            };
            self.bytes -= record.map_or(0, |data| data.len());
            self.base += 1;
        }
    }

    /// Returns the records after `offset` with their offsets, without snapshot chunks.
    pub(crate) fn after(&self, offset: u64) -> impl Iterator<Item = (u64, &[u8])> {
        let skip = (offset + 1).saturating_sub(self.base);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let start = self.base;
        let numbered = self.records.iter().enumerate().skip(skip);
        numbered.filter_map(move |(i, data)| Some((start + i as u64, data.as_deref()?)))
    }
}
