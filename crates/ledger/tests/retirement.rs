//! Retirement and release of routers on a VM that an operator declares gone.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::list::VmList;
use common::{
    Node, TIMEOUT, apply, change, charge, claim, declare_budget, join, listener, settings, spawn,
    spawn_fleet, spawn_single, stop_all, stream,
};
use prost::Message;
use swiftlink_budget::Fold;
use swiftlink_link::LinkError;
use swiftlink_log::{Log, MemLog};
use swiftlink_resource::Kind;
use swiftlink_wire::log::{Batch, Change, Record};

/// Several times the delay before a retirement or release.
const RELEASE_MARGIN: Duration = Duration::from_secs(2);

async fn retire(log: &MemLog, vm: &str) {
    let spec = r#"{"reason":"power supply burnt"}"#;
    apply(
        log,
        &format!("retire-{vm}"),
        vec![change("retirement", vm, spec)],
    )
    .await;
}

/// Version of the VM's retirement in the configuration of `node`. A version is an offset,
/// and a snapshot of the stream takes an offset too, so it isn't known beforehand.
fn retirement(node: &Node, vm: &str) -> Option<u64> {
    let state = node.ledger.config().state();
    let config = state.get()?.config();
    Some(config.get(Kind::Retirement, vm)?.version)
}

/// Withdraws the VM's retirement; returns once `node` has applied the change.
async fn withdraw(log: &MemLog, node: &Node, vm: &str) {
    let version = retirement(node, vm).expect("a retirement");
    let delete = Change {
        base: version,
        delete: true,
        ..change("retirement", vm, "")
    };
    apply(log, &format!("withdraw-{vm}"), vec![delete]).await;
    common::eventually("withdrawal", || retirement(node, vm).is_none()).await;
}

async fn join_with_grant(nodes: &[Node], log: &MemLog, release: &str) {
    declare_budget(log, 1_000, release).await;
    for node in nodes {
        node.wait_up().await;
        node.wait_top_up().await;
    }
    nodes[0].submit_one(join(1)).await;
    nodes[0].submit_one(claim(1, 1, 100)).await;
}

fn quarantined(fold: &Fold) -> Option<u64> {
    Some(fold.view("b1")?.quarantined)
}

/// Charged and free tokens.
fn totals(fold: &Fold) -> Option<(u64, u64)> {
    let view = fold.view("b1")?;
    Some((view.charged, view.free))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_declared_retirement_releases_grants_and_counts_charges() {
    let log = Arc::new(MemLog::new());
    let nodes = spawn_fleet(2, &log);
    join_with_grant(&nodes, &log, "proof").await;
    drop(nodes[1].settle(charge(1, 1, 40)).await);
    retire(&log, "router-vm").await;
    for node in &nodes {
        node.wait_until("release", |fold| {
            fold.active().is_empty() && fold.retired().is_empty()
        })
        .await;
        node.wait_until("totals", |fold| totals(fold) == Some((40, 960)))
            .await;
    }
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pending_charges_hold_back_a_declared_release_too() {
    let log = Arc::new(MemLog::new());
    let nodes = spawn_fleet(2, &log);
    join_with_grant(&nodes, &log, "proof").await;
    nodes[1].log.set_unreachable(true);
    drop(nodes[1].settle(charge(1, 1, 40)).await);
    // This holds even when the peer's own VM is declared gone, as long as the peer answers.
    retire(&log, "vm-1").await;
    retire(&log, "router-vm").await;
    nodes[0]
        .wait_until("retirement", |fold| fold.active().is_empty())
        .await;
    tokio::time::sleep(RELEASE_MARGIN).await;
    nodes[0]
        .wait_until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    nodes[1].log.set_unreachable(false);
    nodes[0]
        .wait_until("charge", |fold| totals(fold) == Some((40, 960)))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_ledger_counts_as_gone_only_when_its_vm_is_declared_gone() {
    let log = Arc::new(MemLog::new());
    let mut nodes = spawn_fleet(2, &log);
    join_with_grant(&nodes, &log, "proof").await;
    nodes.pop().unwrap().stop().await;
    retire(&log, "router-vm").await;
    nodes[0]
        .wait_until("retirement", |fold| fold.active().is_empty())
        .await;
    tokio::time::sleep(RELEASE_MARGIN).await;
    nodes[0]
        .wait_until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    retire(&log, "vm-1").await;
    nodes[0]
        .wait_until("release", |fold| totals(fold) == Some((0, 1_000)))
        .await;
    stop_all(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn joins_on_a_retired_vm_are_refused_until_it_is_withdrawn() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    let nodes = [node];
    join_with_grant(&nodes, &log, "proof").await;
    let [node] = nodes;
    retire(&log, "router-vm").await;
    node.wait_until("release", |fold| totals(fold) == Some((0, 1_000)))
        .await;
    let refused = node.submit(vec![join(2)], TIMEOUT).await;
    let Err(LinkError::Failed(failure)) = refused else {
        panic!("joined: {refused:?}");
    };
    assert_eq!(
        failure.detail,
        "VM router-vm is declared gone for good: delete retirement/router-vm to use it again"
    );
    // A join through a ledger that hasn't read the retirement yet is retired and released.
    let record = Record {
        kind: Some(join(3)),
    };
    let batch = Batch {
        writer: "ledger-behind".to_owned(),
        writer_epoch: 1,
        seq: 1,
        stamp_ms: 0,
        records: vec![record],
    };
    let data = Bytes::from(batch.encode_to_vec());
    let offset = log.append(&stream(), data).await.unwrap();
    let (_, shard) = node.ledger.shards().find(stream().as_str()).unwrap();
    common::eventually("join", || shard.stream.next() > offset).await;
    node.wait_until("release", |fold| {
        fold.active().is_empty() && fold.retired().is_empty()
    })
    .await;

    withdraw(&log, &node, "router-vm").await;
    node.submit_one(join(4)).await;
    node.submit_one(claim(4, 1, 10)).await;
    tokio::time::sleep(RELEASE_MARGIN).await;
    node.wait_until("active", |fold| fold.active().len() == 1)
        .await;
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_withdrawn_retirement_proves_nothing() {
    let log = Arc::new(MemLog::new());
    let list = VmList::serve(r#"{"version":1,"vms":[{"name":"vm-0"},{"name":"router-vm"}]}"#);
    let (bound, _) = listener();
    // A peer that isn't reachable yet holds back the release.
    let (late, address) = listener();
    let mut with_list = settings("vm-0", &[("vm-1".to_owned(), address)]);
    with_list.vms = Some(list.address);
    let nodes = [spawn(with_list, bound, &log)];
    join_with_grant(&nodes, &log, "listed").await;
    let [node] = nodes;
    retire(&log, "router-vm").await;
    node.wait_until("retirement", |fold| fold.active().is_empty())
        .await;
    withdraw(&log, &node, "router-vm").await;
    let peer = spawn(settings("vm-1", &[]), late, &log);
    peer.wait_up().await;
    tokio::time::sleep(RELEASE_MARGIN).await;
    node.wait_until("quarantine", |fold| quarantined(fold) == Some(100))
        .await;
    // The VM list still counts as proof, as the budget's release rule says.
    list.set(r#"{"version":2,"vms":[{"name":"vm-0"}]}"#);
    node.wait_until("release", |fold| quarantined(fold) == Some(0))
        .await;
    stop_all(vec![node, peer]).await;
}
