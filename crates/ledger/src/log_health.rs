//! Reachability of the log from this process.

use std::fmt::Display;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use swiftlink_telemetry::event;
use swiftlink_types::MICROS_PER_MS;

use crate::clock::{Clock, UNKNOWN_AGE_MS};

/// Value of `last_success` before the first answer.
const NEVER: u64 = u64::MAX;

/// Time of the log's last answer to any call.
///
/// One event is logged when the log becomes unreachable and one when it answers again,
/// however many streams are affected.
#[derive(Debug)]
pub struct LogHealth {
    clock: Clock,
    last_success: AtomicU64,
    is_unreachable: AtomicBool,
}

impl LogHealth {
    /// Creates a health record without any answer yet.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            last_success: AtomicU64::new(NEVER),
            is_unreachable: AtomicBool::new(false),
        }
    }

    /// Records that the log answered now.
    pub fn record_success(&self) {
        self.last_success.store(self.clock.now(), Ordering::Relaxed);
        if self.is_unreachable.swap(false, Ordering::Relaxed) {
            event!(info, "log.reached");
        }
    }

    /// Records that a read of the log failed with `error`.
    pub fn record_failure(&self, error: &dyn Display) {
        if !self.is_unreachable.swap(true, Ordering::Relaxed) {
            event!(
                warn,
                "log.out_of_reach",
                error = error,
                next = "retrying with back-off"
            );
        }
    }

    /// Time since the last answer in milliseconds; [`UNKNOWN_AGE_MS`] if there was none.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let last_success = self.last_success.load(Ordering::Relaxed);
        if last_success == NEVER {
            return UNKNOWN_AGE_MS;
        }
        let age = self.clock.now().saturating_sub(last_success) / MICROS_PER_MS;
        age.min(UNKNOWN_AGE_MS)
    }
}
