//! Asks the ledgers whether the log is out for them too.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use swiftlink_types::{MICROS_PER_MS, Micros};
use swiftlink_wire::link::{Ping, reply, request};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::config::ConfigView;
use crate::freshness::{FreshnessPolicy, Pong};
use crate::ledgers::{Ledger, Ledgers};

/// Time between two pings of a ledger.
const PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for an answer: less than the period.
const ANSWER_TIME: Duration = Duration::from_millis(900);
/// Time for which an answer speaks: two periods and a slow answer.
const PONG_MICROS: Micros = 2_500_000;
/// Age of a ledger's last contact from which on the log is out for it. In service it
/// hears from the log at least every second.
const OUT_MICROS: Micros = 2_500_000;
/// A ledger that had no contact with the log since its start tells the largest `u32`.
pub const NEVER_MS: u64 = u32::MAX as u64;

/// The rule by which a configuration is judged, where it is stale by itself over `stale`.
#[must_use]
pub fn rule(stale: Duration) -> FreshnessPolicy {
    FreshnessPolicy {
        max_age: Micros::try_from(stale.as_micros()).unwrap_or(Micros::MAX),
        pong_validity: PONG_MICROS,
        outage_age: OUT_MICROS,
    }
}

/// Pings up to `sample` ledgers a second, in turn, until `stop`.
pub async fn ping(
    view: Arc<ConfigView>,
    ledgers: Arc<Ledgers>,
    sample: usize,
    stop: CancellationToken,
) {
    let list = ledgers.near();
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut first = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let count = sample.min(list.len());
        let chosen = (first..first + count).map(|index| index % list.len());
        let asks = chosen.map(|index| ask(&view, index, &list[index]));
        tokio::select! {
            () = stop.cancelled() => return,
            _ = join_all(asks) => {}
        }
        first = (first + count) % list.len();
    }
}

async fn ask(view: &ConfigView, index: usize, ledger: &Ledger) {
    if !ledger.client.is_up() {
        return;
    }
    let asked = view.now();
    let call = ledger
        .client
        .call(request::Kind::Ping(Ping {}), ANSWER_TIME);
    let Ok(reply::Kind::Pong(pong)) = call.await else {
        return;
    };
    let age = pong.log_age_ms;
    let pong = Pong {
        sent_at: asked,
        received_at: view.now(),
        log_age: (age < NEVER_MS).then(|| age * MICROS_PER_MS),
    };
    view.on_pong(index, pong);
}
