//! Reports this router's statistics to the coordinators of each rollout.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::LinkError;
use swiftlink_rollout::{Order, Report};
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VmName};
use swiftlink_wire::link::{self, reply, request};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::codec::encode_report;
use super::coordinator::{Coordinator, Place};
use crate::catalog::Catalog;
use crate::fleet::Pool;
use crate::node::Node;
use crate::peers::Peers;
use crate::store::Store;

/// Time between two reports while a rollout runs. Under full traffic a faulty version gets all
/// requests of this time before anyone can know.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Fleet size up to which [`REPORT_INTERVAL`] applies. Larger fleets report less often in
/// proportion, so that coordinators receive a constant rate of reports.
const FULL_RATE_ROUTERS: usize = 100;
/// Time between two checks for an order.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Coordinators of a rollout. The second one takes over if the first one is lost; their writes are
/// conditional.
const COORDINATORS: usize = 2;
/// A report that hasn't changed is sent again after so many intervals: it may have been lost, and
/// another router may coordinate the rollout by now.
const REPEAT_TURNS: u32 = 10;
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The last report about a pool.
struct Reported {
    order: u64,
    report: Report,
    /// Intervals since it was sent.
    turns: u32,
}

impl Reported {
    /// Whether this report on an order is to be sent after it, an interval later.
    fn is_due(&mut self, order: u64, report: &Report) -> bool {
        self.turns += 1;
        self.order != order || self.report != *report || self.turns >= REPEAT_TURNS
    }
}

/// Reports and coordinates until the task is aborted.
pub(crate) async fn run(
    node: Arc<Node>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    catalog: Arc<dyn Catalog>,
) {
    let mut calls = JoinSet::new();
    let mut coordinators: HashMap<PoolName, Coordinator> = HashMap::new();
    let mut reported: HashMap<PoolName, Reported> = HashMap::new();
    loop {
        let mut is_running = false;
        let routers = peers.all().len() + 1;
        for pool in node.pools.all() {
            let Some((order, stage, _)) = pool.rollout.order() else {
                coordinators.remove(&pool.name);
                continue;
            };
            is_running |= !stage.is_final();
            let coordinator_vms = node
                .quotas
                .placement()
                .top_ranked(pool.name.as_str(), COORDINATORS);
            let report = pool.rollout.report(pool.running_on_others(&order.version));
            let last = reported.get_mut(&pool.name);
            let is_due = last.is_none_or(|last| last.is_due(order.number, &report));
            if !stage.is_final() && is_due {
                send_report(
                    &node,
                    &peers,
                    &pool,
                    &order,
                    &report,
                    &coordinator_vms,
                    &mut calls,
                );
                let sent = Reported {
                    order: order.number,
                    report,
                    turns: 0,
                };
                reported.insert(pool.name.clone(), sent);
            }
            let rank = coordinator_vms
                .iter()
                .position(|vm| *vm == node.settings.vm);
            let Some(rank) = rank else {
                coordinators.remove(&pool.name);
                continue;
            };
            let coordinator = coordinators.entry(pool.name.clone()).or_default();
            coordinator
                .take_step(&node, &pool, &*store, &*catalog, Place { rank, routers })
                .await;
        }
        while calls.try_join_next().is_some() {}
        let interval =
            REPORT_INTERVAL.mul_f64((routers as f64 / FULL_RATE_ROUTERS as f64).max(1.0));
        sleep(if is_running { interval } else { POLL_INTERVAL }).await;
    }
}

fn send_report(
    node: &Arc<Node>,
    peers: &Arc<Peers>,
    pool: &Pool,
    order: &Order,
    report: &Report,
    coordinator_vms: &[VmName],
    calls: &mut JoinSet<()>,
) {
    let message = encode_report(&pool.name, order.number, node.process, report);
    for vm in coordinator_vms {
        if *vm == node.settings.vm {
            let report = report.clone();
            node.reports
                .insert(&pool.name, order.number, node.process, report);
            continue;
        }
        calls.spawn(send(Arc::clone(peers), vm.clone(), message.clone()));
    }
}

async fn send(peers: Arc<Peers>, vm: VmName, message: link::Tally) {
    match peers
        .connect_and_call(&vm, request::Kind::Tally(message), CALL_TIMEOUT)
        .await
    {
        Ok(reply::Kind::Noted(_)) => {}
        Ok(_) => event!(
            warn,
            "rollout.report_failed",
            peer = vm,
            reason = "unexpected reply"
        ),
        // Reports are cumulative and repeated, so the next one makes up for this one, and the other
        // coordinator receives it too.
        Err(LinkError::Down) => {}
        Err(error) => event!(debug, "rollout.report_failed", peer = vm, reason = error),
    }
}
