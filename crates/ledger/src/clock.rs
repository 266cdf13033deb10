//! Monotonic time of the process, and small helpers of its tasks.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use swiftlink_types::{MICROS_PER_MS, Micros};

/// Age that stands for "never known", in milliseconds (about 49 days).
///
/// Large enough to count as stale everywhere, small enough to be added to.
pub const NEVER_MS: u64 = u32::MAX as u64;

/// What a clock reads at its start: more than any age that a peer may tell, so that
/// the moment which such an age points back to stays apart from the start. With 0, a
/// ledger that had just started took a peer's old knowledge for as young as itself.
const START: Micros = 2 * NEVER_MS * MICROS_PER_MS;

/// Source of monotonic time; its start is an arbitrary number.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Microseconds, with an arbitrary number at the start.
    #[must_use]
    pub fn now(&self) -> Micros {
        START + micros(self.start.elapsed())
    }

    /// Sleeps until the clock reads `at`.
    pub async fn until(&self, at: Micros) {
        let wait = at.saturating_sub(self.now());
        if wait > 0 {
            tokio::time::sleep(Duration::from_micros(wait)).await;
        }
    }
}

/// A duration in whole microseconds.
#[must_use]
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX)
}

/// Locks `mutex`; a holder that panicked has broken an invariant already.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}
