//! This router's quota of all workspaces.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use swiftlink_types::WorkspaceName;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use super::holders::Placement;
use super::local::{LocalQuota, Wakers};
use crate::clock::Clock;
use crate::model::Config;

/// Partitions that accounts are spread over. All accounts of a partition are read and
/// written in one call, so few partitions mean few calls; more partitions mean fewer conflicts
/// between the appends of different routers.
const PARTITIONS: u32 = 12;

/// The last seconds that a store may have lost when it comes back from a copy.
pub const COPY_LAG: Duration = Duration::from_secs(5);

/// The quota of each workspace at this router.
#[derive(Debug)]
pub struct QuotaTable {
    quotas: ArcSwap<HashMap<WorkspaceName, Arc<LocalQuota>>>,
    /// Wakes the claim task of each partition.
    claim_wakers: Vec<Arc<Notify>>,
    /// Wakes the task that stores caps.
    cap_waker: Arc<Notify>,
    /// Number of partitions of a feed.
    feed_partitions: u32,
    /// Partitions of the members' feed that routers are in.
    member_partitions: Vec<u32>,
    placement: ArcSwap<Placement>,
    clock: Arc<dyn Clock>,
    copy_lag: Duration,
}

impl QuotaTable {
    /// An empty table. `placement` says which routers hold accounts, and feeds have `partitions`
    /// partitions.
    #[must_use]
    pub fn new(placement: Placement, partitions: u32, clock: Arc<dyn Clock>) -> Self {
        let wakers = (0..partitions.clamp(1, PARTITIONS)).map(|_| Arc::new(Notify::new()));
        Self {
            quotas: ArcSwap::default(),
            claim_wakers: wakers.collect(),
            cap_waker: Arc::default(),
            feed_partitions: partitions.max(1),
            member_partitions: vec![0],
            placement: ArcSwap::from_pointee(placement),
            clock,
            copy_lag: COPY_LAG,
        }
    }

    /// Sets the last seconds that the store may have lost when it comes back from a copy, instead
    /// of [`COPY_LAG`].
    #[must_use]
    pub fn with_copy_lag(self, copy_lag: Duration) -> Self {
        Self { copy_lag, ..self }
    }

    /// The last seconds that the store may have lost when it comes back from a copy.
    pub(super) fn copy_lag(&self) -> Duration {
        self.copy_lag
    }

    /// Partition that has the account of a workspace.
    #[must_use]
    pub fn partition(&self, workspace: &WorkspaceName) -> u32 {
        let hash = xxh3_64(workspace.as_str().as_bytes());
        (hash % self.claim_wakers.len() as u64) as u32
    }

    /// Applies the workspaces of a configuration. The quota of a workspace that is gone stays,
    /// since its spending may still have to be recorded.
    pub fn set_config(&self, config: &Config) {
        let mut quotas = HashMap::clone(&self.quotas.load());
        for (name, workspace) in &config.workspaces {
            let Some(prepaid) = workspace.prepaid else {
                quotas.remove(name);
                continue;
            };
            let quota = quotas.entry(name.clone()).or_insert_with(|| {
                let clock = Arc::clone(&self.clock);
                Arc::new(LocalQuota::new(name.clone(), self.wakers(name), clock))
            });
            quota.set_prepaid(prepaid);
        }
        self.quotas.store(Arc::new(quotas));
        for waker in &self.claim_wakers {
            waker.notify_one();
        }
    }

    /// The quota of a workspace; `None` when its spending isn't limited.
    #[must_use]
    pub fn get(&self, workspace: &WorkspaceName) -> Option<Arc<LocalQuota>> {
        self.quotas.load().get(workspace).cloned()
    }

    /// Quota of the workspaces whose accounts are in `partition`.
    #[must_use]
    pub fn in_partition(&self, partition: u32) -> Vec<Arc<LocalQuota>> {
        let quotas = self.quotas.load();
        let quotas = quotas
            .values()
            .filter(|quota| self.partition(&quota.workspace) == partition);
        quotas.cloned().collect()
    }

    fn wakers(&self, workspace: &WorkspaceName) -> Wakers {
        Wakers {
            claim: self.claim_waker(self.partition(workspace)),
            cap: self.cap_waker(),
        }
    }

    pub(super) fn cap_waker(&self) -> Arc<Notify> {
        Arc::clone(&self.cap_waker)
    }

    /// The VM's clock.
    #[must_use]
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// Which routers hold accounts.
    #[must_use]
    pub fn placement(&self) -> Arc<Placement> {
        self.placement.load_full()
    }

    /// Replaces the placement after a change of the members.
    pub fn set_placement(&self, placement: Placement) {
        self.placement.store(Arc::new(placement));
        for waker in &self.claim_wakers {
            waker.notify_one();
        }
    }

    /// Sets the partitions of the members' feed that routers are in; partition 0 by default.
    #[must_use]
    pub fn with_members(mut self, partitions: Vec<u32>) -> Self {
        self.member_partitions = partitions;
        self
    }

    /// Partitions of the members' feed that routers are in.
    pub(super) fn member_partitions(&self) -> Vec<u32> {
        self.member_partitions.clone()
    }

    /// Number of partitions of a feed.
    pub(super) fn feed_partitions(&self) -> u32 {
        self.feed_partitions
    }

    pub(super) fn claim_waker(&self, partition: u32) -> Arc<Notify> {
        Arc::clone(&self.claim_wakers[partition as usize])
    }

    /// The quota of all workspaces.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<LocalQuota>> {
        self.quotas.load().values().cloned().collect()
    }

    /// Number of partitions that accounts are spread over.
    #[must_use]
    pub fn partitions(&self) -> u32 {
        self.claim_wakers.len() as u32
    }
}
