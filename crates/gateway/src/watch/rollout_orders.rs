//! The rollout orders of operators that are in force.

use std::collections::{HashMap, HashSet};

use swiftlink_rollout::Order;
use swiftlink_telemetry::event;
use swiftlink_types::PoolName;

use crate::catalog::RolloutChange;

/// Rollout orders by the key of their record. The newest record of a key is the order in force.
#[derive(Debug, Default)]
pub(super) struct RolloutOrders(HashMap<String, Order>);

impl RolloutOrders {
    /// Applies the newest record of `key`. Returns whether that changes anything.
    pub(super) fn take(&mut self, key: &str, change: &RolloutChange, offset: u64) -> bool {
        let Some((version, time)) = &change.order else {
            return self.remove(key, "withdrawn");
        };
        let order = Order {
            pool: change.pool.clone(),
            version: version.clone(),
            time_limit: *time,
            number: offset,
        };
        event!(
            info,
            "rollout.in_force",
            pool = order.pool,
            version = order.version,
            secs = order.time_limit.as_secs_f32(),
            order = order.number,
        );
        self.0.insert(key.to_owned(), order.clone()) != Some(order)
    }

    /// Removes the orders whose keys no longer exist. Returns whether there were any.
    pub(super) fn retain(&mut self, keys: &HashSet<String>) -> bool {
        let gone: Vec<String> = self
            .0
            .keys()
            .filter(|key| !keys.contains(*key))
            .cloned()
            .collect();
        for key in &gone {
            self.remove(key, "not listed");
        }
        !gone.is_empty()
    }

    fn remove(&mut self, key: &str, reason: &str) -> bool {
        let Some(order) = self.0.remove(key) else {
            return false;
        };
        event!(
            info,
            "rollout.taken_back",
            pool = order.pool,
            version = order.version,
            order = order.number,
            reason = reason,
        );
        true
    }

    /// The order of each pool.
    pub(super) fn by_pool(&self) -> HashMap<PoolName, Order> {
        let orders = self.0.values();
        orders
            .map(|order| (order.pool.clone(), order.clone()))
            .collect()
    }
}
