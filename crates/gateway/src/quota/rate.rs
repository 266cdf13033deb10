//! How fast the quota of each workspace is used.

use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::{Tokens, WorkspaceName};
use tokio::time::Instant;

use super::local::LocalQuota;

/// Shortest time between two samples of the rate of use.
const MIN_SAMPLE: Duration = Duration::from_millis(400);
/// Time constant of the moving average, in seconds.
const AVERAGE_SECS: f64 = 3.0;

/// Rates of use by workspace, as exponentially weighted moving averages.
#[derive(Debug, Default)]
pub(super) struct Rates(HashMap<WorkspaceName, Rate>);

/// Rate of use of one workspace.
#[derive(Debug)]
struct Rate {
    /// Tokens asked for in total at the last sample.
    demand: Tokens,
    at: Instant,
    /// Tokens a second.
    average: f64,
}

impl Rates {
    /// Samples the demand on `quota` since the last call, and sets its rate.
    pub(super) fn update(&mut self, quota: &LocalQuota) {
        let demand = quota.grant.demand();
        let demand = (demand.taken + demand.missed).saturating_sub(demand.unspent);
        let now = Instant::now();
        let rate = self.0.entry(quota.workspace.clone()).or_insert(Rate {
            demand,
            at: now,
            average: 0.0,
        });
        let time = now.duration_since(rate.at).as_secs_f64();
        if time < MIN_SAMPLE.as_secs_f64() {
            return;
        }
        let sample = demand.saturating_sub(rate.demand) as f64 / time;
        rate.average += (1.0 - (-time / AVERAGE_SECS).exp()) * (sample - rate.average);
        rate.demand = demand;
        rate.at = now;
        quota.set_rate(rate.average as u64);
    }
}
