//! How old what a router knows of the configuration is.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use tokio::time::Instant;

/// When the store is known to have had no newer configuration than the one known here.
#[derive(Debug)]
pub struct Freshness {
    start: Instant,
    /// Milliseconds after `start`.
    as_of: AtomicU64,
}

impl Freshness {
    /// Of a router that starts now and was told nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            as_of: AtomicU64::new(0),
        }
    }

    /// An answer of the store told all that it had at `at`, or later.
    pub fn confirm(&self, at: Instant) {
        let after = at.saturating_duration_since(self.start);
        self.as_of.fetch_max(after.as_millis() as u64, Relaxed);
    }

    /// Time in which the configuration may have changed without being known here.
    #[must_use]
    pub fn age(&self) -> Duration {
        let as_of = Duration::from_millis(self.as_of.load(Relaxed));
        self.start.elapsed().saturating_sub(as_of)
    }
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new()
    }
}
