//! Retirement, quarantine and release of routers that are gone, and handover of charges
//! on shutdown.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::list::VmList;
use common::{
    BUDGET, SHARDS, apply, change, charge, claim, declare_budget, join, listener, settings, spawn,
    spawn_fleet, stop_all, with_budget, with_vm,
};
use swiftlink_budget::{Fold, shard_of};
use swiftlink_log::{Fault, MemLog};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_release_waits_for_charges_that_a_peer_holds() {
    let log = Arc::new(MemLog::new());
    let nodes = spawn_fleet(2, &log);
    declare_budget(&log, 1_000, "proof").await;
    for node in &nodes {
        node.wait_up().await;
        node.wait_until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
    }
    nodes[0].submit_one(join(1)).await;
    nodes[0].submit_one(claim(1, 1, 100)).await;
    nodes[1].log.set_unreachable(true);
    drop(nodes[1].settle(charge(1, 1, 40)).await);

    nodes[0].submit_one(join(2)).await;
    // Several times the delay before a release.
    tokio::time::sleep(Duration::from_secs(2)).await;
    nodes[0]
        .wait_until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    nodes[1].log.set_unreachable(false);
    nodes[0]
        .wait_until("release", |fold| quarantined(fold) == Some(0))
        .await;
    nodes[0]
        .wait_until("charge", |fold| totals(fold) == Some((40, 960)))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unreachable_ledger_blocks_the_release() {
    let log = Arc::new(MemLog::new());
    let mut nodes = spawn_fleet(2, &log);
    declare_budget(&log, 1_000, "proof").await;
    nodes[0].wait_up().await;
    nodes[0]
        .wait_until("top-up", |fold| fold.has_top_up("b1", "t1"))
        .await;
    nodes[0].submit_one(join(1)).await;
    nodes[0].submit_one(claim(1, 1, 100)).await;
    nodes.pop().unwrap().stop().await;
    nodes[0].submit_one(join(2)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    nodes[0]
        .wait_until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_vm_that_left_the_list_is_proof_only_if_the_budget_accepts_it() {
    for (release, freed) in [("listed", true), ("proof", false)] {
        let log = Arc::new(MemLog::new());
        let list = VmList::serve(r#"{"version":1,"vms":[{"name":"vm-1"},{"name":"router-vm"}]}"#);
        let (bound, _) = listener();
        let mut with_list = settings("vm-1", &[]);
        with_list.vms = Some(list.address);
        let node = spawn(with_list, bound, &log);
        node.wait_up().await;
        declare_budget(&log, 1_000, release).await;
        node.wait_until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
        node.submit_one(join(1)).await;
        node.submit_one(claim(1, 1, 100)).await;
        // An empty list, like an older one, is no evidence that a VM is gone.
        list.wait_read().await;
        list.set(r#"{"version":2,"vms":[]}"#);
        list.wait_read().await;
        list.wait_read().await;
        node.wait_until("active", |fold| fold.active().len() == 1)
            .await;

        list.set(r#"{"version":3,"vms":[{"name":"vm-1"}]}"#);
        node.wait_until("retirement", |fold| fold.active().is_empty())
            .await;
        if freed {
            node.wait_until("release", |fold| quarantined(fold) == Some(0))
                .await;
        } else {
            tokio::time::sleep(Duration::from_secs(2)).await;
            node.wait_until("quarantine", |fold| quarantined(fold) == Some(100))
                .await;
        }
        node.stop().await;
    }
}

/// A budget on the stream of [`BUDGET`].
fn budget_on_same_stream() -> String {
    let mut names = (0..).map(|number| format!("n{number}"));
    let shard = shard_of(BUDGET, SHARDS);
    let found = names.find(|name| shard_of(name, SHARDS) == shard);
    found.expect("half of all names")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_release_follows_the_rules_of_the_budgets_with_unspent_grants() {
    let log = Arc::new(MemLog::new());
    let all = r#"{"version":1,"vms":[{"name":"vm-1"},{"name":"router-vm"},{"name":"other-vm"}]}"#;
    let list = VmList::serve(all);
    let (bound, _) = listener();
    let mut with_list = settings("vm-1", &[]);
    with_list.vms = Some(list.address);
    let node = spawn(with_list, bound, &log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "listed").await;
    let strict = budget_on_same_stream();
    let top_up = format!(r#"{{"budget":"{strict}","amount":500}}"#);
    let changes = vec![
        change("budget", &strict, r#"{"release":"proof"}"#),
        change("topup", "t2", &top_up),
    ];
    apply(&log, "strict", changes).await;
    node.wait_until("top-ups", |fold| {
        fold.has_top_up("b1", "t1") && fold.has_top_up(&strict, "t2")
    })
    .await;
    node.submit_one(join(1)).await;
    node.submit_one(claim(1, 1, 100)).await;
    node.submit_one(with_vm("other-vm", join(1))).await;
    let other = |kind| with_budget(&strict, with_vm("other-vm", kind));
    node.submit_one(other(claim(1, 1, 50))).await;
    list.wait_read().await;
    list.set(r#"{"version":2,"vms":[{"name":"vm-1"}]}"#);

    // The grants of one router are released; those of the other wait for proof.
    node.wait_until("release", |fold| {
        fold.active().is_empty() && quarantined(fold) == Some(0)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    node.wait_until("quarantine", |fold| {
        fold.view(&strict).map(|view| view.quarantined) == Some(50)
    })
    .await;
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_during_an_outage_hands_charges_to_a_peer() {
    let log = Arc::new(MemLog::new());
    let mut nodes = spawn_fleet(2, &log);
    declare_budget(&log, 1_000, "proof").await;
    for node in &nodes {
        node.wait_up().await;
        node.wait_until("top-up", |fold| fold.has_top_up("b1", "t1"))
            .await;
    }
    nodes[0].submit_one(join(1)).await;
    nodes[0].submit_one(claim(1, 1, 100)).await;
    log.set_fault(Fault::Outage);
    for serial in 1..=10 {
        drop(nodes[0].settle(charge(1, serial, 4)).await);
    }
    nodes.remove(0).stop().await;
    log.set_fault(Fault::None);
    nodes[0]
        .wait_until("charges", |fold| totals(fold) == Some((40, 900)))
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
