//! When a router whose incarnation was retired may join anew.

use std::sync::Arc;

use futures_util::FutureExt;
use serde_json::json;
use swiftlink_admission::Grant;
use swiftlink_router::Settings;
use swiftlink_router::charge::{Cost, Settler};
use swiftlink_router::keys::Keys;
use swiftlink_router::ledgers::Ledgers;
use swiftlink_router::members::Membership;
use swiftlink_router::past::PastRuns;
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

/// Whether a keeper that waits for the end of `membership` would join now.
fn joins(membership: &Membership) -> bool {
    let joins = membership.drained().now_or_never().is_some();
    assert_eq!(joins, membership.is_drained());
    joins
}

#[test]
fn a_retired_incarnation_takes_no_new_work_and_waits_for_the_old() {
    let membership = membership();
    let first = membership.begin_work().expect("it is active");
    let second = membership.begin_work().expect("it is active");
    assert!(!joins(&membership));
    membership.retire();
    assert!(membership.begin_work().is_none());
    assert!(!joins(&membership));
    drop(first);
    assert!(!joins(&membership));
    // A request hands its work over to its charge.
    let charge = membership.continue_work();
    drop(second);
    assert!(!joins(&membership));
    drop(charge);
    assert!(joins(&membership));
}

#[test]
fn an_incarnation_without_work_is_over_once_it_is_retired() {
    let membership = membership();
    assert!(!joins(&membership), "it is active");
    drop(membership.begin_work().expect("it is active"));
    assert!(!joins(&membership), "it is active");
    membership.retire();
    assert!(joins(&membership));
}

#[test]
fn stranded_rights_hold_nothing_up() {
    let membership = membership();
    let grant = Arc::new(Grant::new());
    grant.credit(100);
    let guard = membership.begin_work().expect("it is active");
    let mut rights = grant.hold(40).expect("enough");
    rights.dispatch();
    membership.retire();
    assert!(!joins(&membership));
    drop(rights);
    drop(guard);
    assert_eq!(grant.counters().reserved, 40);
    assert!(joins(&membership));
}

#[test]
fn no_work_begins_once_a_retired_incarnation_was_seen_empty() {
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

/// A settler that has no ledger to hand its charges to.
fn settler() -> Arc<Settler> {
    let settings = json!({
        "vm": "vm", "domain": "d", "admin": "127.0.0.1:1", "secret": "0123456789abcdef",
        "listen": "127.0.0.1:2", "ledgers": [], "settle_wait_ms": 1,
    });
    let settings: Settings = serde_json::from_value(settings).expect("good settings");
    let ledgers = Arc::new(Ledgers::spawn(&settings));
    let past = PastRuns::new(8);
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
    assert!(!joins(&membership));
    assert_eq!(membership.pending_work(), 1);
}
