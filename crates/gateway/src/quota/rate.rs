//! How fast the rights of each workspace are used.

use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::{Tokens, WorkspaceName};
use tokio::time::Instant;

use super::book::LocalQuota;

/// Shortest time over which the rate of use is taken.
const RATE_TIME: Duration = Duration::from_millis(400);
/// Time over which the rate of use is averaged, in seconds.
const AVERAGE_SECS: f64 = 3.0;

/// Rates of use, averaged.
#[derive(Debug, Default)]
pub(super) struct Rates(HashMap<WorkspaceName, Rate>);

/// Use of one workspace's rights.
#[derive(Debug)]
struct Rate {
    asked: Tokens,
    at: Instant,
    value: f64,
}

impl Rates {
    /// Takes what was asked of the book since the last time, and tells it the rate.
    pub(super) fn follow(&mut self, book: &LocalQuota) {
        let demand = book.grant.demand();
        let asked = (demand.taken + demand.missed).saturating_sub(demand.unspent);
        let now = Instant::now();
        let rate = self.0.entry(book.workspace.clone()).or_insert(Rate {
            asked,
            at: now,
            value: 0.0,
        });
        let time = now.duration_since(rate.at).as_secs_f64();
        if time < RATE_TIME.as_secs_f64() {
            return;
        }
        let sample = asked.saturating_sub(rate.asked) as f64 / time;
        rate.value += (1.0 - (-time / AVERAGE_SECS).exp()) * (sample - rate.value);
        rate.asked = asked;
        rate.at = now;
        book.set_rate(rate.value as u64);
    }
}
