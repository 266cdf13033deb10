//! Follows the progress of rollouts on the store.

use std::sync::Arc;

use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::PoolName;
use swiftlink_wire::rights::Rollout;
use tokio::time::Instant;

use super::codec::decode_progress;
use crate::node::Node;
use crate::store::Feed;
use crate::watch::{FeedUpdate, Follow};

/// Applies updates of the rollouts feed.
#[derive(Debug)]
pub(crate) struct Follower {
    node: Arc<Node>,
}

impl Follower {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl Follow for Follower {
    fn take(&mut self, update: FeedUpdate) -> FeedUpdate {
        for change in &update.changes {
            let Some(value) = &change.value else {
                continue;
            };
            let record = match Rollout::decode(value.clone()) {
                Ok(record) => record,
                Err(error) => {
                    self.node.metrics.unreadable(Feed::Rollouts);
                    event!(error, "rollout.unreadable", key = change.key, error = error);
                    continue;
                }
            };
            let progress = decode_progress(&record);
            let pool = PoolName::from(change.key.as_str());
            if !self.node.pools.set_progress(&pool, &progress) {
                continue;
            }
            event!(
                info,
                "rollout.stage",
                pool = pool,
                version = progress.version,
                stage = progress.stage.as_str(),
                order = progress.order,
                offset = change.offset,
            );
        }
        update
    }

    fn store_recovered(&mut self, _known: Option<Instant>) {}

    fn tick(&mut self) -> Vec<String> {
        Vec::new()
    }
}
