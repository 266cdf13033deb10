//! Reports of other routers about rollouts that this router may coordinate.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use swiftlink_rollout::{Report, ReportAggregate, is_same_order};
use swiftlink_types::PoolName;

/// Maximum number of pools whose reports are kept. Routers of a fleet whose configuration this
/// router knows report on fewer.
const MAX_POOLS: usize = 256;

/// Aggregated reports on the latest order of each pool.
#[derive(Debug, Default)]
pub struct Reports {
    pools: Mutex<HashMap<PoolName, (u64, ReportAggregate)>>,
}

impl Reports {
    /// Records a process's report on an order.
    pub fn insert(&self, pool: &PoolName, order: u64, process: u64, report: Report) {
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
        aggregate.insert(process, report);
    }

    /// Gives access to the aggregated reports on an order.
    pub(super) fn with<T>(
        &self,
        pool: &PoolName,
        order: u64,
        access: impl FnOnce(&mut ReportAggregate) -> T,
    ) -> T {
        let mut pools = self.pools();
        let (known, aggregate) = pools.entry(pool.clone()).or_default();
        if !is_same_order(*known, order) {
            (*known, *aggregate) = (order, ReportAggregate::default());
        }
        access(aggregate)
    }

    fn pools(&self) -> MutexGuard<'_, HashMap<PoolName, (u64, ReportAggregate)>> {
        // The map is consistent between calls, so a poisoned lock can be used.
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
