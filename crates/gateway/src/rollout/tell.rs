//! Tells the routers that lead a roll-out what this one has seen of it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::LinkError;
use swiftlink_rollout::{Order, Report};
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VmName};
use swiftlink_wire::link::{Tally as TallyMessage, reply, request};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::lead::Lead;
use super::message::message;
use crate::catalog::Catalog;
use crate::fleet::Pool;
use crate::node::Node;
use crate::peers::Peers;
use crate::store::Store;

/// Time between two reports while a roll-out runs: under full traffic a bad version gets what comes
/// in that time before anybody can know.
const PERIOD: Duration = Duration::from_millis(100);
/// Routers for which that is the period; in a larger fleet each one reports so much more seldom
/// that those who lead hear as many reports a second.
const ROUTERS: usize = 100;
/// Time between two looks for an order.
const LOOK: Duration = Duration::from_millis(250);
/// Routers that lead a roll-out: the second one goes on where the first is lost, and what both
/// write is conditional.
const LEADERS: usize = 2;
/// Longest time for a peer's answer.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Tells, and leads, until the task is aborted.
pub(crate) async fn run(
    node: Arc<Node>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    catalog: Arc<dyn Catalog>,
) {
    let mut calls = JoinSet::new();
    let mut leads: HashMap<PoolName, Lead> = HashMap::new();
    let mut told: HashMap<PoolName, Report> = HashMap::new();
    loop {
        let mut is_running = false;
        for pool in node.pools.all() {
            let Some((order, stage, _)) = pool.lane.order() else {
                leads.remove(&pool.name);
                continue;
            };
            is_running |= !stage.is_final();
            let leaders = node
                .quotas
                .placement()
                .top_ranked(pool.name.as_str(), LEADERS);
            let report = pool.lane.report(pool.running_elsewhere(&order.version));
            if !stage.is_final() && told.get(&pool.name) != Some(&report) {
                tell(&node, &peers, &pool, &order, &report, &leaders, &mut calls);
                told.insert(pool.name.clone(), report);
            }
            let rank = leaders.iter().position(|vm| *vm == node.settings.vm);
            let Some(rank) = rank else {
                leads.remove(&pool.name);
                continue;
            };
            let lead = leads.entry(pool.name.clone()).or_default();
            lead.step(&node, &pool, &*store, &*catalog, rank).await;
        }
        while calls.try_join_next().is_some() {}
        let routers = peers.all().len() + 1;
        let period = PERIOD.mul_f64((routers as f64 / ROUTERS as f64).max(1.0));
        sleep(if is_running { period } else { LOOK }).await;
    }
}

fn tell(
    node: &Arc<Node>,
    peers: &Arc<Peers>,
    pool: &Pool,
    order: &Order,
    report: &Report,
    leaders: &[VmName],
    calls: &mut JoinSet<()>,
) {
    let tally = message(&pool.name, order.number, node.process, report);
    for vm in leaders {
        if *vm == node.settings.vm {
            let report = report.clone();
            node.reports
                .take(&pool.name, order.number, node.process, report);
            continue;
        }
        calls.spawn(send(Arc::clone(peers), vm.clone(), tally.clone()));
    }
}

async fn send(peers: Arc<Peers>, vm: VmName, tally: TallyMessage) {
    match peers
        .connect_and_call(&vm, request::Kind::Tally(tally), ANSWER_TIME)
        .await
    {
        Ok(reply::Kind::Noted(_)) => {}
        Ok(_) => event!(warn, "rollout.not_told", peer = vm, reason = "wrong reply"),
        // The next report has all that this one had; the other leader hears it too.
        Err(LinkError::Down) => {}
        Err(error) => event!(debug, "rollout.not_told", peer = vm, reason = error),
    }
}
