//! A store in memory with injectable faults, for tests and benchmarks.

use std::collections::{BTreeMap, HashMap};
use std::future::pending;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::{
    Feed, Numbering, Page, Record, ResponseTimeout, Store, StoreError, era_of, offset_of, position,
};

/// The fault that a [`MemStore`] injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Calls are refused without effect.
    Unavailable,
    /// Appends take effect, but their answers are lost; reads work.
    LoseAnswers,
    /// Appends get no answer and take effect at [`MemStore::release`], if their condition still
    /// holds then; reads work.
    Late,
    /// Appends always conflict with another router's append.
    Contended,
    /// Numbered appends are refused without effect; everything else works.
    NoNumbered,
    /// Reads return the state at the time of [`MemStore::set_fault`].
    Stale,
    /// Calls get no answer, and have no effect.
    Silent,
}

/// A [`Store`] that keeps its feeds in memory.
#[derive(Debug)]
pub struct MemStore {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    era: watch::Sender<u64>,
    numbering: Numbering,
}

/// The contents of a [`MemStore`] at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    feeds: HashMap<Feed, Records>,
    sequences: HashMap<(Feed, String), (u64, u64)>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: StoreFault,
    feeds: HashMap<Feed, Records>,
    stale: HashMap<Feed, Records>,
    late: Vec<LateAppend>,
    late_numbered: Vec<NumberedAppend>,
    /// The last sequence number of each producer in a feed, and the offset after its record.
    sequences: HashMap<(Feed, String), (u64, u64)>,
}

#[derive(Clone, Debug, Default)]
struct Records {
    first: u64,
    end: u64,
    all: Vec<Record>,
    newest: BTreeMap<String, Record>,
}

#[derive(Debug)]
struct LateAppend {
    feed: Feed,
    at: u64,
    records: Vec<(String, Bytes)>,
}

#[derive(Clone, Debug)]
struct NumberedAppend {
    feed: Feed,
    producer: String,
    sequence: u64,
    record: (String, Bytes),
}

impl MemStore {
    /// Creates a store without records.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
            era: watch::Sender::new(0),
            numbering: Numbering::default(),
        }
    }

    /// Injects `fault` from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut inner = self.lock();
        inner.fault = fault;
        inner.stale = inner.feeds.clone();
        drop(inner);
        self.changed.send_replace(());
    }

    /// Never completes while the store is silent.
    async fn until_answered(&self) {
        if self.lock().fault == StoreFault::Silent {
            pending::<()>().await;
        }
    }

    /// Writes a record as an operator or a server does; `None` removes the key.
    pub fn put(&self, feed: Feed, key: &str, value: Option<Bytes>) {
        let mut inner = self.lock();
        let records = inner.feeds.entry(feed).or_default();
        records.push(key.to_owned(), value);
        drop(inner);
        self.changed.send_replace(());
    }

    /// A copy of all records and producers, to restore the store from.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let inner = self.lock();
        StoreCopy {
            feeds: inner.feeds.clone(),
            sequences: inner.sequences.clone(),
        }
    }

    /// Goes back to a copy and begins a new era: what was written since is gone, and its offsets
    /// are assigned again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut inner = self.lock();
        self.era.send_modify(|era| *era += 1);
        inner.feeds = copy.feeds.clone();
        inner.sequences = copy.sequences.clone();
        drop(inner);
        self.changed.send_replace(());
    }

    /// Discards all records but the newest of each key.
    pub fn compact(&self, feed: Feed) {
        let mut inner = self.lock();
        let records = inner.feeds.entry(feed).or_default();
        records.all.clear();
        records.first = records.end;
    }

    /// Applies the late appends whose condition still holds.
    pub fn release(&self) {
        let mut inner = self.lock();
        for append in std::mem::take(&mut inner.late) {
            // An append whose condition fails is lost, as its caller must expect.
            let _lost = inner.append(append.feed, append.at, &append.records);
        }
        for append in std::mem::take(&mut inner.late_numbered) {
            let _end = inner.append_next(append);
        }
        drop(inner);
        self.changed.send_replace(());
    }

    /// The newest value of a key.
    #[must_use]
    pub fn get(&self, feed: Feed, key: &str) -> Option<Bytes> {
        let inner = self.lock();
        let record = inner.feeds.get(&feed)?.newest.get(key)?;
        record.value.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every change is complete before the guard is dropped.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn page(&self, feed: Feed, from: u64) -> Result<Page, StoreError> {
        let inner = self.lock();
        let era = *self.era.borrow();
        let records = inner.visible(feed)?;
        let Some(records) = records else {
            return Ok(empty_page(era));
        };
        let offset = offset_of(from);
        if offset < records.first || offset > records.end || era_of(from) != era {
            let first = position(era, records.first);
            return Err(StoreError::Trimmed { first });
        }
        let newer = records.all.iter().filter(|record| record.offset >= offset);
        Ok(Page {
            records: newer.map(|record| in_era(record, era)).collect(),
            end: position(era, records.end),
            has_more: false,
        })
    }

    /// The position after an append.
    fn appended(&self, end: Result<u64, StoreError>) -> Result<u64, StoreError> {
        let era = *self.era.borrow();
        match end {
            Ok(end) => Ok(position(era, end)),
            Err(StoreError::Conflict { end }) => Err(StoreError::Conflict {
                end: position(era, end),
            }),
            Err(error) => Err(error),
        }
    }
}

/// The page of a feed that has no records.
fn empty_page(era: u64) -> Page {
    Page {
        records: Vec::new(),
        end: position(era, 0),
        has_more: false,
    }
}

