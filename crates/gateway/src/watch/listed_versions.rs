//! Publishes which software versions the listed servers have, and for how long the list has been
//! observed.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VersionName};
use tokio::time::Instant;

use crate::catalog::ServerEntry;
use crate::clock::steady_millis;
use crate::fleet::Pools;

/// The versions of all servers, also of those that this router doesn't use.
#[derive(Debug, Default)]
pub(super) struct VersionObserver {
    counts: VersionCounts,
    /// Changes that weren't published, in their order: a version that comes and goes within an
    /// update counts as listed lately.
    unpublished: Vec<(PoolName, Vec<VersionName>)>,
    /// The last moment at which the store had nothing newer, on the monotonic clock in milliseconds.
    as_of: Option<u64>,
}

impl VersionObserver {
    /// Applies a change of a server's entry.
    pub(super) fn apply(&mut self, before: Option<&ServerEntry>, after: Option<&ServerEntry>) {
        let changed = self.counts.apply(before, after);
        self.unpublished.extend(changed);
    }

    /// Publishes the versions that have changed.
    pub(super) fn publish(&mut self, pools: &Pools) {
        for (pool, versions) in self.unpublished.drain(..) {
            pools.set_versions(&pool, versions);
        }
    }

    /// Notes that the store had nothing newer at `as_of` than what is known now. If more than
    /// `max_gap` has passed since the last such moment, versions may have come and gone unobserved.
    pub(super) fn note_read(&mut self, as_of: Instant, max_gap: Duration, pools: &Pools) {
        let age = as_of.elapsed().as_millis() as u64;
        let at = steady_millis().saturating_sub(age);
        let last = self.as_of.unwrap_or(at);
        self.as_of = Some(last.max(at));
        let gap = at.saturating_sub(last);
        if Duration::from_millis(gap) > max_gap {
            event!(info, "versions.unobserved", gap_ms = gap);
            pools.origins().versions().restart(at);
        }
    }
}

/// Number of servers of each version, by pool.
#[derive(Debug, Default)]
struct VersionCounts {
    pools: HashMap<PoolName, BTreeMap<VersionName, usize>>,
}

impl VersionCounts {
    /// Applies a change of a server's entry. Returns the versions of each pool that has others now.
    fn apply(
        &mut self,
        before: Option<&ServerEntry>,
        after: Option<&ServerEntry>,
    ) -> Vec<(PoolName, Vec<VersionName>)> {
        let key = |entry: &ServerEntry| (entry.pool.clone(), entry.version.clone());
        let (before, after) = (before.map(key), after.map(key));
        if before == after {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if let Some((pool, version)) = after {
            let versions = self.pools.entry(pool.clone()).or_default();
            let count = versions.entry(version).or_default();
            *count += 1;
            if *count == 1 {
                changed.push(pool);
            }
        }
        if let Some((pool, version)) = before {
            let versions = self.pools.entry(pool.clone()).or_default();
            let count = versions.entry(version.clone()).or_default();
            *count = count.saturating_sub(1);
            if *count == 0 {
                versions.remove(&version);
                changed.push(pool);
            }
        }
        let changed = changed.into_iter();
        changed.map(|pool| (pool.clone(), self.of(&pool))).collect()
    }

    fn of(&self, pool: &PoolName) -> Vec<VersionName> {
        let versions = self.pools.get(pool).into_iter().flatten();
        versions.map(|(version, _)| version.clone()).collect()
    }
}
