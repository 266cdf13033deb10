//! Monotonic clock of the process, and helpers for durations and locks.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use swiftlink_types::{MICROS_PER_MS, Micros};

/// Age of data that was never up to date, in milliseconds (about 49 days).
///
/// Large enough to count as stale everywhere, small enough for additions not to overflow.
pub const UNKNOWN_AGE_MS: u64 = u32::MAX as u64;

/// Reading of a clock at its start (µs): more than any age that a peer may report, so that
/// subtracting such an age doesn't saturate at the origin. With an origin of 0, a ledger
/// that had just started took a peer's stale data for as recent as its own start.
const CLOCK_ORIGIN: Micros = 2 * UNKNOWN_AGE_MS * MICROS_PER_MS;

/// Monotonic clock with an arbitrary origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Current reading in microseconds since an arbitrary origin.
    #[must_use]
    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN + micros(self.start.elapsed())
    }

    /// Sleeps until the clock reads `at`.
    pub async fn sleep_until(&self, at: Micros) {
        let wait = at.saturating_sub(self.now());
        if wait > 0 {
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }
}

/// Converts a duration to whole microseconds.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Locks `mutex`. Panics if it is poisoned: a holder that panicked may have left broken
/// invariants.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
