//! Aggregates the reports of all router processes for the coordinator of a rollout.

use std::collections::{BTreeMap, HashMap};

use crate::order::Stage;
use crate::stats::{ResponseStats, RouterStats, StatsKey};

/// Cumulative statistics of one router process since the rollout order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Stage that the process applies.
    pub stage: Stage,
    /// Requests still running on servers of other versions than the ordered one.
    pub old_running: u64,
    /// Responses counted since the order.
    pub stats: RouterStats,
}

/// Latest report of each router process.
#[derive(Clone, Debug, Default)]
pub struct ReportAggregate {
    reports: HashMap<u64, Report>,
    /// Totals when the current stage began. Responses from earlier stages say nothing about the new
    /// version under full traffic.
    baseline: BTreeMap<StatsKey, ResponseStats>,
}

impl ReportAggregate {
    /// Records a report. Counters are cumulative, so the latest report of a process replaces its
    /// earlier ones.
    pub fn insert(&mut self, process: u64, report: Report) {
        self.reports.insert(process, report);
    }

    /// Totals of all processes since the order.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<StatsKey, ResponseStats> {
        let mut totals: BTreeMap<StatsKey, ResponseStats> = BTreeMap::new();
        for report in self.reports.values() {
            for (key, row) in &report.stats.rows {
                totals.entry(key.clone()).or_default().add(row);
            }
        }
        totals
    }

    /// Totals of the new version since [`Self::begin_stage`], and totals of the old versions since
    /// the order: after the traffic shift the old versions have no new responses.
    #[must_use]
    pub fn stage_totals(&self) -> BTreeMap<StatsKey, ResponseStats> {
        let mut totals = self.totals();
        for (key, baseline) in self.baseline.iter().filter(|(key, _)| key.is_new) {
            if let Some(row) = totals.get_mut(key) {
                subtract(row, baseline);
            }
        }
        totals
    }

    /// Takes the current totals as the baseline of a new stage.
    pub fn begin_stage(&mut self) {
        self.baseline = self.totals();
    }

    /// Whether all `routers` of the fleet are known to apply at least `stage` and to have no requests
    /// running on old versions. What the requests of a router do that doesn't report isn't known.
    #[must_use]
    pub fn is_old_idle(&self, stage: Stage, routers: usize) -> bool {
        let mut reports = self.reports.values();
        self.reports.len() >= routers.max(1)
            && reports.all(|report| report.stage >= stage && report.old_running == 0)
    }
}

/// Subtracts the baseline. Saturates, since a later report of a process may have smaller counters,
/// for instance if reports arrive out of order.
fn subtract(row: &mut ResponseStats, baseline: &ResponseStats) {
    row.finished = row.finished.saturating_sub(baseline.finished);
    row.failed = row.failed.saturating_sub(baseline.failed);
    for (sum, count) in row.first_event.iter_mut().zip(baseline.first_event) {
        *sum = sum.saturating_sub(count);
    }
    for (sum, count) in row.gaps.iter_mut().zip(baseline.gaps) {
        *sum = sum.saturating_sub(count);
    }
}
