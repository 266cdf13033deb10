//! Detects whether a new version performs worse than the ones in use.
//!
//! Both versions are compared over the same time, for each route and for all together, since a
//! burst or a slow failure domain affects both. This is a sequential test, repeated with each
//! report: the bound on the likelihood ratio limits the probability that any of the repetitions
//! passes by chance to about `exp(-MAX_LOG_RATIO)` per comparison.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::stats::{LATENCY_BUCKETS, ResponseStats, StatsKey};

/// Logarithm of the likelihood ratio above which a new version counts as worse. With a dozen routes
/// and three comparisons each, fewer than one good version in a thousand is reverted.
const MAX_LOG_RATIO: f64 = 14.0;
/// Minimum number of bad responses of a regression.
const MIN_BAD: u64 = 4;
/// Responses of the old versions assumed before any were seen, [`PRIOR_BAD`] of them bad: a few
/// responses say little about the failure rate.
const PRIOR_RESPONSES: f64 = 20.0;
/// Bad responses among [`PRIOR_RESPONSES`].
const PRIOR_BAD: f64 = 1.0;
/// Share of the old latencies that may lie above the threshold from which new ones count as slow.
const TAIL_SHARE: f64 = 0.1;
/// Buckets added to the threshold for gaps: twice the time. Slow versions take several times as
/// long, while full batches alone lengthen gaps by half.
const GAP_MARGIN: usize = 2;
/// Buckets added to the threshold for first events: four times the time, since newly started
/// servers compute shared prompt prefixes that the others have cached.
const FIRST_MARGIN: usize = 4;
/// Minimum number of old latencies to derive a threshold from.
const MIN_LATENCIES: u64 = 20;

/// Evidence that a new version is worse than the old ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Regression {
    /// Route that is affected; `None` for all routes together.
    pub route: Option<Arc<str>>,
    /// What is worse.
    pub symptom: &'static str,
    /// Number of bad responses and of all responses of the new version.
    pub new: (u64, u64),
    /// Number of bad responses and of all responses of the old versions.
    pub old: (u64, u64),
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let route = self.route.as_deref().unwrap_or("all routes");
        let ((new_bad, new), (old_bad, old)) = (self.new, self.old);
        write!(
            f,
            "{}: {new_bad} of {new}, before {old_bad} of {old}, on {route}",
            self.symptom
        )
    }
}

/// Compares the new version with the old ones. Returns the first regression found.
#[must_use]
pub fn compare_versions(sums: &BTreeMap<StatsKey, ResponseStats>) -> Option<Regression> {
    let mut totals = (ResponseStats::default(), ResponseStats::default());
    let mut routes: BTreeMap<Arc<str>, (ResponseStats, ResponseStats)> = BTreeMap::new();
    for (key, row) in sums {
        let route = routes.entry(Arc::clone(&key.route)).or_default();
        if key.is_new {
            route.1.add(row);
            totals.1.add(row);
        } else {
            route.0.add(row);
            totals.0.add(row);
        }
    }
    // Latencies are compared by route only: they differ between kinds of requests, and the canary
    // has another mix of them.
    if let Some(regression) = compare_failures(None, &totals.0, &totals.1) {
        return Some(regression);
    }
    for (route, (old, new)) in &routes {
        let regression = compare_failures(Some(route), old, new)
            .or_else(|| compare_latencies(route, "late events", &old.gaps, &new.gaps, GAP_MARGIN))
            .or_else(|| {
                compare_latencies(
                    route,
                    "late first events",
                    &old.first_event,
                    &new.first_event,
                    FIRST_MARGIN,
                )
            });
        if regression.is_some() {
            return regression;
        }
    }
    None
}

fn compare_failures(
    route: Option<&Arc<str>>,
    old: &ResponseStats,
    new: &ResponseStats,
) -> Option<Regression> {
    let regression = Regression {
        route: route.cloned(),
        symptom: "failures",
        new: (new.failed, new.finished),
        old: (old.failed, old.finished),
    };
    is_significant(regression.old, regression.new).then_some(regression)
}

fn compare_latencies(
    route: &Arc<str>,
    symptom: &'static str,
    old: &[u64; LATENCY_BUCKETS],
    new: &[u64; LATENCY_BUCKETS],
    margin: usize,
) -> Option<Regression> {
    let total: u64 = old.iter().sum();
    if total < MIN_LATENCIES {
        return None;
    }
    let threshold = quantile(old, total) + margin;
    let beyond = |counts: &[u64; LATENCY_BUCKETS]| counts.iter().skip(threshold + 1).sum::<u64>();
    let regression = Regression {
        route: Some(Arc::clone(route)),
        symptom,
        new: (beyond(new), new.iter().sum()),
        old: (beyond(old), total),
    };
    is_significant(regression.old, regression.new).then_some(regression)
}

/// The lowest bucket above which at most [`TAIL_SHARE`] of the latencies lie.
fn quantile(counts: &[u64; LATENCY_BUCKETS], total: u64) -> usize {
    let mut left = total;
    for (bucket, count) in counts.iter().enumerate() {
        left -= count;
        if left as f64 <= total as f64 * TAIL_SHARE {
            return bucket;
        }
    }
    LATENCY_BUCKETS - 1
}

/// Whether the new version has more bad responses than chance explains, by the likelihood ratio of
/// its own rate against the expected one.
fn is_significant(old: (u64, u64), new: (u64, u64)) -> bool {
    let (bad, total) = (new.0 as f64, new.1 as f64);
    if new.0 < MIN_BAD {
        return false;
    }
    let expected = expected_rate(old.0 as f64, old.1 as f64);
    let rate = bad / total;
    if rate <= expected {
        return false;
    }
    let good = total - bad;
    let mut ratio = bad * (rate / expected).ln();
    if good > 0.0 {
        ratio += good * ((1.0 - rate) / (1.0 - expected)).ln();
    }
    ratio > MAX_LOG_RATIO
}

/// Failure rate of the old versions plus one standard error, since their true rate may be that
/// high.
fn expected_rate(bad: f64, total: f64) -> f64 {
    let rate = (bad + PRIOR_BAD) / (total + PRIOR_RESPONSES);
    let error = (rate * (1.0 - rate) / (total + PRIOR_RESPONSES)).sqrt();
    (rate + error).min(0.95)
}
