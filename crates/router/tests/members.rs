//! When a router whose incarnation was retired may join anew.

use std::sync::Arc;

use futures_util::FutureExt;
use serde_json::json;
use swiftlink_admission::Grant;
use swiftlink_router::Settings;
use swiftlink_router::charge::{Cost, Settler};
use swiftlink_router::history::RunHistory;
use swiftlink_router::keys::Keys;
use swiftlink_router::ledgers::Ledgers;
use swiftlink_router::members::Seat;
use swiftlink_telemetry::Metrics;
use swiftlink_types::{BudgetName, Incarnation, RequestKey, VmName, WorkspaceName};
use tokio::runtime::Handle;

const NOW: u64 = 1_700_000_000_000;

fn seat() -> Arc<Seat> {
    let incarnation = Incarnation {
        vm: VmName::from("vm"),
        epoch: 1,
    };
    Seat::new(0, incarnation, 0)
}

/// Whether a keeper that waits for the end of `seat` would join now.
fn joins(seat: &Seat) -> bool {
    let joins = seat.over().now_or_never().is_some();
    assert_eq!(joins, seat.is_over());
    joins
}

#[test]
fn a_retired_incarnation_takes_no_new_work_and_waits_for_the_old() {
    let seat = seat();
    let first = seat.enter().expect("it is active");
    let second = seat.enter().expect("it is active");
    assert!(!joins(&seat));
    seat.retire();
    assert!(seat.enter().is_none());
    assert!(!joins(&seat));
    drop(first);
    assert!(!joins(&seat));
    // A request hands its work over to its charge.
    let charge = seat.stay();
    drop(second);
    assert!(!joins(&seat));
    drop(charge);
    assert!(joins(&seat));
}

#[test]
fn an_incarnation_without_work_is_over_once_it_is_retired() {
    let seat = seat();
    assert!(!joins(&seat), "it is active");
    drop(seat.enter().expect("it is active"));
    assert!(!joins(&seat), "it is active");
    seat.retire();
    assert!(joins(&seat));
}

#[test]
fn stranded_rights_hold_nothing_up() {
    let seat = seat();
    let grant = Arc::new(Grant::new());
    grant.credit(100);
    let stay = seat.enter().expect("it is active");
    let mut rights = grant.hold(40).expect("enough");
    rights.dispatch();
    seat.retire();
    assert!(!joins(&seat));
    drop(rights);
    drop(stay);
    assert_eq!(grant.counters().reserved, 40);
    assert!(joins(&seat));
}

#[test]
fn no_work_begins_once_a_retired_incarnation_was_seen_empty() {
    for _round in 0..2_000 {
        let seat = seat();
        let late = std::thread::scope(|scope| {
            let worker = scope.spawn(|| seat.enter());
            seat.retire();
            let was_over = seat.is_over();
            let stay = worker.join().expect("no panic");
            was_over && stay.is_some()
        });
        assert!(!late);
    }
}

/// A settler that has no ledger to hand its charges to.
fn settler() -> Arc<Settler> {
    let settings = json!({
        "vm": "vm", "domain": "d", "admin": "127.0.0.1:1", "secret": "0123456789abcdef",
        "listen": "127.0.0.1:2", "ledgers": [], "settle_wait_ms": 1,
    });
    let settings: Settings = serde_json::from_value(settings).expect("good settings");
    let ledgers = Arc::new(Ledgers::spawn(&settings));
    let past = RunHistory::new(8);
    Settler::new(ledgers, past, Handle::current(), Metrics::nop(), &settings)
}

#[tokio::test]
async fn an_undecided_charge_outlives_its_answer() {
    let seat = seat();
    let stay = seat.enter().expect("it is active");
    let workspace = WorkspaceName::from("w");
    let key = RequestKey::generate(NOW);
    let keys = Keys::new(1_000, 0);
    let key_use = keys.take(&workspace, key, NOW, 0).expect("free");
    let cost = Cost {
        key,
        workspace,
        budget: BudgetName::from("b"),
        tokens: 7,
        cost: 7,
    };
    settler().settle(&stay, cost, key_use.hold()).await;
    drop(key_use);
    drop(stay);
    seat.retire();
    assert!(!joins(&seat));
    assert_eq!(seat.stays(), 1);
}