fn in_era(record: &Record, era: u64) -> Record {
    Record {
        offset: position(era, record.offset),
        ..record.clone()
    }
}

impl Default for MemStore {
    fn default() -> Self {
        Self::new()
    }
}

impl Inner {
    /// Returns a feed as reads see it.
    fn visible(&self, feed: Feed) -> Result<Option<&Records>, StoreError> {
        match self.fault {
            StoreFault::Unavailable => Err(StoreError::Refused("unavailable".to_owned())),
            StoreFault::Stale => Ok(self.stale.get(&feed)),
            _ => Ok(self.feeds.get(&feed)),
        }
    }

    fn append(
        &mut self,
        feed: Feed,
        at: u64,
        records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        let known = self.feeds.entry(feed).or_default();
        if known.end != at {
            return Err(StoreError::Conflict { end: known.end });
        }
        for (key, value) in records {
            known.push(key.clone(), Some(value.clone()));
        }
        Ok(known.end)
    }
}

impl Inner {
    /// Applies an append if its sequence number is the next one of its producer. Returns the offset
    /// after the producer's newest record.
    fn append_next(&mut self, append: NumberedAppend) -> Result<u64, StoreError> {
        let producer_key = (append.feed, append.producer);
        if let Some((sequence, end)) = self.sequences.get(&producer_key) {
            if append.sequence <= *sequence {
                return Ok(*end);
            }
            if append.sequence > sequence + 1 {
                return Err(StoreError::Protocol(format!("expected {}", sequence + 1)));
            }
        }
        let (key, value) = append.record;
        let known = self.feeds.entry(append.feed).or_default();
        known.push(key, Some(value));
        let end = known.end;
        self.sequences.insert(producer_key, (append.sequence, end));
        Ok(end)
    }
}

impl Records {
    fn push(&mut self, key: String, value: Option<Bytes>) {
        let record = Record {
            offset: self.end,
            key: key.clone(),
            value,
        };
        self.end += 1;
        self.all.push(record.clone());
        if record.value.is_some() {
            self.newest.insert(key, record);
        } else {
            self.newest.remove(&key);
        }
    }
}

#[async_trait]
impl Store for MemStore {
    fn era(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    async fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
        _timeout: ResponseTimeout,
    ) -> Result<Page, StoreError> {
        self.until_answered().await;
        let deadline = Instant::now() + wait;
        let mut changes = self.changed.subscribe();
        loop {
            let page = self.page(feed, from)?;
            if !page.records.is_empty() {
                return Ok(page);
            }
            if timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(page);
            }
        }
    }

    async fn newest(&self, feed: Feed, _timeout: ResponseTimeout) -> Result<Page, StoreError> {
        self.until_answered().await;
        // A task that reads again and again mustn't keep all others from running.
        tokio::task::yield_now().await;
        let inner = self.lock();
        let era = *self.era.borrow();
        let Some(records) = inner.visible(feed)? else {
            return Ok(empty_page(era));
        };
        let newest = records.newest.values();
        Ok(Page {
            records: newest.map(|record| in_era(record, era)).collect(),
            end: position(era, records.end),
            has_more: false,
        })
    }

    async fn append_at(
        &self,
        feed: Feed,
        at: u64,
        records: &[(String, Bytes)],
    ) -> Result<u64, StoreError> {
        self.until_answered().await;
        let mut inner = self.lock();
        let unknown = || StoreError::Unknown("no answer".to_owned());
        match inner.fault {
            StoreFault::Unavailable => return Err(StoreError::Refused("unavailable".to_owned())),
            StoreFault::Late => {
                let records = records.to_vec();
                inner.late.push(LateAppend { feed, at, records });
                return Err(unknown());
            }
            StoreFault::Contended => return Err(StoreError::Conflict { end: at + 1 }),
            StoreFault::None
            | StoreFault::LoseAnswers
            | StoreFault::NoNumbered
            | StoreFault::Stale
            | StoreFault::Silent => {}
        }
        let lost = inner.fault == StoreFault::LoseAnswers;
        let is_current = era_of(at) == *self.era.borrow();
        let appended = match is_current {
            true => inner.append(feed, offset_of(at), records),
            false => Err(StoreError::Conflict { end: 0 }),
        };
        let appended = self.appended(appended);
        drop(inner);
        self.changed.send_replace(());
        match appended {
            Ok(_) if lost => Err(unknown()),
            appended => appended,
        }
    }

    async fn append_next(
        &self,
        feed: Feed,
        producer: &str,
        sequence: u64,
        record: (String, Bytes),
    ) -> Result<u64, StoreError> {
        self.until_answered().await;
        let era = *self.era.borrow();
        let (producer, sequence) = self.numbering.number(era, feed, producer, sequence);
        let append = NumberedAppend {
            feed,
            producer,
            sequence,
            record,
        };
        let mut inner = self.lock();
        match inner.fault {
            StoreFault::Unavailable | StoreFault::NoNumbered => {
                return Err(StoreError::Refused("unavailable".to_owned()));
            }
            StoreFault::Late => {
                inner.late_numbered.push(append);
                return Err(StoreError::Unknown("no answer".to_owned()));
            }
            StoreFault::None
            | StoreFault::LoseAnswers
            | StoreFault::Stale
            | StoreFault::Silent
            | StoreFault::Contended => {}
        }
        let lost = inner.fault == StoreFault::LoseAnswers;
        let end = inner.append_next(append);
        let end = self.appended(end);
        drop(inner);
        self.changed.send_replace(());
        if lost {
            return Err(StoreError::Unknown("no answer".to_owned()));
        }
        end
    }
}
