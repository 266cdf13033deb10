//! Exponential backoff with full jitter.

use std::time::Duration;

/// Delays between retries. Each is drawn uniformly between zero and a ceiling, which
/// doubles with every failure up to a cap.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    ceiling: Duration,
}

impl Backoff {
    /// Creates a backoff whose first ceiling is `base` and whose largest is `cap`.
    #[must_use]
    pub fn new(base: Duration, cap: Duration) -> Self {
        let ceiling = base.min(cap);
        Self { base, cap, ceiling }
    }

    /// Returns the delay before the next attempt, from a uniformly distributed `random`.
    pub fn next(&mut self, random: u64) -> Duration {
        let ceiling = self.ceiling;
        self.ceiling = ceiling.saturating_mul(2).min(self.cap);

        // The high half of the product is `random` scaled to 0..=ceiling.
        let nanos = (ceiling.as_nanos() * u128::from(random)) >> u64::BITS;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.base.min(self.cap);
    }
}
