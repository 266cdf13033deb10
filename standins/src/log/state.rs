//! The log's streams with offsets and retention by count, without I/O and clock.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use swiftlink_wire::log::{LogPage, LogRecord};

/// Maximum record data per page, in bytes. A page has at least one record.
const PAGE_BYTES: usize = 4 << 20;

/// All streams of the log.
#[derive(Debug, Default)]
pub struct Streams {
    by_name: BTreeMap<String, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<Bytes>,
}

/// Result of a read.
#[derive(Clone, PartialEq, Debug)]
pub enum ReadResult {
    /// Records from the requested offset on; empty when there are no newer ones.
    Page(LogPage),
    /// The requested offset was trimmed.
    Trimmed {
        /// Oldest retained offset.
        first: u64,
    },
}

impl Streams {
    /// Appends one record and returns its offset. The stream retains the newest `retain`
    /// records; 0 retains all.
    pub fn append(&mut self, name: &str, data: Bytes, retain: usize) -> u64 {
        let stream = self.by_name.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back(data);
        stream.trim(retain);
        offset
    }

    /// Drops all but the newest `retain` records of each stream; 0 retains all.
    pub fn trim(&mut self, retain: usize) {
        for stream in self.by_name.values_mut() {
            stream.trim(retain);
        }
    }

    /// Reads up to `max` records from offset `from` on.
    #[must_use]
    pub fn read(&self, name: &str, from: u64, max: usize) -> ReadResult {
        let Some(stream) = self.by_name.get(name) else {
            return ReadResult::Page(LogPage::default());
        };
        if from < stream.first {
            return ReadResult::Trimmed {
                first: stream.first,
            };
        }
        ReadResult::Page(stream.page(from, max))
    }

    /// Returns the first and the next offset of each stream.
    #[must_use]
    pub fn bounds(&self) -> BTreeMap<String, (u64, u64)> {
        let mut bounds = BTreeMap::new();
        for (name, stream) in &self.by_name {
            bounds.insert(name.clone(), (stream.first, stream.next()));
        }
        bounds
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, retain: usize) {
        if retain == 0 {
            return;
        }
        while self.records.len() > retain {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn page(&self, from: u64, max: usize) -> LogPage {
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let mut records = Vec::new();
        let mut size = 0;
        for (index, data) in self.records.iter().enumerate().skip(skip) {
            size += data.len();
            if records.len() >= max || (size > PAGE_BYTES && !records.is_empty()) {
                break;
            }
            records.push(LogRecord {
                offset: self.first + index as u64,
                data: data.to_vec(),
            });
        }
        LogPage {
            first: self.first,
            next: self.next(),
            records,
        }
    }
}
