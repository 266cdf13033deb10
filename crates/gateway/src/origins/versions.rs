//! The versions that the servers of the pools had lately, as this router observed them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use swiftlink_types::{PoolName, VersionName};
use tokio::sync::Notify;

use super::{MAX_LIFETIME, lock};

/// The versions of a pool's servers, and when each was listed last. Times are in milliseconds of the
/// VM's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Versions that are listed now.
    listed: Vec<VersionName>,
    /// When the other ones were last listed.
    earlier: HashMap<VersionName, u64>,
    /// Since when the list has been observed without a gap.
    since: Option<u64>,
    /// The versions that the store's record names as listed; `None` while that is unknown.
    recorded: Option<Vec<VersionName>>,
}

impl VersionHistory {
    /// Sets the versions that are listed from `now` on. Returns whether a version was added.
    pub fn set(&mut self, versions: impl IntoIterator<Item = VersionName>, now: u64) -> bool {
        let mut listed: Vec<VersionName> = versions.into_iter().collect();
        listed.sort_unstable();
        listed.dedup();
        if listed.is_empty() && self.since.is_none() {
            return false;
        }
        self.since.get_or_insert(now);
        if let Some(recorded) = &mut self.recorded {
            // The removal of a version that has come back may have been recorded.
            recorded.retain(|version| self.listed.contains(version) || !listed.contains(version));
        }
        for version in std::mem::take(&mut self.listed) {
            self.earlier.insert(version, now);
        }
        let is_new = listed
            .iter()
            .any(|version| !self.earlier.contains_key(version));
        self.earlier.retain(|version, _| !listed.contains(version));
        self.listed = listed;
        is_new
    }

    /// Versions may have come and gone unobserved until `now`.
    pub fn restart(&mut self, now: u64) {
        if let Some(since) = &mut self.since {
            *since = now;
        }
    }

    /// Sets the versions that the store's record names as listed, in ascending order. Returns whether
    /// they are those that are listed.
    pub fn set_recorded(&mut self, versions: Vec<VersionName>) -> bool {
        let is_current = versions == self.listed;
        self.recorded = Some(versions);
        is_current
    }

    /// The versions that the store's record names as listed; `None` while that is unknown.
    #[must_use]
    pub fn recorded(&self) -> Option<&[VersionName]> {
        self.recorded.as_deref()
    }

    /// The listed versions that the store's record doesn't name, while it names another one of them.
    #[must_use]
    pub fn unrecorded(&self) -> Vec<VersionName> {
        let recorded = self.recorded().unwrap_or_default();
        let is_recorded = |version: &&VersionName| recorded.contains(version);
        if !self.listed.iter().any(|version| is_recorded(&version)) {
            return Vec::new();
        }
        let unrecorded = self.listed.iter().filter(|version| !is_recorded(version));
        unrecorded.cloned().collect()
    }

    /// The versions that are listed now.
    #[must_use]
    pub fn listed(&self) -> &[VersionName] {
        &self.listed
    }

    /// The versions that were listed before, and when each was listed last.
    #[must_use]
    pub fn earlier(&self) -> &HashMap<VersionName, u64> {
        &self.earlier
    }

    /// The versions that were listed within `time` before `now`.
    #[must_use]
    pub fn within(&self, time: Duration, now: u64) -> Vec<VersionName> {
        let start = now.saturating_sub(time.as_millis() as u64);
        let earlier = self.earlier.iter().filter(|(_, last)| **last >= start);
        let earlier = earlier.map(|(version, _)| version.clone());
        self.listed.iter().cloned().chain(earlier).collect()
    }

    /// Since when the list has been observed without a gap; `None` if no server was ever listed.
    #[must_use]
    pub fn since(&self) -> Option<u64> {
        self.since
    }

    /// Time since the observation of the list began, without a gap up to its last read. When that was
    /// is not known here.
    #[must_use]
    pub fn known_for(&self, now: u64) -> Duration {
        let since = self.since.unwrap_or(now);
        Duration::from_millis(now.saturating_sub(since))
    }

    /// Removes versions that were last listed more than `time` before `now`.
    pub fn prune(&mut self, time: Duration, now: u64) {
        let start = now.saturating_sub(time.as_millis() as u64);
        self.earlier.retain(|_, last| *last >= start);
    }
}

/// The versions of the servers of all pools.
#[derive(Debug, Default)]
pub struct ListedVersions {
    pools: Mutex<HashMap<PoolName, VersionHistory>>,
    /// Notified when the versions of a pool have changed.
    changed: Notify,
}

impl ListedVersions {
    /// Sets the versions of a pool's servers from `now` on, in milliseconds of the monotonic clock.
    /// Returns whether a version was added.
    pub fn set(
        &self,
        pool: &PoolName,
        versions: impl IntoIterator<Item = VersionName>,
        now: u64,
    ) -> bool {
        let mut pools = lock(&self.pools);
        let history = pools.entry(pool.clone()).or_default();
        let before = history.listed.clone();
        let is_new = history.set(versions, now);
        history.prune(MAX_LIFETIME, now);
        let has_changed = history.listed != before;
        drop(pools);
        if has_changed {
            self.changed.notify_one();
        }
        is_new
    }

    /// The list of servers wasn't observed until `now`, in milliseconds of the monotonic clock.
    pub fn restart(&self, now: u64) {
        for history in lock(&self.pools).values_mut() {
            history.restart(now);
        }
    }

    /// Sets the versions of a pool that the store's record names as listed, in ascending order.
    /// Returns whether they are those that are listed.
    pub(super) fn set_recorded(&self, pool: &PoolName, versions: Vec<VersionName>) -> bool {
        let mut pools = lock(&self.pools);
        let history = pools.get_mut(pool);
        history.is_some_and(|history| history.set_recorded(versions))
    }

    /// The versions of a pool that the store's record doesn't name, while it names another one.
    #[must_use]
    pub fn unrecorded(&self, pool: &PoolName) -> Vec<VersionName> {
        let pools = lock(&self.pools);
        let history = pools.get(pool);
        history.map_or_else(Vec::new, VersionHistory::unrecorded)
    }

    /// What is known of a pool.
    #[must_use]
    pub fn of(&self, pool: &PoolName) -> VersionHistory {
        lock(&self.pools).get(pool).cloned().unwrap_or_default()
    }

    /// All pools that had servers.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolName> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Resolves when the versions of a pool have changed.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }
}
