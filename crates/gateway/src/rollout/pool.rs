//! Assignment of requests to a pool's servers by version, and response statistics.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_rollout::{
    Assignment, ExposureLimit, Order, Progress, Report, RouterStats, Stage, StatsKey, VersionPolicy,
};
use swiftlink_types::{Micros, ServerName, VersionName};

use crate::catalog::ServerEntry;
use crate::eligibility::Gate;

/// State of one pool's rollout on this router.
#[derive(Debug, Default)]
pub struct PoolRollout {
    /// `None` if rollouts are disabled and all versions are equal.
    exposure: Option<ExposureLimit>,
    policy: Mutex<VersionPolicy>,
    stats: Mutex<RouterStats>,
    gates: Mutex<HashMap<VersionName, Arc<Gate>>>,
    /// Whether responses are counted; read for each request.
    is_counting: AtomicBool,
    /// Whether some requests go to canary servers; read for each request.
    has_canary: AtomicBool,
}

impl PoolRollout {
    /// Creates the state of a pool whose rollouts keep to `exposure`.
    #[must_use]
    pub fn new(exposure: Option<ExposureLimit>) -> Self {
        Self {
            exposure,
            ..Self::default()
        }
    }

    /// Assigns requests to each of the pool's servers, as known at `stamp`. Closes the gates of
    /// excluded versions, which also affects waiting requests at once.
    pub(crate) fn assign(&self, entries: &[&ServerEntry], stamp: u64) -> Vec<Assignment> {
        let Some(exposure) = &self.exposure else {
            return vec![Assignment::Regular; entries.len()];
        };
        let mut policy = self.policy();
        let versions: HashSet<VersionName> =
            entries.iter().map(|entry| entry.version.clone()).collect();
        policy.set_versions(&versions, stamp);
        let by_version: HashMap<&VersionName, Assignment> = versions
            .iter()
            .map(|version| (version, policy.assignment(version)))
            .collect();
        let on_canary = entries
            .iter()
            .filter(|entry| by_version[&entry.version] == Assignment::Canary);
        let on_canary: Vec<ServerName> =
            on_canary.map(|entry| entry.instance.name.clone()).collect();
        let canary_servers = policy.canary_servers(on_canary, exposure);
        self.has_canary.store(!canary_servers.is_empty(), Relaxed);
        for (version, assignment) in &by_version {
            self.gate(version)
                .set_closed(*assignment == Assignment::Excluded);
        }
        let assignments = entries
            .iter()
            .map(|entry| match by_version[&entry.version] {
                Assignment::Canary if !canary_servers.contains(&entry.instance.name) => {
                    Assignment::Excluded
                }
                assignment => assignment,
            });
        assignments.collect()
    }

    /// The gate that says whether servers of a version get requests.
    pub(crate) fn gate(&self, version: &VersionName) -> Arc<Gate> {
        let mut gates = self.gates.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(gates.entry(version.clone()).or_default())
    }

    /// Sets the current order. Returns whether it changed.
    pub(crate) fn set_order(&self, order: Option<&Order>) -> bool {
        let mut policy = self.policy();
        if policy.order() == order {
            return false;
        }
        policy.set_order(order.cloned());
        self.update_flags(&policy);
        *self.stats() = RouterStats::default();
        true
    }

    /// Updates the progress of an order. Returns whether it is newer than the known one.
    pub(crate) fn set_progress(&self, progress: &Progress) -> bool {
        let mut policy = self.policy();
        let is_new = policy.set_progress(progress.clone());
        self.update_flags(&policy);
        is_new
    }

    /// Confirms that all orders up to `stamp` are known. Returns whether this changes any
    /// assignment.
    pub(crate) fn confirm(&self, stamp: u64) -> bool {
        self.exposure.is_some() && self.policy().confirm(stamp)
    }

    fn update_flags(&self, policy: &VersionPolicy) {
        let is_running = self.exposure.is_some() && policy.running().is_some();
        self.is_counting.store(is_running, Relaxed);
    }

    /// The current order, its stage and its progress.
    #[must_use]
    pub fn order(&self) -> Option<(Order, Stage, Option<Progress>)> {
        self.exposure?;
        let policy = self.policy();
        let order = policy.order()?.clone();
        Some((order, policy.stage(), policy.progress().cloned()))
    }

    /// Whether a request goes to a canary server; `draw` is uniform in [0, 1).
    #[must_use]
    pub fn is_canary(&self, draw: f64) -> bool {
        let Some(exposure) = &self.exposure else {
            return false;
        };
        self.has_canary.load(Relaxed) && draw < exposure.canary_share()
    }

    /// The key under which a response from a server of `version` is counted; `None` if responses
    /// aren't counted now.
    #[must_use]
    pub fn response_key(&self, route: &Arc<str>, version: &VersionName) -> Option<StatsKey> {
        if !self.is_counting.load(Relaxed) {
            return None;
        }
        let policy = self.policy();
        let order = policy.running()?;
        Some(StatsKey {
            route: Arc::clone(route),
            is_new: order.version == *version,
        })
    }

    /// Records the time to first event of a response.
    pub fn on_first_event(&self, key: &StatsKey, time: Micros) {
        self.stats().record_first_event(key, time);
    }

    /// Records the mean gap between the events of a response.
    pub fn on_gap(&self, key: &StatsKey, time: Micros) {
        self.stats().record_gap(key, time);
    }

    /// Counts a finished response.
    pub fn on_finished(&self, key: &StatsKey, has_failed: bool) {
        self.stats().record_finished(key, has_failed);
    }

    /// Report of the statistics since the order.
    pub(crate) fn report(&self, old_running: u64) -> Report {
        Report {
            stage: self.policy().stage(),
            old_running,
            stats: self.stats().clone(),
        }
    }

    fn policy(&self) -> MutexGuard<'_, VersionPolicy> {
        // The policy is consistent between calls, so a poisoned lock can be used.
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stats(&self) -> MutexGuard<'_, RouterStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
