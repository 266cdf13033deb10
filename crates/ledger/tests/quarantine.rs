//! Rights of routers that are gone: retired, kept, freed. Charges handed over at a stop.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::list::VmList;
use common::{
    BUDGET, SHARDS, apply, change, charge, claim, declare, fleet, join, listener, of_budget, of_vm,
    settings, spawn, stop_all,
};
use swiftlink_budget::{Fold, shard_of};
use swiftlink_log::{Fault, MemLog};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_release_waits_for_charges_that_a_peer_holds() {
    let log = Arc::new(MemLog::new());
    let nodes = fleet(2, &log);
    declare(&log, 1_000, "proof").await;
    for node in &nodes {
        node.up().await;
        node.until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
    }
    nodes[0].one(join(1)).await;
    nodes[0].one(claim(1, 1, 100)).await;
    nodes[1].log.set_cut(true);
    drop(nodes[1].settle(charge(1, 1, 40)).await);

    nodes[0].one(join(2)).await;
    // Several times the wait before a release.
    tokio::time::sleep(Duration::from_secs(2)).await;
    nodes[0]
        .until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    nodes[1].log.set_cut(false);
    nodes[0]
        .until("release", |fold| quarantined(fold) == Some(0))
        .await;
    nodes[0]
        .until("charge", |fold| totals(fold) == Some((40, 960)))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ledger_that_cannot_be_asked_blocks_the_release() {
    let log = Arc::new(MemLog::new());
    let mut nodes = fleet(2, &log);
    declare(&log, 1_000, "proof").await;
    nodes[0].up().await;
    nodes[0]
        .until("top-up", |fold| fold.has_top_up("b1", "t1"))
        .await;
    nodes[0].one(join(1)).await;
    nodes[0].one(claim(1, 1, 100)).await;
    nodes.pop().unwrap().stop().await;
    nodes[0].one(join(2)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    nodes[0]
        .until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_left_the_list_is_proof_only_where_the_budget_says_so() {
    for (release, freed) in [("listed", true), ("proof", false)] {
        let log = Arc::new(MemLog::new());
        let list = VmList::serve(r#"{"version":1,"vms":[{"name":"vm-1"},{"name":"router-vm"}]}"#);
        let (bound, _) = listener();
        let mut with_list = settings("vm-1", &[]);
        with_list.vms = Some(list.address);
        let node = spawn(with_list, bound, &log);
        node.up().await;
        declare(&log, 1_000, release).await;
        node.until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
        node.one(join(1)).await;
        node.one(claim(1, 1, 100)).await;
        // An empty or older list says nothing.
        list.wait_read().await;
        list.set(r#"{"version":2,"vms":[]}"#);
        list.wait_read().await;
        list.wait_read().await;
        node.until("active", |fold| fold.active().len() == 1).await;

        list.set(r#"{"version":3,"vms":[{"name":"vm-1"}]}"#);
        node.until("retirement", |fold| fold.active().is_empty())
            .await;
        if freed {
            node.until("release", |fold| quarantined(fold) == Some(0))
                .await;
        } else {
            tokio::time::sleep(Duration::from_secs(2)).await;
            node.until("quarantine", |fold| quarantined(fold) == Some(100))
                .await;
        }
        node.stop().await;
    }
}

/// A budget on the stream of [`BUDGET`].
fn neighbour() -> String {
    let mut names = (0..).map(|number| format!("n{number}"));
    let shard = shard_of(BUDGET, SHARDS);
    let found = names.find(|name| shard_of(name, SHARDS) == shard);
    found.expect("half of all names")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_router_is_judged_by_the_budgets_on_which_it_holds_rights() {
    let log = Arc::new(MemLog::new());
    let all = r#"{"version":1,"vms":[{"name":"vm-1"},{"name":"router-vm"},{"name":"other-vm"}]}"#;
    let list = VmList::serve(all);
    let (bound, _) = listener();
    let mut with_list = settings("vm-1", &[]);
    with_list.vms = Some(list.address);
    let node = spawn(with_list, bound, &log);
    node.up().await;
    declare(&log, 1_000, "listed").await;
    let strict = neighbour();
    let top_up = format!(r#"{{"budget":"{strict}","amount":500}}"#);
    let changes = vec![
        change("budget", &strict, r#"{"release":"proof"}"#),
        change("topup", "t2", &top_up),
    ];
    apply(&log, "strict", changes).await;
    node.until("top-ups", |fold| {
        fold.has_top_up("b1", "t1") && fold.has_top_up(&strict, "t2")
    })
    .await;
    node.one(join(1)).await;
    node.one(claim(1, 1, 100)).await;
    node.one(of_vm("other-vm", join(1))).await;
    let other = |kind| of_budget(&strict, of_vm("other-vm", kind));
    node.one(other(claim(1, 1, 50))).await;
    list.wait_read().await;
    list.set(r#"{"version":2,"vms":[{"name":"vm-1"}]}"#);

    // The rights of one go back; those of the other wait for their proof.
    node.until("release", |fold| {
        fold.active().is_empty() && quarantined(fold) == Some(0)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    node.until("quarantine", |fold| {
        fold.view(&strict).map(|view| view.quarantined) == Some(50)
    })
    .await;
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_during_an_outage_hands_charges_to_a_peer() {
    let log = Arc::new(MemLog::new());
    let mut nodes = fleet(2, &log);
    declare(&log, 1_000, "proof").await;
    for node in &nodes {
        node.up().await;
        node.until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
    }
    nodes[0].one(join(1)).await;
    nodes[0].one(claim(1, 1, 100)).await;
    log.set_fault(Fault::Outage);
    for serial in 1..=10 {
        drop(nodes[0].settle(charge(1, serial, 4)).await);
    }
    nodes.remove(0).stop().await;
    log.set_fault(Fault::None);
    nodes[0]
        .until("charges", |fold| totals(fold) == Some((40, 900)))
        .await;
    stop_all(nodes).await;
}

fn quarantined(fold: &Fold) -> Option<u64> {
    Some(fold.view("b1")?.quarantined)
}

/// Charged and free tokens.
fn totals(fold: &Fold) -> Option<(u64, u64)> {
    let view = fold.view("b1")?;
    Some((view.charged, view.free))
}
