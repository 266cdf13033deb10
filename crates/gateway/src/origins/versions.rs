//! The versions that the servers of a pool had lately.

use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::VersionName;

/// The versions of a pool's servers, and when each was listed last. Times are in milliseconds of the
/// VM's monotonic clock.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Versions that are listed now.
    listed: Vec<VersionName>,
    /// When the other ones were last listed.
    earlier: HashMap<VersionName, u64>,
    /// When the first servers were listed.
    since: Option<u64>,
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

    /// The versions that were listed within `time` before `now`.
    #[must_use]
    pub fn within(&self, time: Duration, now: u64) -> Vec<VersionName> {
        let start = now.saturating_sub(time.as_millis() as u64);
        let earlier = self.earlier.iter().filter(|(_, last)| **last >= start);
        let earlier = earlier.map(|(version, _)| version.clone());
        self.listed.iter().cloned().chain(earlier).collect()
    }

    /// Time for which the pool's servers have been known.
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
