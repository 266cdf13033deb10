//! State shared by the follower, which writes it, and the HTTP interface, which reads it.

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

/// Reading of the internal clock at creation (ms); large, so that ages from before the creation
/// don't underflow.
const CLOCK_START_MS: u64 = 1 << 50;

/// The current configuration, the journal of decisions, and their age.
#[derive(Debug)]
pub(crate) struct SharedState {
    config: ArcSwapOption<Config>,
    journal: Mutex<Journal>,
    changes: watch::Sender<()>,
    created: Instant,
    /// Time at which the state was last known to be up to date (ms of the internal clock);
    /// 0 if never.
    up_to_date_at: AtomicU64,
    /// Next offset to read.
    next_offset: AtomicU64,
    shutdown: CancellationToken,
}

impl SharedState {
    pub(crate) fn new(history: usize) -> Self {
        Self {
            config: ArcSwapOption::empty(),
            journal: Mutex::new(Journal::new(history)),
            changes: watch::Sender::new(()),
            created: Instant::now(),
            up_to_date_at: AtomicU64::new(0),
            next_offset: AtomicU64::new(0),
            shutdown: CancellationToken::new(),
        }
    }

    /// Returns the current configuration; `None` until the stream was first read to its end.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.load_full()
    }

    /// Returns the current version; 0 until the stream was first read to its end.
    pub(crate) fn version(&self) -> u64 {
        self.config
            .load()
            .as_ref()
            .map_or(0, |config| config.version)
    }

    /// Returns the next offset of the stream to read.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset.load(Ordering::Acquire)
    }

    /// Returns the age of the state (ms); `None` if it was never up to date.
    pub(crate) fn age_ms(&self) -> Option<u64> {
        match self.up_to_date_at.load(Ordering::Relaxed) {
            0 => None,
            time => Some(self.now_ms().saturating_sub(time)),
        }
    }

    /// Records that the state was up to date `age_ms` ago.
    pub(crate) fn mark_up_to_date(&self, age_ms: u64) {
        let time = self.now_ms().saturating_sub(age_ms);
        self.up_to_date_at.fetch_max(time.max(1), Ordering::Relaxed);
    }

    /// Publishes decisions. `restart` is the new floor of the journal if events before them were
    /// missed.
    pub(crate) fn publish(&self, next: u64, fates: Vec<SetFate>, restart: Option<u64>) {
        if fates.is_empty() && restart.is_none() {
            self.next_offset.store(next, Ordering::Release);
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
        self.next_offset.store(next, Ordering::Release);
        self.changes.send_replace(());
    }

    /// Replaces the configuration, unless the current one is newer.
    pub(crate) fn set_config(&self, config: Arc<Config>) {
        if self
            .config
            .load()
            .as_ref()
            .is_some_and(|current| current.version > config.version)
        {
            return;
        }
        self.config.store(Some(config));
        self.changes.send_replace(());
    }

    /// Returns the fate of a set if it is in the journal.
    pub(crate) fn fate(&self, id: &str) -> Option<SetFate> {
        self.journal().fate(id).cloned()
    }

    /// Waits for the fate of a set.
    pub(crate) async fn wait_for_fate(&self, id: &str) -> SetFate {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(fate) = self.fate(id) {
                return fate;
            }
            if changes.changed().await.is_err() {
                // Unreachable: `self` owns the sender, so the channel stays open.
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

    /// Returns the number of retained events and the oldest version that a watch can start from.
    pub(crate) fn history(&self) -> (usize, u64) {
        let journal = self.journal();
        (journal.len(), journal.floor())
    }

    /// Returns a receiver that is notified of each publication.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Returns the token that is cancelled at shutdown, which ends the watches.
    pub(crate) fn shutdown(&self) -> &CancellationToken {
        &self.shutdown
    }

    fn now_ms(&self) -> u64 {
        let since = u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX);
        CLOCK_START_MS.saturating_add(since)
    }

    fn journal(&self) -> MutexGuard<'_, Journal> {
        // A poisoned lock is usable: each update is complete before the guard is dropped.
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
