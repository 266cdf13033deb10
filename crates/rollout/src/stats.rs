//! Statistics of a pool's responses on one router during a rollout.

use std::collections::HashMap;
use std::sync::Arc;

use swiftlink_types::Micros;

/// Number of latency buckets: two per doubling, from 0.1 ms to over a minute.
pub const LATENCY_BUCKETS: usize = 40;
/// Upper bound of the first bucket, in microseconds.
const FIRST_BUCKET_MICROS: f64 = 100.0;
/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Latency bucket of `time`.
#[must_use]
pub fn latency_bucket(latency: Micros) -> usize {
    let doublings = (latency as f64 / FIRST_BUCKET_MICROS).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(LATENCY_BUCKETS - 1)
}

/// Responses that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StatsKey {
    /// Name of the route.
    pub route: Arc<str>,
    /// Whether a server of the ordered version responded.
    pub is_new: bool,
}

/// Response counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseStats {
    /// Responses, successful or failed.
    pub finished: u64,
    /// Responses that failed because of the server.
    pub failed: u64,
    /// Times to first event, by bucket.
    pub first_event: [u64; LATENCY_BUCKETS],
    /// Gaps between events, by bucket.
    pub gaps: [u64; LATENCY_BUCKETS],
}

impl Default for ResponseStats {
    fn default() -> Self {
        Self {
            finished: 0,
            failed: 0,
            first_event: [0; LATENCY_BUCKETS],
            gaps: [0; LATENCY_BUCKETS],
        }
    }
}

impl ResponseStats {
    /// Adds the counters of `other`.
    pub fn add(&mut self, other: &Self) {
        self.finished += other.finished;
        self.failed += other.failed;
        for (sum, count) in self.first_event.iter_mut().zip(other.first_event) {
            *sum += count;
        }
        for (sum, count) in self.gaps.iter_mut().zip(other.gaps) {
            *sum += count;
        }
    }
}

/// Response counters since an order, by route and version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterStats {
    /// The counters.
    pub rows: HashMap<StatsKey, ResponseStats>,
}

impl RouterStats {
    /// Records the time to first event of a response.
    pub fn record_first_event(&mut self, key: &StatsKey, latency: Micros) {
        self.row(key).first_event[latency_bucket(latency)] += 1;
    }

    /// Records the mean gap between the events of a response.
    pub fn record_gap(&mut self, key: &StatsKey, gap: Micros) {
        self.row(key).gaps[latency_bucket(gap)] += 1;
    }

    /// Counts a finished response.
    pub fn record_finished(&mut self, key: &StatsKey, has_failed: bool) {
        let row = self.row(key);
        row.finished += 1;
        row.failed += u64::from(has_failed);
    }

    fn row(&mut self, key: &StatsKey) -> &mut ResponseStats {
        if !self.rows.contains_key(key) {
            self.rows.insert(key.clone(), ResponseStats::default());
        }
        self.rows.entry(key.clone()).or_default()
    }
}
