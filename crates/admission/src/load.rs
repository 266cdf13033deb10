//! Load of a pool by priority: what one router has seen, and the sum over all routers.

use std::collections::BTreeMap;

use swiftlink_types::{Micros, WorkspaceName};

/// Requests of one priority, per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassLoad {
    /// Arrivals, including those that were refused.
    pub arrivals: f64,
    /// Arrivals that were refused for lack of capacity.
    pub refused: f64,
    /// First events after the latency target, and requests still without one after it.
    pub late: f64,
    /// First events.
    pub first_events: f64,
    /// Time spent waiting for a first event beyond what an idle server takes, in seconds per
    /// second: the mean number of requests that wait.
    pub wait: f64,
    /// Arrivals by workspace, of those that send most.
    pub workspaces: BTreeMap<WorkspaceName, f64>,
}

/// Load of a pool by priority; 0 is the most urgent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Time over which the rates were measured, in seconds.
    pub seconds: f64,
    /// Load by priority.
    pub classes: BTreeMap<u8, ClassLoad>,
}

impl ClassLoad {
    /// Arrivals that weren't refused.
    #[must_use]
    pub fn admitted(&self) -> f64 {
        (self.arrivals - self.refused).max(0.0)
    }

    fn add(&mut self, other: &Self, weight: f64) {
        self.arrivals += other.arrivals * weight;
        self.refused += other.refused * weight;
        self.late += other.late * weight;
        self.first_events += other.first_events * weight;
        self.wait += other.wait * weight;
        for (workspace, arrivals) in &other.workspaces {
            *self.workspaces.entry(workspace.clone()).or_default() += arrivals * weight;
        }
    }
}

impl PoolLoad {
    /// Adds the rates of another router over the same time.
    pub fn add_router(&mut self, other: &Self) {
        self.add(other, 1.0);
    }

    /// The mean of consecutive periods.
    #[must_use]
    pub fn mean<'a>(periods: impl IntoIterator<Item = &'a Self>) -> Self {
        let periods: Vec<&Self> = periods.into_iter().collect();
        let seconds: f64 = periods.iter().map(|period| period.seconds).sum();
        let mut mean = Self {
            seconds,
            classes: BTreeMap::new(),
        };
        for period in periods {
            mean.add(period, period.seconds / seconds.max(1e-6));
        }
        mean
    }

    /// Number of admitted requests that the rates are based on.
    #[must_use]
    pub fn samples(&self) -> f64 {
        let admitted: f64 = self.classes.values().map(ClassLoad::admitted).sum();
        admitted * self.seconds
    }

    /// Requests per second that wait or waited for their first event.
    fn rate(&self) -> f64 {
        let rates = self.classes.values();
        rates
            .map(|class| class.first_events.max(class.admitted()))
            .sum()
    }

    fn wait(&self) -> f64 {
        self.classes.values().map(|class| class.wait).sum()
    }

    /// Reduces waits and late first events to a mean wait of `max` seconds.
    fn limit_wait(&mut self, max: f64) {
        let mean = self.wait() / self.rate().max(1e-6);
        if mean <= max {
            return;
        }
        for class in self.classes.values_mut() {
            class.wait *= max / mean;
            class.late *= max / mean;
        }
    }

    fn add(&mut self, other: &Self, weight: f64) {
        for (priority, load) in &other.classes {
            self.classes.entry(*priority).or_default().add(load, weight);
        }
    }
}

/// The latest report of each router about one pool.
#[derive(Debug, Default)]
pub struct LoadReports {
    reports: BTreeMap<u64, (Micros, PoolLoad)>,
}

/// Maximum number of routers whose reports are kept.
const MAX_ROUTERS: usize = 2_048;
/// Age at which a router no longer counts as reporting (µs): the
/// largest fleets report once in ten seconds.
const MAX_AGE: Micros = 12_000_000;
/// Age at which a report is no longer added up (µs): that of a router that reports once a second is
/// replaced by then.
const SUM_AGE: Micros = 1_500_000;

/// Multiple of the routers' median wait that counts at most. A queue at the servers shows at all
/// routers; one at a router's own link only there, although that router may have most requests.
const MAX_WAIT_RATIO: f64 = 2.0;
/// Admitted requests per second that a router needs for its wait to count in the median.
const MIN_RATE: f64 = 2.0;

/// Median of the routers' mean waits (s); infinite without enough requests.
fn median_wait(loads: &[&PoolLoad]) -> f64 {
    let busy = loads.iter().filter(|load| load.rate() >= MIN_RATE);
    let mut waits: Vec<f64> = busy.map(|load| load.wait() / load.rate()).collect();
    waits.sort_by(f64::total_cmp);
    let middle = waits.get(waits.len() / 2);
    middle.copied().unwrap_or(f64::INFINITY)
}

impl LoadReports {
    /// Records the report of a router process.
    pub fn insert(&mut self, process: u64, now: Micros, load: PoolLoad) {
        if self.reports.len() < MAX_ROUTERS || self.reports.contains_key(&process) {
            self.reports.insert(process, (now, load));
        }
    }

    /// Number of routers that reported recently, and the sum of their latest reports. Where routers
    /// report less than once a second, the sum is that of a part of them.
    pub fn total(&mut self, now: Micros) -> (usize, PoolLoad) {
        let age = |at: &Micros| now.saturating_sub(*at);
        self.reports.retain(|_, (at, _)| age(at) <= MAX_AGE);
        let mut total = PoolLoad {
            seconds: 1.0,
            classes: BTreeMap::new(),
        };
        let recent = self.reports.values().filter(|(at, _)| age(at) <= SUM_AGE);
        let recent: Vec<&PoolLoad> = recent.map(|(_, load)| load).collect();
        for load in &recent {
            total.add_router(load);
        }
        total.limit_wait(median_wait(&recent) * MAX_WAIT_RATIO);
        (self.reports.len(), total)
    }
}
