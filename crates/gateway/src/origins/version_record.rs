//! What the store keeps of the versions of a pool's servers.
//!
//! After all routers have ended, nobody else remembers a version that left. A record changes only
//! when a version appears or leaves.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use swiftlink_types::VersionName;
use swiftlink_wire::rights::{PoolVersion, PoolVersions};

use super::{MAX_LIFETIME, VersionHistory};
use crate::clock::Reading;

/// How much more time than really has passed the wall clocks of two routers may show: they differ,
/// and they step by seconds.
const CLOCK_MARGIN: Duration = Duration::from_secs(15);

/// How far ahead a time may be that a router wrote. One further ahead is no time of a removal, and the
/// version would count as removed a moment ago for good.
const MAX_AHEAD: Duration = Duration::from_hours(24);

/// The versions of a pool's servers, and when each was removed from the list, in milliseconds since
/// 1970; `None` while it is listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRecord {
    versions: BTreeMap<VersionName, Option<u64>>,
}

impl VersionRecord {
    /// Applies what a router has observed. Returns whether the record says something else now.
    pub fn update(&mut self, history: &VersionHistory, now: &Reading) -> bool {
        let mut versions = self.versions.clone();
        let latest = now.wall.saturating_add(MAX_AHEAD.as_millis() as u64);
        for removed in versions.values_mut().flatten() {
            if *removed > latest {
                *removed = now.wall;
            }
        }
        for version in history.listed() {
            versions.insert(version.clone(), None);
        }
        for (version, last) in history.earlier() {
            let wall = now.wall.saturating_sub(now.steady.saturating_sub(*last));
            let removed = versions.entry(version.clone()).or_default();
            // Other routers noted a slightly different time of the same removal.
            if removed.is_none_or(|at| at.saturating_add(CLOCK_MARGIN.as_millis() as u64) <= wall) {
                *removed = Some(wall);
            }
        }
        for (version, removed) in &mut versions {
            if !history.listed().contains(version) {
                // It left while no router could record it.
                removed.get_or_insert(now.wall);
            }
        }
        if versions == self.versions {
            return false;
        }
        versions
            .retain(|_, removed| removed.is_none_or(|at| is_within(MAX_LIFETIME, at, now.wall)));
        self.versions = versions;
        true
    }

    /// The versions that may have been listed within `time` before the wall-clock time `wall`. One
    /// that counts as listed may have left unrecorded.
    #[must_use]
    pub fn within(&self, time: Duration, wall: u64) -> Vec<VersionName> {
        let versions = self.versions.iter();
        let recent =
            versions.filter(|(_, removed)| removed.is_none_or(|at| is_within(time, at, wall)));
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// The versions that count as listed, in ascending order.
    pub(super) fn listed(&self) -> Vec<VersionName> {
        let versions = self.versions.iter();
        let listed = versions.filter(|(_, removed)| removed.is_none());
        listed.map(|(version, _)| version.clone()).collect()
    }

    pub(super) fn encode(&self) -> PoolVersions {
        let versions = self.versions.iter().map(|(version, removed)| PoolVersion {
            version: version.to_string(),
            removed_ms: removed.unwrap_or(0),
        });
        PoolVersions {
            versions: versions.collect(),
        }
    }

    pub(super) fn decode(message: &PoolVersions) -> Self {
        let versions = message.versions.iter().map(|version| {
            let removed = Some(version.removed_ms).filter(|at| *at > 0);
            (VersionName::from(version.version.as_str()), removed)
        });
        Self {
            versions: versions.collect(),
        }
    }
}

impl fmt::Display for VersionRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let versions = self
            .versions
            .iter()
            .map(|(version, removed)| match removed {
                Some(at) => format!("{version}:removed@{at}"),
                None => format!("{version}:listed"),
            });
        f.write_str(&versions.collect::<Vec<_>>().join(","))
    }
}

/// Whether `at` may lie less than `time` before `wall`.
fn is_within(time: Duration, at: u64, wall: u64) -> bool {
    Duration::from_millis(wall.saturating_sub(at)) <= time + CLOCK_MARGIN
}
