//! A simulated runner, limited to the state that affects its selection.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use swiftlink_routing::LoadReport;
use swiftlink_types::Micros;

use super::setup::{Fault, SLOTS};

/// Prefix cache capacity of a runner (prefixes).
const CACHED_PREFIXES: usize = 48;
/// Interval between load snapshots, and how many are kept.
pub(crate) const SNAPSHOT_INTERVAL: Micros = 100_000;
const MAX_SNAPSHOTS: usize = 64;

/// Slots, a queue, a prefix cache and load snapshots for delayed reports.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(crate) fault: Option<Fault>,
    running: usize,
    queue: VecDeque<usize>,
    cache: HashMap<u64, Micros>,
    snapshots: VecDeque<(u32, u32)>,
}

impl Runner {
    pub(crate) fn new(fault: Option<Fault>) -> Self {
        Self {
            fault,
            running: 0,
            queue: VecDeque::new(),
            cache: HashMap::new(),
            snapshots: VecDeque::new(),
        }
    }

    /// Slowdown factor relative to the other runners.
    pub(crate) fn slowdown(&self) -> f64 {
        match self.fault {
            Some(Fault::Slow(factor)) => factor,
            _ => 1.0,
        }
    }

    /// Accepts a request; returns whether it starts at once.
    pub(crate) fn take(&mut self, request: usize) -> bool {
        if self.running == SLOTS {
            self.queue.push_back(request);
            return false;
        }
        self.running += 1;
        true
    }

    /// Ends a request; returns the queued request that starts in its place.
    pub(crate) fn end(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running -= 1;
        }
        next
    }

    /// Share of the slots in use.
    pub(crate) fn load(&self) -> f64 {
        self.running as f64 / SLOTS as f64
    }

    /// Returns whether the prefix was cached, and inserts it.
    pub(crate) fn touch_prefix(&mut self, prefix: u64, now: Micros) -> bool {
        let known = self.cache.insert(prefix, now).is_some();
        if self.cache.len() > CACHED_PREFIXES {
            let oldest = self.cache.iter().min_by_key(|(key, at)| (**at, **key));
            if let Some((key, _)) = oldest {
                let key = *key;
                self.cache.remove(&key);
            }
        }
        known
    }

    /// Takes a snapshot of the load for later reports.
    pub(crate) fn take_snapshot(&mut self) {
        if self.snapshots.len() == MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        let state = (self.running as u32, self.queue.len() as u32);
        self.snapshots.push_back(state);
    }

    /// Returns the load report that arrives now, with an age of `lag`.
    pub(crate) fn report(&self, report_age: Micros) -> LoadReport {
        let steps = (report_age / SNAPSHOT_INTERVAL) as usize;
        let at = self.snapshots.len().saturating_sub(steps + 1);
        let (running, waiting) = self.snapshots.get(at).copied().unwrap_or_default();
        LoadReport {
            running,
            waiting,
            slots: SLOTS as u32,
            pace: None,
            draining: false,
            age: Duration::from_micros(report_age),
        }
    }
}
