//! An in-memory log with fault injection, for tests and benchmarks.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use swiftlink_types::StreamName;
use swiftlink_wire::log::{LogPage, LogRecord};
use tokio::sync::watch;

use crate::{Log, LogError};

/// The fault that a [`MemLog`] simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Appends and reads fail without effect.
    Outage,
    /// Appends take effect, but their responses are lost.
    LoseAnswers,
    /// Appends are lost before they take effect, which the caller can't distinguish from
    /// a lost response.
    LoseRequests,
}

/// A log that keeps its streams in memory.
#[derive(Debug)]
pub struct MemLog {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct Inner {
    fault: Fault,
    /// Number of calls that will still fail; `None` means all.
    remaining: Option<u32>,
    streams: HashMap<StreamName, Stream>,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<Bytes>,
}

impl MemLog {
    /// Creates a log without records.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
        }
    }

    /// Injects a fault until another is set.
    pub fn set_fault(&self, fault: Fault) {
        let mut inner = self.lock();
        inner.fault = fault;
        inner.remaining = None;
        self.changed.send_replace(());
    }

    /// Injects a fault into the next `calls` appends and reads that it affects.
    pub fn fail_next(&self, fault: Fault, calls: u32) {
        let mut inner = self.lock();
        inner.fault = fault;
        inner.remaining = Some(calls);
        self.changed.send_replace(());
    }

    /// Drops the records of a stream before `first`.
    pub fn trim(&self, stream: &StreamName, first: u64) {
        let mut inner = self.lock();
        let stream = inner.streams.entry(stream.clone()).or_default();
        let count = first.saturating_sub(stream.first);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        let count = count.min(stream.records.len());
        stream.records.drain(..count);
        stream.first += count as u64;
    }

    /// Offset that the next append to a stream will get.
    #[must_use]
    pub fn end(&self, stream: &StreamName) -> u64 {
        self.lock().streams.get(stream).map_or(0, Stream::next)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A poisoned lock is usable: no change is left half done when a guard is dropped.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn page(&self, stream: &StreamName, from: u64, max: u32) -> Result<LogPage, LogError> {
        let mut inner = self.lock();
        if inner.take_fault(&[Fault::Outage]).is_some() {
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
    /// Returns the current fault if it is one of `kinds`, and counts the call.
    fn take_fault(&mut self, kinds: &[Fault]) -> Option<Fault> {
        if !kinds.contains(&self.fault) {
            return None;
        }
        match &mut self.remaining {
            None => Some(self.fault),
            Some(0) => None,
            Some(remaining) => {
                *remaining -= 1;
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
        let fault = inner.take_fault(&kinds);
        match fault {
            Some(Fault::Outage) => return Err(LogError::Unavailable("outage".to_owned())),
            Some(Fault::LoseRequests) => return Err(LogError::Unknown("no response".to_owned())),
            Some(Fault::LoseAnswers | Fault::None) | None => {}
        }

        let stream = inner.streams.entry(stream.clone()).or_default();
        let offset = stream.next();
        stream.records.push(data);
        self.changed.send_replace(());

        if fault.is_some() {
            return Err(LogError::Unknown("response lost".to_owned()));
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
