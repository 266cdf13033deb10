//! Records that a ledger keeps in memory for followers: its peers and routers.

use std::collections::VecDeque;

use bytes::Bytes;
use swiftlink_wire::log::LogRecord;

/// The newest consecutive records of one stream.
#[derive(Debug, Default)]
pub struct Tail {
    records: VecDeque<(u64, Bytes)>,
    bytes: usize,
    /// Offset after the last record.
    next: u64,
}

impl Tail {
    /// Oldest offset that can be served.
    #[must_use]
    pub fn first(&self) -> u64 {
        self.records
            .front()
            .map_or(self.next, |(offset, _)| *offset)
    }

    /// Offset after the newest record.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Total size of the kept records (bytes).
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a record. A record below the end is a duplicate and ignored; one beyond the
    /// end leaves a gap, so the older records are dropped.
    pub fn push(&mut self, offset: u64, data: &[u8]) {
        if offset < self.next {
            return;
        }
        if offset > self.next {
            self.restart(offset);
        }
        self.bytes += data.len();
        self.records
            .push_back((offset, Bytes::copy_from_slice(data)));
        self.next = offset + 1;
    }

    /// Drops all records and expects the next one at `offset`.
    pub fn restart(&mut self, offset: u64) {
        self.records.clear();
        self.bytes = 0;
        self.next = offset;
    }

    /// Drops records below `offset`.
    pub fn drop_below(&mut self, offset: u64) {
        while let Some((at, _)) = self.records.front() {
            if *at >= offset {
                break;
            }
            self.pop();
        }
    }

    /// Drops the oldest records until at most `limit` bytes are kept.
    pub fn shrink(&mut self, limit: usize) {
        while self.bytes > limit {
            self.pop();
        }
    }

    /// Records from `from` on, at most `limit` bytes, but at least one if there is any.
    #[must_use]
    pub fn read(&self, from: u64, limit: usize) -> Vec<LogRecord> {
        let skip = from.saturating_sub(self.first());
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let mut page = Vec::new();
        let mut size = 0;
        for (offset, data) in self.records.iter().skip(skip) {
            size += data.len();
            if size > limit && !page.is_empty() {
                break;
            }
            page.push(LogRecord {
                offset: *offset,
                data: data.to_vec(),
            });
        }
        page
    }

    fn pop(&mut self) {
        if let Some((_, data)) = self.records.pop_front() {
            self.bytes -= data.len();
        }
    }
}
