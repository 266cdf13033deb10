//! Exponential back-off with full jitter.

use std::time::Duration;

/// Delays between retries: each is drawn evenly from zero to a ceiling that
/// doubles with every failure up to a cap.
#[derive(Debug, Clone)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    ceiling: Duration,
}

impl Backoff {
    /// A back-off whose first ceiling is `base` and whose largest is `cap`.
    #[must_use]
    pub fn new(base: Duration, cap: Duration) -> Self {
        let ceiling = base.min(cap);
        Self { base, cap, ceiling }
    }

    /// The delay before the next try, from an evenly distributed `draw`.
    pub fn next(&mut self, draw: u64) -> Duration {
        let ceiling = self.ceiling;
        self.ceiling = ceiling.saturating_mul(2).min(self.cap);

        // The high half of the product is the draw scaled to 0..=ceiling.
        let nanos = (ceiling.as_nanos() * u128::from(draw)) >> u64::BITS;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.ceiling = self.base.min(self.cap);
    }
}
