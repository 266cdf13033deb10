//! Reports of other routers about rollouts that this router may coordinate.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_rollout::{Report, ReportAggregate, is_same_order};
use swiftlink_types::PoolName;
use tokio::time::Instant;

/// Maximum number of pools whose reports are kept. Routers of a fleet whose configuration this
/// router knows report on fewer.
const MAX_POOLS: usize = 256;

/// Aggregated reports on the latest order of each pool.
#[derive(Debug)]
pub struct Reports {
    epoch: Instant,
    pools: Mutex<HashMap<PoolName, (u64, ReportAggregate)>>,
}

impl Default for Reports {
    fn default() -> Self {
        Self {
            epoch: Instant::now(),
            pools: Mutex::default(),
        }
    }
}

impl Reports {
    /// Records a process's report on an order.
    pub fn insert(&self, pool: &PoolName, order: u64, process: u64, report: Report) {
        let now = self.now();
        let mut pools = self.pools();
        if !pools.contains_key(pool) && pools.len() >= MAX_POOLS {
            return;
        }
        let (known, aggregate) = pools.entry(pool.clone()).or_default();
        let is_same = is_same_order(*known, order);
        if !is_same && *known > order {
            return;
        }
        if !is_same {
            (*known, *aggregate) = (order, ReportAggregate::default());
        }
        aggregate.insert(process, report, now);
    }

    /// Gives access to the aggregated reports on an order.
    pub(super) fn with<T>(
        &self,
        pool: &PoolName,
        order: u64,
        access: impl FnOnce(&mut ReportAggregate, Duration) -> T,
    ) -> T {
        let now = self.now();
        let mut pools = self.pools();
        let (known, aggregate) = pools.entry(pool.clone()).or_default();
        if !is_same_order(*known, order) {
            (*known, *aggregate) = (order, ReportAggregate::default());
        }
        access(aggregate, now)
    }

    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<PoolName, (u64, ReportAggregate)>> {
        // The map is consistent between calls, so a poisoned lock can be used.
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
