//! The log's streams: offsets, retention by count. No I/O and no clock.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use swiftlink_wire::log::{LogPage, LogRecord};

/// Largest page in bytes of record data; at least one record is given.
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

/// What a read finds.
#[derive(Clone, PartialEq, Debug)]
pub enum Found {
    /// Records from the wanted offset on; empty when there is nothing new.
    Page(LogPage),
    /// The wanted offset is no longer kept; `first` is the oldest that is.
    Trimmed {
        /// Oldest offset kept.
        first: u64,
    },
}

impl Streams {
    /// Appends one record and returns its offset. Only the newest `retain`
    /// records of the stream are kept; 0 keeps all.
    pub fn append(&mut self, name: &str, data: Bytes, retain: usize) -> u64 {
        let stream = self.by_name.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back(data);
        stream.trim(retain);
        offset
    }

    /// Drops all but the newest `retain` records of each stream; 0 keeps all.
    pub fn trim(&mut self, retain: usize) {
        for stream in self.by_name.values_mut() {
            stream.trim(retain);
        }
    }

    /// Up to `max` records from offset `from` on.
    #[must_use]
    pub fn read(&self, name: &str, from: u64, max: usize) -> Found {
        let Some(stream) = self.by_name.get(name) else {
            return Found::Page(LogPage::default());
        };
        if from < stream.first {
            return Found::Trimmed {
                first: stream.first,
            };
        }
        Found::Page(stream.page(from, max))
    }

    /// First and next offset of each stream.
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
        for (place, data) in self.records.iter().enumerate().skip(skip) {
            size += data.len();
            if records.len() >= max || (size > PAGE_BYTES && !records.is_empty()) {
                break;
            }
            records.push(LogRecord {
                offset: self.first + place as u64,
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
