//! The software versions of a pool's servers.

use std::time::Duration;

use swiftlink_types::VersionName;

use super::Pool;
use crate::clock::steady_millis;
use crate::origins::MIN_LIFETIME;

impl Pool {
    /// The versions of servers that were listed within the last `time`.
    #[must_use]
    pub fn versions_within(&self, time: Duration) -> Vec<VersionName> {
        let history = self.origins.versions().of(&self.name);
        history.within(time, steady_millis())
    }

    /// Whether servers of several versions were listed lately, so that streams of several versions
    /// may be resumed.
    #[must_use]
    pub fn is_mixed(&self) -> bool {
        self.versions_within(MIN_LIFETIME).len() > 1
    }

    /// Time for which the list of the pool's servers has been observed without a gap.
    #[must_use]
    pub fn known_for(&self) -> Duration {
        let history = self.origins.versions().of(&self.name);
        history.known_for(steady_millis())
    }

    /// Since when it has been observed, on the monotonic clock in milliseconds; `None` if no server
    /// was ever listed.
    pub(crate) fn observed_since(&self) -> Option<u64> {
        self.origins.versions().of(&self.name).since()
    }
}
