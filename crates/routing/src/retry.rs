//! A budget for retries, so that they don't multiply an outage.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Parts of one retry that the bucket counts in.
const UNIT: u64 = 1_000;

/// Token bucket that each success fills by a share of one retry.
///
/// Attempts per request stay below one plus the share, but for the burst.
#[derive(Debug)]
pub struct RetryBudget {
    level: AtomicU64,
    share: u64,
    burst: AtomicU64,
}

impl RetryBudget {
    /// A full bucket of `burst` retries that each success fills by `share` of one.
    #[must_use]
    pub fn new(share: f64, burst: u32) -> Self {
        let burst = u64::from(burst) * UNIT;
        Self {
            level: AtomicU64::new(burst),
            share: (share.clamp(0.0, 1.0) * UNIT as f64) as u64,
            burst: AtomicU64::new(burst),
        }
    }

    /// Changes the size of the bucket; what is in it beyond that is gone.
    pub fn set_burst(&self, burst: u32) {
        let burst = u64::from(burst) * UNIT;
        self.burst.store(burst, Relaxed);
        self.level.fetch_min(burst, Relaxed);
    }

    /// Counts a request that succeeded.
    pub fn on_success(&self) {
        let burst = self.burst.load(Relaxed);
        let fill = |level: u64| (level < burst).then(|| (level + self.share).min(burst));
        // A full bucket stays as it is.
        let _full = self.level.fetch_update(Relaxed, Relaxed, fill);
    }

    /// Takes one retry from the bucket, if there is one.
    pub fn take(&self) -> bool {
        let level = &self.level;
        let taken = level.fetch_update(Relaxed, Relaxed, |level| level.checked_sub(UNIT));
        taken.is_ok()
    }

    /// Whole retries left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.level.load(Relaxed) / UNIT
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.15, 10)
    }
}
