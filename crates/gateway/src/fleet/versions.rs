//! The software versions of a pool's servers.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_types::VersionName;

use super::Pool;
use crate::catalog::ServerEntry;
use crate::clock::steady_millis;
use crate::origins::{MAX_LIFETIME, MIN_LIFETIME, VersionHistory};

impl Pool {
    /// The versions of servers that were listed within the last `time`.
    #[must_use]
    pub fn versions_within(&self, time: Duration) -> Vec<VersionName> {
        self.version_history().within(time, steady_millis())
    }

    /// Whether servers of several versions were listed lately, so that streams of several versions
    /// may be resumed.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        self.versions_within(MIN_LIFETIME).len() > 1
    }

    /// Time for which the pool's servers have been known.
    #[must_use]
    pub fn known_for(&self) -> Duration {
        self.version_history().known_for(steady_millis())
    }

    /// Records the versions of the servers that are listed now.
    pub(super) fn on_versions(&self, entries: &[&ServerEntry]) {
        let now = steady_millis();
        let mut history = self.version_history();
        let versions = entries.iter().map(|entry| entry.version.clone());
        let is_new = history.set(versions, now);
        history.prune(MAX_LIFETIME, now);
        drop(history);
        if is_new {
            self.origins.wake();
        }
    }

    fn version_history(&self) -> MutexGuard<'_, VersionHistory> {
        // The history is consistent between any two calls.
        self.versions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
