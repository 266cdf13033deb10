//! The software versions of a pool's servers.

use std::time::Duration;

use swiftlink_routing::{Dispatch, Fleet, PickArgs};
use swiftlink_types::VersionName;

use super::{Pool, ServerCriteria};
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

    /// Time since the observation of the list of the pool's servers began, without a gap up to its last
    /// read.
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

    /// Versions at which a request doesn't begin while another one can take it. After all routers
    /// have ended, only the store's record shows that a version may have begun a stream.
    pub(super) fn barred_versions(&self, criteria: &ServerCriteria<'_>) -> Vec<VersionName> {
        if !criteria.is_resumable || criteria.version.is_some() {
            return Vec::new();
        }
        self.origins.versions().unrecorded(&self.name)
    }
}

/// Sends a request to a canary server or else to another one, of a version that isn't barred or else
/// of any.
pub(super) fn send_to_any(fleet: &mut Fleet, pick: PickArgs<'_>) -> Option<Dispatch> {
    let unbarred = PickArgs {
        barred: &[],
        ..pick
    };
    let is_last = pick.barred.is_empty();
    let passes = [Some(pick), Some(unbarred).filter(|_| !is_last)];
    for pick in passes.into_iter().flatten() {
        let regular = PickArgs {
            is_canary: false,
            ..pick
        };
        let mut dispatch = fleet.send(&pick, &mut rand::rng());
        if dispatch.is_none() && pick.is_canary {
            dispatch = fleet.send(&regular, &mut rand::rng());
        }
        if dispatch.is_some() {
            return dispatch;
        }
    }
    None
}
