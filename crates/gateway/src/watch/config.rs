//! Applies new versions of the configuration, drained failure domains and rollout orders.

use std::cmp::Ordering;
use std::collections::HashSet;
use std::sync::Arc;

use swiftlink_telemetry::event;
use tokio::time::Instant;

use super::drained::DrainedDomains;
use super::follow::Follow;
use super::reader::{Change, FeedUpdate};
use super::rollout_orders::RolloutOrders;
use crate::catalog::{Catalog, CatalogError};
use crate::model::Config;
use crate::node::Node;
use crate::store::{Feed, Record, offset_of};

pub(super) struct Follower {
    node: Arc<Node>,
    catalog: Arc<dyn Catalog>,
    drained: DrainedDomains,
    orders: RolloutOrders,
    /// Whether there was an update since the last poll.
    has_update: bool,
}

impl Follower {
    pub(super) fn new(node: Arc<Node>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            node,
            catalog,
            drained: DrainedDomains::default(),
            orders: RolloutOrders::default(),
            has_update: false,
        }
    }

    /// Puts a version in force unless one that isn't older is. Returns the order of the two.
    fn apply(&self, config: Config) -> Ordering {
        let known = self.node.config.load();
        let before = known.as_ref().map_or(0, |known| known.version);
        if known.is_some() && config.version <= before {
            if config.version < before {
                event!(
                    info,
                    "config.outdated",
                    version = config.version,
                    in_force = before
                );
            }
            return config.version.cmp(&before);
        }
        self.node.pools.set_config(&config, &self.node.settings);
        self.node.quotas.set_config(&config);
        event!(
            info,
            "config.in_force",
            version = config.version,
            before = before,
            routes = config.routes.len(),
            workspaces = config.workspaces.len(),
        );
        self.node.config.store(Some(Arc::new(config)));
        Ordering::Greater
    }

    /// Applies only the newest version: each is the whole configuration. Returns the offset of its
    /// record, unless it is older than the one in force: others are told what is in force here.
    fn apply_newest(&self, update: &FeedUpdate) -> Option<u64> {
        for change in update.changes.iter().rev() {
            let Some(value) = &change.value else {
                continue;
            };
            match self.catalog.config(&change.key, value) {
                Ok(Some(config)) => {
                    let is_older = self.apply(config) == Ordering::Less;
                    return (!is_older).then_some(change.offset);
                }
                Ok(None) => {}
                Err(error) => self.report_unreadable(&error, change.offset),
            }
        }
        None
    }

    /// Reports a record that can't be used.
    fn report_unreadable(&self, error: &CatalogError, offset: u64) {
        self.node.metrics.unreadable(Feed::Config);
        event!(
            error,
            "config.unreadable",
            error = error,
            offset = offset_of(offset)
        );
    }

    /// Applies the changes to drained failure domains. Adds the offsets of their records to `used`.
    fn apply_domains(&mut self, update: &FeedUpdate, used: &mut HashSet<u64>) {
        let mut changed = false;
        if let Some(keys) = &update.keys {
            for domain in self.drained.retain(keys) {
                changed = true;
                event!(
                    info,
                    "domain.taken_back",
                    domain = domain,
                    reason = "not listed"
                );
            }
        }
        for change in &update.changes {
            match self.apply_domain(change) {
                Ok(Some(is_new)) => {
                    changed |= is_new;
                    used.insert(change.offset);
                }
                Ok(None) => {}
                Err(error) => self.report_unreadable(&error, change.offset),
            }
        }
        if changed {
            self.node.pools.set_drained_domains(self.drained.domains());
        }
    }

    /// Applies the changes to rollout orders. Adds the offsets of their records to `used`.
    fn apply_rollouts(&mut self, update: &FeedUpdate, used: &mut HashSet<u64>) {
        let mut changed = false;
        if let Some(keys) = &update.keys {
            changed = self.orders.retain(keys);
        }
        for change in &update.changes {
            match self.catalog.rollout(&change.key, change.value.as_deref()) {
                Ok(Some(order)) => {
                    changed |= self.orders.take(&change.key, &order, change.offset);
                    used.insert(change.offset);
                }
                Ok(None) => {}
                Err(error) => self.report_unreadable(&error, change.offset),
            }
        }
        if changed {
            self.node.pools.set_orders(self.orders.by_pool());
        }
    }

    /// Applies one record. Returns whether it changes anything; `None` if it is about something else.
    fn apply_domain(&mut self, change: &Change) -> Result<Option<bool>, CatalogError> {
        let parsed = self.catalog.domain(&change.key, change.value.as_deref())?;
        let Some(parsed) = parsed else {
            return Ok(None);
        };
        let known = &self.node.settings.regions;
        if !known.is_empty() && !known.contains_key(&parsed.domain) {
            return Err(CatalogError {
                key: change.key.clone(),
                reason: "unknown failure domain".to_owned(),
            });
        }
        if !self.drained.take(&change.key, &parsed) {
            return Ok(Some(false));
        }
        let name = if parsed.is_drained {
            "domain.emptied"
        } else {
            "domain.taken_back"
        };
        event!(
            info,
            name,
            domain = parsed.domain,
            offset = offset_of(change.offset),
            age_ms = self.node.freshness.age().as_millis(),
        );
        Ok(Some(true))
    }
}

impl Follow for Follower {
    /// Followers get the records that this router uses; the topic has records of other writers.
    fn take(&mut self, mut update: FeedUpdate) -> FeedUpdate {
        self.has_update = true;
        let mut used = HashSet::new();
        self.apply_domains(&update, &mut used);
        used.extend(self.apply_newest(&update));
        self.apply_rollouts(&update, &mut used);
        if let Some(at) = update.as_of {
            self.node.pools.confirm_orders(at);
            self.node.freshness.confirm(at);
        }
        update
            .changes
            .retain(|change| used.contains(&change.offset));
        update
    }

    fn store_recovered(&mut self, _known: Option<Instant>) {}

    /// A version is newer by its number.
    fn take_earlier(&mut self, records: &[Record]) -> Vec<Change> {
        let mut applied = Vec::new();
        for record in records {
            let Some(value) = &record.value else {
                continue;
            };
            let order = match self.catalog.config(&record.key, value) {
                Ok(Some(config)) => self.apply(config),
                Ok(None) => continue,
                Err(error) => {
                    self.report_unreadable(&error, record.offset);
                    continue;
                }
            };
            if order != Ordering::Greater {
                continue;
            }
            applied.push(Change {
                key: record.key.clone(),
                value: record.value.clone(),
                offset: record.offset,
            });
        }
        applied
    }

    fn tick(&mut self) -> Vec<String> {
        match std::mem::take(&mut self.has_update) {
            true => self.node.freshness.mark_polled(),
            false => self.node.freshness.mark_unanswered(),
        }
        Vec::new()
    }
}
