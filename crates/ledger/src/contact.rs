//! When the log last answered this process.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use swiftlink_telemetry::event;
use swiftlink_types::MICROS_PER_MS;

use crate::clock::{Clock, NEVER_MS};

const NEVER: u64 = u64::MAX;

/// Time of the log's last answer, to whichever call.
///
/// One event tells when the log falls silent and one when it answers again,
/// however many streams meet it.
#[derive(Debug)]
pub struct Contact {
    clock: Clock,
    last: AtomicU64,
    out: AtomicBool,
}

impl Contact {
    /// No answer yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            last: AtomicU64::new(NEVER),
            out: AtomicBool::new(false),
        }
    }

    /// The log answered now.
    pub fn answered(&self) {
        self.last.store(self.clock.now(), Ordering::Relaxed);
        if self.out.swap(false, Ordering::Relaxed) {
            event!(info, "log.reached");
        }
    }

    /// A read of the log failed with `error`.
    pub fn lost(&self, error: &dyn Display) {
        if !self.out.swap(true, Ordering::Relaxed) {
            event!(
                warn,
                "log.out_of_reach",
                error = error,
                next = "retrying with back-off"
            );
        }
    }

    /// Time since the last answer in milliseconds; [`NEVER_MS`] without one.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let last = self.last.load(Ordering::Relaxed);
        if last == NEVER {
            return NEVER_MS;
        }
        let age = self.clock.now().saturating_sub(last) / MICROS_PER_MS;
        age.min(NEVER_MS)
    }
}
