//! Pace of appends: at once when idle, a bounded rate under load and after an outage.

use std::sync::Mutex;

use swiftlink_types::Micros;

/// Shares a rate of appends among the streams of one process.
///
/// Slots are handed out in order, so no stream is starved by another. After a
/// quiet time `burst` appends may go at once; after a failure none are saved up,
/// so that a log that comes back isn't met by every append that waited.
#[derive(Debug)]
pub struct Pacer {
    interval: Micros,
    allowance: Micros,
    next: Mutex<Micros>,
}

impl Pacer {
    /// `rate` appends a second (at least 1) with `burst` saved up when idle.
    #[must_use]
    pub fn new(rate: u32, burst: u32) -> Self {
        let interval = MICROS_PER_SEC / u64::from(rate.max(1));
        Self {
            interval,
            allowance: interval * u64::from(burst.saturating_sub(1)),
            next: Mutex::new(0),
        }
    }

    /// Takes the next slot and returns the time at which it starts, `now` or later.
    pub fn reserve(&self, now: Micros) -> Micros {
        let mut next = lock(&self.next);
        let earliest = now.saturating_sub(self.allowance);
        let slot = (*next).max(earliest);
        *next = slot + self.interval;
        slot.max(now)
    }

    /// Forgets what was saved up, after an append that failed at `now`.
    pub fn drain(&self, now: Micros) {
        let mut next = lock(&self.next);
        *next = (*next).max(now + self.interval);
    }
}

const MICROS_PER_SEC: Micros = 1_000_000;

use crate::clock::lock;
