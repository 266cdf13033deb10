//! A log in memory with a fault switch, for tests and benches.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_types::StreamName;
use swiftlink_wire::log::{LogPage, LogRecord};
use tokio::sync::watch;

use crate::{Log, LogError};

/// How a [`MemLog`] fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Appends and reads are refused without effect.
    Outage,
    /// Appends take effect, but their answers are lost.
    LoseAnswers,
    /// Appends are lost on the way there, and the caller can't tell.
    LoseRequests,
}

/// Streams kept in memory.
#[derive(Debug)]
pub struct MemLog {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    /// Calls that the fault still hits; `None`: all.
    hits: Option<u32>,
    streams: HashMap<StreamName, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<Bytes>,
}

impl MemLog {
    /// A log without records.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// Fails in this way until told otherwise.
    pub fn set_fault(&self, fault: Fault) {
        let mut inner = self.lock();
        inner.fault = fault;
        inner.hits = None;
        self.changed.send_replace(());
    }

    /// Fails in this way for the next `calls` appends and reads that it concerns.
    pub fn fail_next(&self, fault: Fault, calls: u32) {
        let mut inner = self.lock();
        inner.fault = fault;
        inner.hits = Some(calls);
        self.changed.send_replace(());
    }

    /// Forgets the records of a stream before `first`.
    pub fn trim(&self, stream: &StreamName, first: u64) {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.clone()).or_default();
        let drop = first.saturating_sub(stream.first);
        let drop = usize::try_from(drop).unwrap_or(usize::MAX);
        let drop = drop.min(stream.records.len());
        stream.records.drain(..drop);
        stream.first += drop as u64;
    }

    /// Offset that the next append to a stream will get.
    #[must_use]
    pub fn end(&self, stream: &StreamName) -> u64 {
        self.lock().streams.get(stream).map_or(0, Stream::next)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Every change is whole before the guard is dropped.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn page(&self, stream: &StreamName, from: u64, max: u32) -> Result<LogPage, LogError> {
        let mut inner = self.lock();
        if inner.strikes(&[Fault::Outage]).is_some() {
            return Err(LogError::Unavailable("outage".to_owned()));
        }
        match inner.streams.get(stream) {
            Some(stream) => stream.page(from, max),
            None => Stream::default().page(from, max),
        }
    }
}

impl Default for MemLog {
    fn default() -> Self {
        Self::new()
    }
}

impl Inner {
    /// The fault in force if it is one of `kinds`; counts the call.
    fn strikes(&mut self, kinds: &[Fault]) -> Option<Fault> {
        if !kinds.contains(&self.fault) {
            return None;
        }
        match &mut self.hits {
            None => Some(self.fault),
            Some(0) => None,
            Some(hits) => {
                *hits -= 1;
                Some(self.fault)
            }
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn page(&self, from: u64, max: u32) -> Result<LogPage, LogError> {
        let Some(skip) = from.checked_sub(self.first) else {
            return Err(LogError::Trimmed { first: self.first });
        };
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);

        let mut records = Vec::new();
        let kept = self.records.iter().skip(skip).take(max as usize);
        for (offset, data) in (from..).zip(kept) {
            records.push(LogRecord {
                offset,
                data: data.to_vec(),
            });
        }
        Ok(LogPage {
            first: self.first,
            next: self.next(),
            records,
        })
    }
}

#[async_trait]
impl Log for MemLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        let mut inner = self.lock();
        let kinds = [Fault::Outage, Fault::LoseAnswers, Fault::LoseRequests];
        let fault = inner.strikes(&kinds);
        match fault {
            Some(Fault::Outage) => return Err(LogError::Unavailable("outage".to_owned())),
            Some(Fault::LoseRequests) => return Err(LogError::Unknown("no answer".to_owned())),
            Some(Fault::LoseAnswers | Fault::None) | None => {}
        }

        let stream = inner.streams.entry(stream.clone()).or_default();
        let offset = stream.next();
        stream.records.push(data);
        self.changed.send_replace(());

        if fault.is_some() {
            return Err(LogError::Unknown("answer lost".to_owned()));
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let deadline = tokio::time::Instant::now() + wait;
        let mut changes = self.changed.subscribe();
        loop {
            let page = self.page(stream, from, max)?;
            if !page.records.is_empty() {
                return Ok(page);
            }

            let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
            if changed.is_err() {
                return Ok(page);
            }
        }
    }
}
