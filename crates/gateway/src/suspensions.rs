//! Ages of moments, including the time for which the VM was suspended since.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Clock;

/// Shortest suspension that counts. The two clocks that it is computed from are read one after the
/// other, and a busy process may be interrupted in between.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(20);
/// Number of suspensions that are kept.
const MAX_SUSPENSIONS: usize = 8;

/// The suspensions of the VM, as noticed by this process.
///
/// An [`Instant`] doesn't say whether it is of before or after a suspension. One that is earlier
/// than the moment at which a suspension was noticed counts as earlier than the suspension, so an
/// age may be too long and is never too short.
#[derive(Debug)]
pub struct Suspensions {
    clock: Arc<dyn Clock>,
    started: Instant,
    /// For how long the VM had been suspended at `started`.
    before: Duration,
    /// When each was noticed, and the total suspended time from then on, the earliest first.
    noticed: Mutex<VecDeque<(Instant, Duration)>>,
}

impl Suspensions {
    /// Starts to notice suspensions now.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            started: Instant::now(),
            before: clock.suspended(),
            clock,
            noticed: Mutex::default(),
        }
    }

    /// Time since the start, including suspensions.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed() + self.clock.suspended().saturating_sub(self.before)
    }

    /// Time since `at`, a moment after the start, including suspensions.
    #[must_use]
    pub fn age(&self, at: Instant) -> Duration {
        let total = self.clock.suspended();
        let mut noticed = self.noticed.lock().unwrap_or_else(PoisonError::into_inner);
        let known = noticed.back().map_or(self.before, |(_, total)| *total);
        if total >= known + MIN_SUSPENSION {
            noticed.push_back((Instant::now(), total));
        }
        if noticed.len() > MAX_SUSPENSIONS {
            noticed.pop_front();
        }
        let mut earlier = noticed.iter().rev().filter(|(since, _)| *since <= at);
        let then = earlier.next().map_or(self.before, |(_, total)| *total);
        at.elapsed() + total.saturating_sub(then)
    }
}
