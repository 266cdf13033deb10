//! How far a client is behind in sending what the server waits for.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Least rate, in bytes per millisecond, of a client that isn't behind.
const LEAST_RATE: u64 = 1;
/// Value of [`Progress::since`] while the server waits for nothing.
const NOT_WAITING: u64 = u64::MAX;

/// Progress of the client of one connection. Times are milliseconds since the start of the server.
///
/// One thread changes it, and others read it.
#[derive(Debug)]
pub(super) struct Progress {
    /// When a client at the least rate would have sent what was received; [`NOT_WAITING`] while the
    /// server waits for nothing.
    since: AtomicU64,
}

impl Progress {
    /// Progress of a client that begins to send now.
    pub(super) fn begun(now: u64) -> Self {
        Self {
            since: AtomicU64::new(now),
        }
    }

    /// The server waits for the client from now on.
    pub(super) fn begin(&self, now: u64) {
        self.since.store(now, Relaxed);
    }

    /// Bytes were received.
    pub(super) fn advance(&self, now: u64, bytes: usize) {
        let since = self.since.load(Relaxed);
        if since == NOT_WAITING {
            return;
        }
        let gained = bytes as u64 / LEAST_RATE;
        self.since
            .store(since.saturating_add(gained).min(now), Relaxed);
    }

    /// The server has all that it waited for.
    pub(super) fn end(&self) {
        self.since.store(NOT_WAITING, Relaxed);
    }

    /// Whether the server waits for the client.
    pub(super) fn is_waiting(&self) -> bool {
        self.since.load(Relaxed) != NOT_WAITING
    }

    /// Whether the client is behind by `grace` milliseconds or more.
    pub(super) fn is_behind(&self, now: u64, grace: u64) -> bool {
        let since = self.since.load(Relaxed);
        since != NOT_WAITING && now.saturating_sub(since) >= grace
    }

    /// Sort key that puts the client that is furthest behind first.
    pub(super) fn order(&self) -> u64 {
        self.since.load(Relaxed)
    }
}
