//! Takes new versions of the configuration.

use std::sync::Arc;

use swiftlink_telemetry::event;

use super::follow::Follow;
use super::reader::News;
use crate::catalog::Catalog;
use crate::model::Config;
use crate::node::Node;
use crate::store::Feed;

pub(super) struct Follower {
    node: Arc<Node>,
    catalog: Arc<dyn Catalog>,
}

impl Follower {
    pub(super) fn new(node: Arc<Node>, catalog: Arc<dyn Catalog>) -> Self {
        Self { node, catalog }
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
                Err(error) => {
                    self.node.metrics.unreadable(Feed::Config);
                    event!(error, "config.unreadable", error = error);
                }
            }
        }
    }
}

impl Follow for Follower {
    fn take(&mut self, news: News) {
        self.take_newest(&news);
        if let Some(at) = news.as_of {
            self.node.freshness.confirm(at);
        }
    }

    fn regained(&mut self) {}

    fn tick(&mut self) {}
}
