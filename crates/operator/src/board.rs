//! What the follower publishes and the interface reads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use swiftlink_resource::{Config, SetFate};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::journal::{Batch, Cursor, Gone, Journal};

#[cfg(test)]
mod tests;

/// Time of the board's clock at its start (ms): what was known long before can be told.
const START: u64 = 1 << 50;

/// The configuration in force, the journal, and how fresh they are.
#[derive(Debug)]
pub(crate) struct Board {
    config: ArcSwapOption<Config>,
    journal: Mutex<Journal>,
    pulse: watch::Sender<()>,
    start: Instant,
    /// When the end of the stream was last known, in ms of the board's clock; 0: never.
    heard: AtomicU64,
    /// Offset to read next.
    next: AtomicU64,
    closing: CancellationToken,
}

impl Board {
    pub(crate) fn new(history: usize) -> Self {
        Self {
            config: ArcSwapOption::empty(),
            journal: Mutex::new(Journal::new(history)),
            pulse: watch::Sender::new(()),
            start: Instant::now(),
            heard: AtomicU64::new(0),
            next: AtomicU64::new(0),
            closing: CancellationToken::new(),
        }
    }

    /// The configuration in force; `None` until the stream was read to its end once.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Version in force; 0 until the stream was read to its end once.
    pub(crate) fn version(&self) -> u64 {
        self.config
            .load()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Offset of the stream that is read next.
    pub(crate) fn next(&self) -> u64 {
        self.next.load(Ordering::Acquire)
    }

    /// Time since the stream's end was known (ms); `None` if it never was.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        match self.heard.load(Ordering::Relaxed) {
            0 => None,
            heard => Some(self.now_ms().saturating_sub(heard)),
        }
    }

    /// Notes that the end of the stream was known `age_ms` ago.
    pub(crate) fn hear(&self, age_ms: u64) {
        let heard = self.now_ms().saturating_sub(age_ms);
        self.heard.fetch_max(heard.max(1), Ordering::Relaxed);
    }

    /// Publishes decisions; `restart` gives the floor when events before them were missed.
    pub(crate) fn publish(&self, next: u64, fates: Vec<SetFate>, restart: Option<u64>) {
        if fates.is_empty() && restart.is_none() {
            self.next.store(next, Ordering::Release);
            return;
        }
        let mut journal = self.journal();
        if let Some(floor) = restart {
            journal.restart(floor);
        }
        for fate in fates {
            journal.push(fate);
        }
        drop(journal);
        self.next.store(next, Ordering::Release);
        self.pulse.send_replace(());
    }

    /// Puts a configuration in force. An older one than that in force is ignored.
    pub(crate) fn put(&self, config: Arc<Config>) {
        if self
            .config
            .load()
            .as_ref()
            .is_some_and(|known| known.version > config.version)
        {
            return;
        }
        self.config.store(Some(config));
        self.pulse.send_replace(());
    }

    /// The decision on a set, if it was seen.
    pub(crate) fn fate(&self, id: &str) -> Option<SetFate> {
        self.journal().fate(id).cloned()
    }

    /// Waits for the decision on a set.
    pub(crate) async fn decided(&self, id: &str) -> SetFate {
        let mut pulse = self.pulse.subscribe();
        loop {
            if let Some(fate) = self.fate(id) {
                return fate;
            }
            if pulse.changed().await.is_err() {
                // The sender lives in `self`.
                std::future::pending::<()>().await;
            }
        }
    }

    pub(crate) fn seek(&self, version: u64) -> Result<Cursor, Gone> {
        self.journal().seek(version)
    }

    pub(crate) fn read(&self, cursor: &mut Cursor, max: usize) -> Result<Batch, Gone> {
        self.journal().read(cursor, max)
    }

    /// Number of events kept, and the oldest version that a watch can begin from.
    pub(crate) fn history(&self) -> (usize, u64) {
        let journal = self.journal();
        (journal.len(), journal.floor())
    }

    /// Resolves at each publication.
    pub(crate) fn pulse(&self) -> watch::Receiver<()> {
        self.pulse.subscribe()
    }

    /// Cancelled when the daemon stops; watches end then.
    pub(crate) fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    fn now_ms(&self) -> u64 {
        let since = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        START.saturating_add(since)
    }

    fn journal(&self) -> MutexGuard<'_, Journal> {
        // Every change is whole before the guard is dropped.
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
