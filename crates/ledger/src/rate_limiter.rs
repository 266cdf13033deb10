//! Rate limit of appends: no delay when idle, a bounded rate under load and after an
//! outage.

use std::sync::Mutex;

use swiftlink_types::Micros;

/// Token bucket shared by the streams of one process.
///
/// Slots are handed out in order, so no stream starves another. After an idle period,
/// `burst` appends may go at once. After a failure the saved burst is cleared, so that
/// the waiting appends don't flood a log that recovers.
#[derive(Debug)]
pub struct RateLimiter {
    interval: Micros,
    burst_time: Micros,
    next: Mutex<Micros>,
}

impl RateLimiter {
    /// Creates a limiter of `rate` appends per second (at least 1) that saves up `burst`
    /// appends when idle.
    #[must_use]
    pub fn new(rate: u32, burst: u32) -> Self {
        let interval = MICROS_PER_SEC / u64::from(rate.max(1));
        Self {
            interval,
            burst_time: interval * u64::from(burst.saturating_sub(1)),
            next: Mutex::new(0),
        }
    }

    /// Reserves the next slot and returns its start, which is `now` or later.
    pub fn reserve(&self, now: Micros) -> Micros {
        let mut next = lock(&self.next);
        let earliest = now.saturating_sub(self.burst_time);
        let slot = (*next).max(earliest);
        *next = slot + self.interval;
        slot.max(now)
    }

    /// Clears the saved burst, after an append that failed at `now`.
    pub fn clear_burst(&self, now: Micros) {
        let mut next = lock(&self.next);
        *next = (*next).max(now + self.interval);
    }
}

const MICROS_PER_SEC: Micros = 1_000_000;

use crate::clock::lock;
