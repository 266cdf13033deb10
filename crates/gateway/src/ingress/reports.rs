//! Reports on the links of the routers in one failure domain.
//!
//! A router whose link is busy reports that once a second to one of two routers of its failure
//! domain, which are the same for all, and gets back the recent reports of the others. A report that
//! gets no answer changes nothing: the last summary expires, and the router decides by its own link.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_ingress::{DomainView, RouterLoad};
use swiftlink_telemetry::event;
use swiftlink_types::VmName;
use swiftlink_wire::link::{DomainReport, DomainSummary, reply, request};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::Ingress;
use super::watch::{BUSY_AT, LinkState};
use crate::peers::Peers;
use crate::quota::PeerClient;

/// Time between two reports: the interval of the balancer's health checks.
const INTERVAL: Duration = Duration::from_secs(1);
/// Age at which a report expires.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Timeout of a report. Later answers show the past, and the next report follows.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Number of routers of a failure domain that collect reports; the second one replaces the first.
const COLLECTORS: usize = 2;

/// Recent reports of the routers in this failure domain.
#[derive(Debug, Default)]
pub(crate) struct DomainReports(Mutex<HashMap<String, (DomainReport, Instant)>>);

impl DomainReports {
    /// Adds a report and returns all recent ones.
    pub(crate) fn reply_to(&self, report: DomainReport) -> DomainSummary {
        let now = Instant::now();
        let mut reports = self.lock();
        reports.retain(|_, (_, at)| now.duration_since(*at) < MAX_AGE);
        reports.insert(report.vm.clone(), (report, now));
        DomainSummary {
            routers: reports.values().map(|(report, _)| report.clone()).collect(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, (DomainReport, Instant)>> {
        // No panic can leave the map half changed.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reports this router's link while it is busy, until the task is aborted.
pub(crate) async fn exchange(
    ingress: Arc<Ingress>,
    peers: Arc<Peers>,
    reports: Arc<DomainReports>,
    vm: VmName,
    process: u64,
    states: watch::Receiver<LinkState>,
) {
    loop {
        sleep(INTERVAL).await;
        let state = *states.borrow();
        if state.is_ready && state.utilization < BUSY_AT {
            continue;
        }
        let report = DomainReport {
            vm: vm.to_string(),
            process,
            link_milli: (state.utilization * 1_000.0) as u32,
            is_ready: state.is_ready,
        };
        let Some(summary) = collect(&peers, &reports, &vm, report).await else {
            continue;
        };
        let loads = summary.routers.into_iter().map(|report| RouterLoad {
            vm: Arc::from(report.vm),
            utilization: f64::from(report.link_milli) / 1_000.0,
            is_ready: report.is_ready,
        });
        ingress.view.store(Some(Arc::new(DomainView {
            routers: peers.domain_len(),
            loads: loads.collect(),
            at: ingress.now(),
        })));
    }
}

/// Sends the report to the first collector that answers.
async fn collect(
    peers: &Peers,
    reports: &DomainReports,
    own: &VmName,
    report: DomainReport,
) -> Option<DomainSummary> {
    for vm in peers.domain_ranking(COLLECTORS) {
        if vm == *own {
            return Some(reports.reply_to(report));
        }
        let kind = request::Kind::DomainReport(report.clone());
        match peers.call(&vm, kind, TIMEOUT).await {
            Ok(reply::Kind::DomainSummary(summary)) => return Some(summary),
            Ok(_) => event!(warn, "peer.wrong_reply", peer = vm),
            Err(error) => event!(debug, "link.not_reported", peer = vm, reason = error),
        }
    }
    None
}
