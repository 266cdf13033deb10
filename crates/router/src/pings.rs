//! Pings the ledgers to learn whether they can reach the log.

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

/// Time between two rounds of pings.
const PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for an answer; shorter than the period, so that rounds do not overlap.
const PONG_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which an answer is valid: two periods and a slow answer.
const PONG_VALIDITY_MICROS: Micros = 2_500_000;
/// Age of a ledger's last contact with the log from which the log counts as unavailable to it.
/// In service, a ledger gets an answer from the log at least every second.
const OUTAGE_AGE_MICROS: Micros = 2_500_000;
/// Age that a ledger reports (the largest `u32`) if it had no contact with the log since its
/// start.
pub const NO_CONTACT_MS: u64 = u32::MAX as u64;

/// Returns the freshness rule of a configuration that counts as stale at an age over `stale`.
#[must_use]
pub fn rule(stale: Duration) -> FreshnessPolicy {
    FreshnessPolicy {
        max_age: Micros::try_from(stale.as_micros()).unwrap_or(Micros::MAX),
        pong_validity: PONG_VALIDITY_MICROS,
        outage_age: OUTAGE_AGE_MICROS,
    }
}

/// Pings up to `sample` ledgers per second, round-robin, until `stop`.
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
        let pings = chosen.map(|index| ping_ledger(&view, index, &list[index]));
        tokio::select! {
            () = stop.cancelled() => return,
            _ = join_all(pings) => {}
        }
        first = (first + count) % list.len();
    }
}

async fn ping_ledger(view: &ConfigView, index: usize, ledger: &Ledger) {
    if !ledger.client.is_up() {
        return;
    }
    let asked = view.now();
    let call = ledger
        .client
        .call(request::Kind::Ping(Ping {}), PONG_TIMEOUT);
    let Ok(reply::Kind::Pong(pong)) = call.await else {
        return;
    };
    let age = pong.log_age_ms;
    let pong = Pong {
        sent_at: asked,
        received_at: view.now(),
        log_age: (age < NO_CONTACT_MS).then(|| age * MICROS_PER_MS),
    };
    view.on_pong(index, pong);
}
