//! The last decision on new callers, and its age.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// Age at which a decision expires: the interval of the balancer's health checks.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(1);

/// Whether new callers can be served, as last decided.
///
/// Health checks are answered by a thread of their own. The decision expires, so that they show a
/// main runtime that doesn't run.
#[derive(Debug)]
pub struct CallerDecision {
    takes_callers: AtomicBool,
    /// Milliseconds of the router's clock.
    decided_at: AtomicU64,
}

impl CallerDecision {
    /// The decision to take callers, made at 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            takes_callers: AtomicBool::new(true),
            decided_at: AtomicU64::new(0),
        }
    }

    /// Records the decision that is made at `now`.
    pub fn record(&self, now: Duration, takes_callers: bool) {
        self.takes_callers.store(takes_callers, Relaxed);
        self.decided_at.store(now.as_millis() as u64, Relaxed);
    }

    /// Whether new callers can be served at `now`.
    #[must_use]
    pub fn takes_callers(&self, now: Duration) -> bool {
        self.takes_callers.load(Relaxed) && self.age(now) < MAX_AGE
    }

    /// Time since the decision was made.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_millis(self.decided_at.load(Relaxed)))
    }
}

impl Default for CallerDecision {
    fn default() -> Self {
        Self::new()
    }
}
