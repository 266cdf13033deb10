//! Decides which requests each server of a pool gets, by its version.

use std::collections::{HashMap, HashSet};

use swiftlink_types::{ServerName, VersionName};
use xxhash_rust::xxh3::xxh3_64;

use crate::order::{ExposureLimit, Order, Progress, Stage};

/// Kind of requests that a server gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Assignment {
    /// Regular requests.
    Regular,
    /// Canary requests only.
    Canary,
    /// No requests.
    Excluded,
}

/// Versions of one pool's servers, and the rollout that decides between them.
#[derive(Debug, Default)]
pub struct VersionPolicy {
    order: Option<Order>,
    /// Latest progress of an order on the store.
    progress: Option<Progress>,
    /// Versions that get regular requests without an order.
    known: HashSet<VersionName>,
    /// Versions replaced by a rollout; their servers terminate.
    replaced: HashSet<VersionName>,
    /// Whether all servers have the ordered version.
    has_only_ordered: bool,
    /// Versions that appeared beside known ones, with the time of their first listing. An order for
    /// them may not have arrived yet.
    unconfirmed: HashMap<VersionName, u64>,
}

impl VersionPolicy {
    /// Sets the current order; `None` when there is none.
    pub fn set_order(&mut self, order: Option<Order>) {
        if let (Some(before), None) = (&self.order, &order)
            && !self.stage().is_final()
        {
            // The order was withdrawn before it finished, so its version must not be used.
            self.progress = Some(Progress {
                order: before.number,
                version: before.version.clone(),
                stage: Stage::Reverted,
                started: 0,
            });
        }
        let rewritten = match (&self.order, &order) {
            (Some(before), Some(order)) if before.is_rewritten_as(order) => Some(order.number),
            _ => None,
        };
        let known = self.progress().cloned();
        if let (Some(number), Some(known)) = (rewritten, known) {
            self.progress = Some(Progress {
                order: number,
                ..known
            });
        }
        self.order = order;
    }

    /// Updates the progress of an order. Returns whether it is newer than the known one.
    pub fn set_progress(&mut self, progress: Progress) -> bool {
        let known = self.progress.as_ref();
        if known.is_some_and(|known| !progress.is_after(known)) {
            return false;
        }
        self.progress = Some(progress);
        true
    }

    /// The current order.
    #[must_use]
    pub fn order(&self) -> Option<&Order> {
        self.order.as_ref()
    }

    /// Progress of the current order on the store.
    #[must_use]
    pub fn progress(&self) -> Option<&Progress> {
        let order = self.order.as_ref()?;
        let progress = self.progress.as_ref()?;
        progress.is_of(order).then_some(progress)
    }

    /// Stage of the current order.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.progress()
            .map_or(Stage::Ordered, |progress| progress.stage)
    }

    /// The current order while it is neither completed nor reverted.
    #[must_use]
    pub fn running(&self) -> Option<&Order> {
        let order = self.order.as_ref()?;
        (!self.stage().is_final()).then_some(order)
    }

    /// Updates the versions of the listed servers, as known at `stamp`.
    pub fn set_versions(&mut self, versions: &HashSet<VersionName>, stamp: u64) {
        let ordered = self.order.as_ref().map(|order| &order.version);
        let mut all = versions.iter();
        self.has_only_ordered = all.all(|version| Some(version) == ordered);
        if self.known.is_empty() {
            // No other version is in use that the order could move traffic from.
            self.known.clone_from(versions);
            if let Some(order) = &self.order {
                self.known.remove(&order.version);
            }
        }
        for version in versions {
            if !self.known.contains(version) {
                self.unconfirmed.entry(version.clone()).or_insert(stamp);
            }
        }
        self.unconfirmed
            .retain(|version, _| versions.contains(version));
        if self.order.is_some() && self.stage() == Stage::Completed {
            self.mark_replaced(versions);
        }
    }

    /// Releases versions for regular requests that appeared up to `stamp` and that no order names.
    /// All orders up to `stamp` must be known. Returns whether there was one.
    pub fn confirm(&mut self, stamp: u64) -> bool {
        let ordered = self.order.as_ref().map(|order| order.version.clone());
        let reverted = self.reverted().cloned();
        let mut changed = false;
        let (known, replaced) = (&mut self.known, &self.replaced);
        self.unconfirmed.retain(|version, since| {
            let is_unclaimed = ordered.as_ref() != Some(version)
                && reverted.as_ref() != Some(version)
                && !replaced.contains(version);
            if is_unclaimed && *since <= stamp {
                known.insert(version.clone());
                changed = true;
                return false;
            }
            true
        });
        changed
    }

    fn mark_replaced(&mut self, versions: &HashSet<VersionName>) {
        let Some(order) = &self.order else {
            return;
        };
        let others = versions.iter().filter(|version| **version != order.version);
        let before = others.filter(|version| self.known.contains(*version));
        self.replaced.extend(before.cloned());
        self.known.insert(order.version.clone());
        self.unconfirmed.remove(&order.version);
        self.replaced.remove(&order.version);
    }

    /// The version reverted last; `None` once there is a newer order.
    fn reverted(&self) -> Option<&VersionName> {
        let progress = self.progress.as_ref()?;
        let is_newest = self
            .order
            .as_ref()
            .is_none_or(|order| order.number <= progress.order);
        (is_newest && progress.stage == Stage::Reverted).then_some(&progress.version)
    }

    /// Requests that servers of a version get. Of a canary version only the servers selected by
    /// [`Self::canary_servers`] get any.
    #[must_use]
    pub fn assignment(&self, version: &VersionName) -> Assignment {
        if self.reverted() == Some(version) {
            return Assignment::Excluded;
        }
        let Some(order) = &self.order else {
            return self.regular_assignment(version);
        };
        match (self.stage(), order.version == *version) {
            (Stage::Ordered | Stage::Canary, true) if self.has_only_ordered => Assignment::Regular,
            (Stage::Canary, true) => Assignment::Canary,
            (Stage::Ordered | Stage::Reverted, true) => Assignment::Excluded,
            (Stage::Shift | Stage::Completed, true) => Assignment::Regular,
            (Stage::Shift, false) if self.known.contains(version) => Assignment::Excluded,
            (_, false) => self.regular_assignment(version),
        }
    }

    fn regular_assignment(&self, version: &VersionName) -> Assignment {
        if self.unconfirmed.contains_key(version) || self.replaced.contains(version) {
            return Assignment::Excluded;
        }
        Assignment::Regular
    }

    /// Selects the servers of the ordered version that get the canary requests: as many as keep
    /// each as busy as a server with regular requests. All routers select the same ones.
    #[must_use]
    pub fn canary_servers(
        &self,
        mut servers: Vec<ServerName>,
        exposure: &ExposureLimit,
    ) -> HashSet<ServerName> {
        let count = (servers.len() as f64 * exposure.canary_share()).ceil() as usize;
        servers.sort_by_key(|name| (xxh3_64(name.as_str().as_bytes()), name.clone()));
        servers.truncate(count.max(1));
        servers.into_iter().collect()
    }
}
