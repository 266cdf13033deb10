//! When a router whose incarnation was retired may join again.

use std::sync::Arc;

use futures_util::FutureExt;
use serde_json::json;
use swiftlink_admission::Grant;
use swiftlink_router::Settings;
use swiftlink_router::charge::{Cost, Settler};
use swiftlink_router::history::RunHistory;
use swiftlink_router::keys::Keys;
use swiftlink_router::ledgers::Ledgers;
use swiftlink_router::members::Membership;
use swiftlink_telemetry::Metrics;
use swiftlink_types::{BudgetName, Incarnation, RequestKey, VmName, WorkspaceName};
use tokio::runtime::Handle;

const NOW: u64 = 1_700_000_000_000;

fn membership() -> Arc<Membership> {
    let incarnation = Incarnation {
        vm: VmName::from("vm"),
        epoch: 1,
    };
    Membership::new(0, incarnation, 0)
}

/// Whether a keeper that waits until `membership` is drained would join now.
fn may_join(membership: &Membership) -> bool {
    let may_join = membership.drained().now_or_never().is_some();
    assert_eq!(may_join, membership.is_drained());
    may_join
}

#[test]
fn a_retired_incarnation_accepts_no_work_and_waits_for_work_in_progress() {
    let membership = membership();
    let first = membership.begin_work().expect("it is active");
    let second = membership.begin_work().expect("it is active");
    assert!(!may_join(&membership));
    membership.retire();
    assert!(membership.begin_work().is_none());
    assert!(!may_join(&membership));
    drop(first);
    assert!(!may_join(&membership));
    // A request passes its work on to its charge.
    let charge = membership.continue_work();
    drop(second);
    assert!(!may_join(&membership));
    drop(charge);
    assert!(may_join(&membership));
}

#[test]
fn an_incarnation_without_work_is_drained_once_it_is_retired() {
    let membership = membership();
    assert!(!may_join(&membership), "it is active");
    drop(membership.begin_work().expect("it is active"));
    assert!(!may_join(&membership), "it is active");
    membership.retire();
    assert!(may_join(&membership));
}

#[test]
fn quota_that_stays_reserved_does_not_delay_the_join() {
    let membership = membership();
    let grant = Arc::new(Grant::new());
    grant.credit(100);
    let guard = membership.begin_work().expect("it is active");
    let mut reservation = grant.hold(40).expect("enough");
    reservation.dispatch();
    membership.retire();
    assert!(!may_join(&membership));
    drop(reservation);
    drop(guard);
    assert_eq!(grant.counters().reserved, 40);
    assert!(may_join(&membership));
}

#[test]
fn no_work_begins_once_a_retired_incarnation_was_seen_drained() {
    for _round in 0..2_000 {
        let membership = membership();
        let late = std::thread::scope(|scope| {
            let worker = scope.spawn(|| membership.begin_work());
            membership.retire();
            let was_drained = membership.is_drained();
            let guard = worker.join().expect("no panic");
            was_drained && guard.is_some()
        });
        assert!(!late);
    }
}

/// A settler without ledgers.
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
    let membership = membership();
    let guard = membership.begin_work().expect("it is active");
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
    settler().settle(&guard, cost, key_use.hold()).await;
    drop(key_use);
    drop(guard);
    membership.retire();
    assert!(!may_join(&membership));
    assert_eq!(membership.pending_work(), 1);
}
