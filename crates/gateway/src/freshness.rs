//! How old what a router knows of the configuration is.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock::Clock;

/// Longest time between two looks for news, also where nobody answers: a poll of a second, the wait
/// for a late answer, a question to another router and a pause are 2.2 s. A process for which
/// more has passed stood still, and knows nothing of what happened meanwhile.
const LOOK: Duration = Duration::from_secs(3);

/// When the store is known to have had no newer configuration than the one known here.
#[derive(Debug)]
pub struct Freshness {
    clock: Arc<dyn Clock>,
    start: Instant,
    /// For how long the VM had been suspended then.
    suspended: Duration,
    /// Milliseconds after `start`, and one; 0 while nothing was told.
    as_of: AtomicU64,
    /// When news were looked for last, in milliseconds after `start`.
    looked: AtomicU64,
    /// Told at each look.
    looks: Notify,
}

impl Freshness {
    /// Of a router that starts now and was told nothing yet.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            start: Instant::now(),
            suspended: clock.suspended(),
            clock,
            as_of: AtomicU64::new(0),
            looked: AtomicU64::new(0),
            looks: Notify::new(),
        }
    }

    /// An answer of the store told all that it had at `at`, or later.
    pub fn confirm(&self, at: Instant) {
        let after = at.saturating_duration_since(self.start) + self.lost();
        self.as_of.fetch_max(after.as_millis() as u64 + 1, Relaxed);
    }

    /// Whether all that the store had was told once. A router may know a part before, such as a
    /// configuration without the failure domains that are emptied.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.as_of.load(Relaxed) > 0
    }

    /// Time in which the configuration may have changed without being known here.
    #[must_use]
    pub fn age(&self) -> Duration {
        let as_of = self.as_of.load(Relaxed).saturating_sub(1);
        let as_of = Duration::from_millis(as_of);
        self.elapsed().saturating_sub(as_of)
    }

    /// Time since the start, in which the VM may have been suspended.
    fn elapsed(&self) -> Duration {
        self.start.elapsed() + self.lost()
    }

    /// Time since the start for which the VM was suspended.
    fn lost(&self) -> Duration {
        self.clock.suspended().saturating_sub(self.suspended)
    }

    /// News were looked for, and what was found is in force.
    pub fn look(&self) {
        let now = self.elapsed().as_millis() as u64;
        self.looked.store(now, Relaxed);
        self.looks.notify_waiters();
    }

    /// Waits for the next look, up to `most`, in a process that stood still for so long that it
    /// missed some. Who sends at once when it wakes sends by what was true before.
    pub async fn after_standstill(&self, most: Duration) {
        if !self.stood_still() {
            return;
        }
        let looked = self.looks.notified();
        // What isn't heard by then is waited for by nobody: the router may be cut off.
        let _late = timeout(most, looked).await;
    }

    fn stood_still(&self) -> bool {
        let looked = Duration::from_millis(self.looked.load(Relaxed));
        self.elapsed().saturating_sub(looked) > LOOK
    }
}
