//! Working set: the servers of a very large pool that a router uses.
//!
//! A fleet has ten servers for each router, and a router gets some requests per second. If a router
//! used all servers, each request would meet one without an open connection and without the shared
//! part of the prompt in its cache, and each choice would scan thousands of servers. So a router
//! uses the first servers of its failure domain, in an order that is the same for all routers
//! there, which thus share the cached prompts. The set grows when its servers are busy.

use swiftlink_types::Micros;

use crate::server::Server;

/// Largest pool that is used as a whole: a choice scans all servers, which takes some microseconds.
const MAX_UNRESTRICTED: usize = 256;
/// Initial size in a larger pool. The prompts of a failure domain's callers share these servers,
/// and growth has some seconds of rising load before they are full.
const INITIAL_SIZE: usize = 64;
/// Utilization of the slots, averaged over reports, at which the set grows: prompts that are
/// prefilled one after the other queue well before the slots are full.
const GROWTH_UTILIZATION: f64 = 0.3;
/// Weight of a report in the average utilization.
const EWMA_WEIGHT: f64 = 0.1;
/// Factor of one growth step.
const GROWTH_FACTOR: usize = 2;
/// Minimum time between two growth steps, so that reports show the effect of the last one (µs).
const GROWTH_INTERVAL: Micros = 1_000_000;

/// Size of the working set.
#[derive(Debug)]
pub(super) struct WorkingSet {
    size: usize,
    /// Whether the pool has more servers than `size`.
    is_restricted: bool,
    /// Moving average of the slots in use, as a fraction.
    utilization: f64,
    grown_at: Micros,
}

impl Default for WorkingSet {
    fn default() -> Self {
        Self {
            size: INITIAL_SIZE,
            is_restricted: false,
            utilization: 0.0,
            grown_at: 0,
        }
    }
}

impl WorkingSet {
    /// Removes the servers outside the working set from `open`, keeping its order.
    pub(super) fn restrict(&mut self, open: &mut Vec<u32>, servers: &[Server]) {
        let is_large = open.len() > MAX_UNRESTRICTED;
        self.is_restricted = is_large && open.len() > self.size;
        if !self.is_restricted {
            return;
        }
        let rank = |index: &u32| {
            let server = &servers[*index as usize];
            (!server.is_local, server.hash)
        };
        open.select_nth_unstable_by_key(self.size, rank);
        open.truncate(self.size);
        open.sort_unstable();
    }

    /// Learns the fraction of a server's slots in use. Returns whether the set has grown.
    pub(super) fn on_load(&mut self, now: Micros, utilization: f64) -> bool {
        self.utilization += EWMA_WEIGHT * (utilization - self.utilization);
        if self.utilization < GROWTH_UTILIZATION || now < self.grown_at + GROWTH_INTERVAL {
            return false;
        }
        self.grown_at = now;
        self.grow()
    }

    /// Grows the set. Returns false when it already covers the pool.
    pub(super) fn grow(&mut self) -> bool {
        if !self.is_restricted {
            return false;
        }
        self.size *= GROWTH_FACTOR;
        true
    }
}
