//! Reports of all routers on the pools that this router aggregates.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use swiftlink_admission::{PoolAggregate, PoolLoad, Summary, Targets};
use swiftlink_routing::SpeedTable;
use swiftlink_types::{Micros, PoolName};
use swiftlink_wire::link::{ServerSample, ServerSpeed};

use crate::fleet::speeds;

/// Maximum number of pools whose reports are kept.
const MAX_POOLS: usize = 256;

/// Aggregated reports by pool.
#[derive(Debug)]
pub(crate) struct Aggregates {
    epoch: Instant,
    pools: Mutex<HashMap<PoolName, Aggregate>>,
}

/// What the routers have reported on one pool.
#[derive(Debug, Default)]
struct Aggregate {
    load: PoolAggregate,
    speeds: SpeedTable,
}

impl Default for Aggregates {
    fn default() -> Self {
        Self {
            epoch: Instant::now(),
            pools: Mutex::default(),
        }
    }
}

impl Aggregates {
    /// Records the report of a router process. Returns the summary for it and the speeds of servers
    /// that it doesn't know yet; an empty one if there are too many pools.
    pub(crate) fn on_report(
        &self,
        pool: &PoolName,
        process: u64,
        load: PoolLoad,
        samples: &[ServerSample],
        targets: &Targets,
    ) -> (Summary, Vec<ServerSpeed>) {
        let now = self.epoch.elapsed().as_micros() as Micros;
        // The map is consistent between calls, so a poisoned lock can be used.
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if !pools.contains_key(pool) && pools.len() >= MAX_POOLS {
            return Default::default();
        }
        let aggregate = pools.entry(pool.clone()).or_default();
        for sample in samples {
            aggregate.speeds.add(now, &speeds::decode_sample(sample));
        }
        aggregate.speeds.update(now);
        let changes = aggregate.speeds.changes(process, now).into_iter();
        let summary = aggregate.load.on_report(process, now, load, targets);
        (summary, changes.map(speeds::encode_speed).collect())
    }
}
