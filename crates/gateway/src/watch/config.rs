//! Takes new versions of the configuration, and what operators do with failure domains.

use std::sync::Arc;

use swiftlink_telemetry::event;

use super::emptied::Emptied;
use super::follow::Follow;
use super::orders::Orders;
use super::reader::{Change, News};
use crate::catalog::{Catalog, CatalogError};
use crate::model::Config;
use crate::node::Node;
use crate::store::Feed;

pub(super) struct Follower {
    node: Arc<Node>,
    catalog: Arc<dyn Catalog>,
    emptied: Emptied,
    orders: Orders,
}

impl Follower {
    pub(super) fn new(node: Arc<Node>, catalog: Arc<dyn Catalog>) -> Self {
        Self {
            node,
            catalog,
            emptied: Emptied::default(),
            orders: Orders::default(),
        }
    }

    fn apply(&self, config: Config) {
        let known = self.node.config.load();
        let before = known.as_ref().map_or(0, |known| known.version);
        if known.is_some() && config.version <= before {
            return;
        }
        self.node.pools.set_config(&config, &self.node.settings);
        self.node.books.set_config(&config);
        event!(
            info,
            "config.in_force",
            version = config.version,
            before = before,
            routes = config.routes.len(),
            workspaces = config.workspaces.len(),
        );
        self.node.config.store(Some(Arc::new(config)));
    }

    /// Only the newest counts: each is the whole configuration.
    fn take_newest(&self, news: &News) {
        for change in news.changes.iter().rev() {
            let Some(value) = &change.value else {
                continue;
            };
            match self.catalog.config(&change.key, value) {
                Ok(Some(config)) => {
                    self.apply(config);
                    return;
                }
                Ok(None) => {}
                Err(error) => self.refuse(&error, change.offset),
            }
        }
    }

    /// Tells of a record that can't be used.
    fn refuse(&self, error: &CatalogError, offset: u64) {
        self.node.metrics.unreadable(Feed::Config);
        event!(error, "config.unreadable", error = error, offset = offset);
    }

    /// Takes what the news say of failure domains.
    fn take_domains(&mut self, news: &News) {
        let mut changed = false;
        if let Some(keys) = &news.keys {
            for domain in self.emptied.retain(keys) {
                changed = true;
                event!(
                    info,
                    "domain.taken_back",
                    domain = domain,
                    reason = "not listed"
                );
            }
        }
        for change in &news.changes {
            match self.take_domain(change) {
                Ok(is_new) => changed |= is_new,
                Err(error) => self.refuse(&error, change.offset),
            }
        }
        if changed {
            self.node.pools.set_drained_domains(self.emptied.domains());
        }
    }

    /// Takes what the news say of roll-outs.
    fn take_orders(&mut self, news: &News) {
        let mut changed = false;
        if let Some(keys) = &news.keys {
            changed = self.orders.retain(keys);
        }
        for change in &news.changes {
            match self.catalog.rollout(&change.key, change.value.as_deref()) {
                Ok(Some(told)) => changed |= self.orders.take(&change.key, &told, change.offset),
                Ok(None) => {}
                Err(error) => self.refuse(&error, change.offset),
            }
        }
        if changed {
            self.node.pools.set_orders(self.orders.by_pool());
        }
    }

    /// Takes one record; says whether it changes anything.
    fn take_domain(&mut self, change: &Change) -> Result<bool, CatalogError> {
        let told = self.catalog.domain(&change.key, change.value.as_deref())?;
        let Some(told) = told else {
            return Ok(false);
        };
        let known = &self.node.settings.regions;
        if !known.is_empty() && !known.contains_key(&told.domain) {
            return Err(CatalogError {
                key: change.key.clone(),
                reason: "no such failure domain".to_owned(),
            });
        }
        if !self.emptied.take(&change.key, &told) {
            return Ok(false);
        }
        let name = if told.is_emptied {
            "domain.emptied"
        } else {
            "domain.taken_back"
        };
        event!(
            info,
            name,
            domain = told.domain,
            offset = change.offset,
            age_ms = self.node.freshness.age().as_millis(),
        );
        Ok(true)
    }
}

impl Follow for Follower {
    fn take(&mut self, news: News) -> News {
        self.take_domains(&news);
        self.take_newest(&news);
        self.take_orders(&news);
        if let Some(at) = news.as_of {
            self.node.pools.confirm_orders(at);
            self.node.freshness.confirm(at);
        }
        news
    }

    fn regained(&mut self) {}

    fn tick(&mut self) -> Vec<String> {
        self.node.freshness.look();
        Vec::new()
    }
}
