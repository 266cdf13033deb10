//! Reports what this router has seen of each pool to the routers that aggregate it.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_admission::Summary;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::link::{PoolReport, reply, request};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::aggregates::Aggregates;
use super::codec::{decode_report, decode_summary, encode_report};
use crate::fleet::Pool;
use crate::node::Node;
use crate::peers::Peers;

/// Time between two reports, and of one period of the own observations.
const PERIOD: Duration = Duration::from_secs(1);
/// Fleet size up to which routers report once per [`PERIOD`]. Larger fleets report less often in
/// proportion, so that an aggregator receives a constant rate of reports.
const FULL_RATE_ROUTERS: usize = 100;
/// Routers that aggregate the reports on a pool; the second one is asked when the first doesn't
/// answer.
const AGGREGATORS: usize = 2;
/// Timeout of a call: a report that takes longer is replaced by the next one.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Reports until the task is aborted.
pub(crate) async fn run(node: Arc<Node>, peers: Arc<Peers>, aggregates: Arc<Aggregates>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut calls = JoinSet::new();
    for number in node.process % 1_000.. {
        ticks.tick().await;
        while calls.try_join_next().is_some() {}
        let routers = peers.all().len() + 1;
        // In a small fleet, routers exchange updates about servers instead of speeds.
        let has_speeds = peers.is_large();
        let every = routers.div_ceil(FULL_RATE_ROUTERS);
        let is_due = number % every as u64 == 0;
        let period = PERIOD * u32::try_from(every).unwrap_or(u32::MAX);
        for pool in node.pools.all() {
            let is_active = pool.admission.is_active();
            let (load, has_refusals) = if is_active {
                pool.admission.end_period()
            } else {
                (None, false)
            };
            if !is_due {
                continue;
            }
            let samples = if has_speeds {
                pool.take_samples()
            } else {
                Vec::new()
            };
            if load.is_none() && samples.is_empty() {
                continue;
            }
            let load = load.unwrap_or_default();
            let report = encode_report(&pool.name, node.process, &load, has_refusals, samples);
            let placement = node.quotas.placement();
            let vms = placement.top_ranked(pool.name.as_str(), AGGREGATORS);
            let call = Report {
                peers: Arc::clone(&peers),
                aggregates: Arc::clone(&aggregates),
                own: node.settings.vm.clone(),
                period,
            };
            calls.spawn(call.send(pool, report, vms));
        }
    }
}

/// One report on its way.
struct Report {
    peers: Arc<Peers>,
    aggregates: Arc<Aggregates>,
    own: VmName,
    period: Duration,
}

impl Report {
    /// Sends the report to the first aggregator that answers, and applies its summary.
    async fn send(self, pool: Arc<Pool>, report: PoolReport, vms: Vec<VmName>) {
        for vm in vms {
            if vm == self.own {
                let (summary, speeds) = self.aggregates.on_report(
                    &pool.name,
                    report.process,
                    decode_report(&report),
                    &report.servers,
                    &pool.admission.targets(),
                );
                pool.apply_speeds(&speeds);
                self.apply(&pool, summary);
                return;
            }
            let kind = request::Kind::PoolReport(report.clone());
            match self.peers.connect_and_call(&vm, kind, CALL_TIMEOUT).await {
                Ok(reply::Kind::PoolSummary(summary)) => {
                    pool.apply_speeds(&summary.speeds);
                    self.apply(&pool, decode_summary(&summary));
                    return;
                }
                Ok(_) => event!(
                    debug,
                    "admission.report_failed",
                    peer = vm,
                    reason = "unexpected reply"
                ),
                Err(LinkError::Down) => {}
                Err(error) => {
                    event!(debug, "admission.report_failed", peer = vm, reason = error);
                }
            }
        }
    }

    fn apply(&self, pool: &Pool, summary: Summary) {
        if pool.admission.is_active() {
            pool.admission.on_summary(summary, self.period);
        }
    }
}
