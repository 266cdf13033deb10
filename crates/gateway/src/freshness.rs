//! The age of a router's knowledge of the configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::clock::Clock;
use crate::suspensions::Suspensions;

/// Longest time between two polls, even if nothing answers: a poll of a second, the wait for a late
/// answer, a request to another router and a pause add up to 2.2 s. A process for which more has
/// passed was stalled and knows nothing of what happened meanwhile.
const MAX_POLL_GAP: Duration = Duration::from_secs(3);

/// Tracks when the store was last known to have no newer configuration than this router.
#[derive(Debug)]
pub struct Freshness {
    suspensions: Suspensions,
    /// Milliseconds after the start, plus one; 0 until the first confirmation.
    as_of: AtomicU64,
    /// When the feed was last polled, in milliseconds after the start.
    polled: AtomicU64,
    /// When a poll last got no answer, in milliseconds after the start.
    unanswered: AtomicU64,
    /// Notified at each poll.
    polls: Notify,
}

impl Freshness {
    /// Creates the state of a router that starts now and has received nothing yet.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            suspensions: Suspensions::new(clock),
            as_of: AtomicU64::new(0),
            polled: AtomicU64::new(0),
            unanswered: AtomicU64::new(0),
            polls: Notify::new(),
        }
    }

    /// Records an answer that includes all that the store had at `at`, or later.
    pub fn confirm(&self, at: Instant) {
        let elapsed = self.suspensions.elapsed();
        let after = elapsed.saturating_sub(self.suspensions.age(at));
        self.as_of.fetch_max(after.as_millis() as u64 + 1, Relaxed);
    }

    /// Whether everything that the store had was ever received. Before that a router may know a
    /// part, such as a configuration without the drained failure domains.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.as_of.load(Relaxed) > 0
    }

    /// Time in which the configuration may have changed unnoticed.
    #[must_use]
    pub fn age(&self) -> Duration {
        let as_of = self.as_of.load(Relaxed).saturating_sub(1);
        let as_of = Duration::from_millis(as_of);
        self.suspensions.elapsed().saturating_sub(as_of)
    }

    /// Records that the feed was polled and its changes are in force.
    pub fn mark_polled(&self) {
        let now = self.suspensions.elapsed().as_millis() as u64;
        self.polled.store(now, Relaxed);
        self.polls.notify_waiters();
    }

    /// Records that the feed was polled without an answer. The first such poll after a stall doesn't
    /// count: its timeout passed during the stall, and its answer may not have been read.
    pub fn mark_unanswered(&self) {
        let now = self.suspensions.elapsed().as_millis() as u64;
        let before = self.unanswered.swap(now, Relaxed);
        let is_first = now.saturating_sub(before) > MAX_POLL_GAP.as_millis() as u64;
        if is_first && self.has_stalled() {
            return;
        }
        self.mark_polled();
    }

    /// Waits for the next poll, up to `max_wait`, if the process was stalled for so long that it
    /// missed polls. A request that is sent right after the stall would use outdated knowledge.
    pub async fn wait_after_stall(&self, max_wait: Duration) {
        if !self.has_stalled() {
            return;
        }
        let polled = self.polls.notified();
        // A timeout is ignored: the router may be cut off from the store.
        let _late = timeout(max_wait, polled).await;
    }

    fn has_stalled(&self) -> bool {
        let polled = Duration::from_millis(self.polled.load(Relaxed));
        self.suspensions.elapsed().saturating_sub(polled) > MAX_POLL_GAP
    }
}
