//! Which share of a pool's requests is admitted, by priority and workspace.

use std::collections::BTreeMap;

use swiftlink_types::WorkspaceName;

use crate::load::{ClassLoad, PoolLoad};

/// Level while all priorities are admitted.
pub const OPEN_LEVEL: u8 = u8::MAX;
/// Shares above this count as all: rates are rounded and vary.
const FULL_SHARE: f64 = 0.999;

/// Admitted shares of one priority.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassShares {
    /// Share of the requests of the workspaces that aren't listed.
    pub others: f64,
    /// Shares by workspace.
    pub workspaces: BTreeMap<WorkspaceName, f64>,
}

/// Admitted shares of a pool's requests; of what isn't listed, all are admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shares {
    /// Priorities of which some requests are refused.
    pub classes: BTreeMap<u8, ClassShares>,
}

impl Shares {
    /// Distributes `limit` requests per second over the load of a pool that serves `capacity`.
    ///
    /// More urgent priorities go first, apart from the fraction `floor` of the capacity that the
    /// least urgent one may use in any case. Workspaces of one priority share by weight (max-min
    /// fairness); a workspace without a weight has the weight 1. A limit below the capacity, at
    /// which a queue is worked off, takes nothing from a workspace within its share of the capacity.
    #[must_use]
    pub fn allocate(
        limit: f64,
        capacity: f64,
        floor: f64,
        load: &PoolLoad,
        weights: &BTreeMap<WorkspaceName, f64>,
    ) -> Self {
        let mut shares = Self::default();
        let admitted = admitted_by_class(limit, capacity * floor, load);
        let fair_limit = limit.max(capacity * FAIR_LIMIT);
        let at_capacity = admitted_by_class(fair_limit, capacity * floor, load);
        let limits = admitted.into_iter().zip(at_capacity);
        for ((priority, load), (admitted, at_capacity)) in load.classes.iter().zip(limits) {
            if admitted < load.arrivals * FULL_SHARE {
                let class = ClassShares::allocate(admitted, at_capacity, load, weights);
                if !class.is_full() {
                    shares.classes.insert(*priority, class);
                }
            }
        }
        shares
    }

    /// Admitted share of the requests of a workspace.
    #[must_use]
    pub fn of(&self, priority: u8, workspace: Option<&WorkspaceName>) -> f64 {
        let Some(class) = self.classes.get(&priority) else {
            return 1.0;
        };
        let listed = workspace.and_then(|workspace| class.workspaces.get(workspace));
        *listed.unwrap_or(&class.others)
    }

    /// Whether everything is admitted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.classes.is_empty()
    }

    /// Least urgent priority of which everything is admitted, with all more urgent ones;
    /// [`OPEN_LEVEL`] if that holds for all. 0 also if the most urgent one is restricted.
    #[must_use]
    pub fn level(&self) -> u8 {
        let first = self.classes.keys().next();
        first.map_or(OPEN_LEVEL, |priority| priority.saturating_sub(1))
    }
}

/// Fraction of the capacity that counts for whether a workspace is within its share: one that uses
/// it up to the last keeps a queue from being worked off.
const FAIR_LIMIT: f64 = 0.9;

/// Admitted requests per second of each priority, the most urgent one first. The least urgent one
/// gets up to `reserve` in any case.
fn admitted_by_class(limit: f64, reserve: f64, load: &PoolLoad) -> Vec<f64> {
    let arrivals: Vec<f64> = load.classes.values().map(|class| class.arrivals).collect();
    let last = arrivals.iter().rposition(|arrivals| *arrivals > 0.0);
    let least_urgent = last.and_then(|last| load.classes.values().nth(last));
    let reserve = least_urgent.map_or(0.0, |class| class.arrivals.min(reserve));
    let mut left = (limit - reserve).max(0.0);
    let mut admitted = Vec::new();
    for (index, arrivals) in arrivals.into_iter().enumerate() {
        if Some(index) == last {
            left += reserve;
        }
        let rate = arrivals.min(left);
        left -= rate;
        admitted.push(rate);
    }
    admitted
}

impl ClassShares {
    /// Whether everything is admitted.
    fn is_full(&self) -> bool {
        let mut shares = self.workspaces.values().chain([&self.others]);
        shares.all(|share| *share >= 1.0)
    }

    fn allocate(
        admitted: f64,
        at_capacity: f64,
        load: &ClassLoad,
        weights: &BTreeMap<WorkspaceName, f64>,
    ) -> Self {
        let listed: f64 = load.workspaces.values().sum();
        let others = (load.arrivals - listed).max(0.0);
        let weight = |workspace| weights.get(workspace).copied().unwrap_or(1.0).max(1e-3);
        let workspaces = load.workspaces.iter();
        let mut demands: Vec<(f64, f64)> = workspaces
            .map(|(workspace, arrivals)| (*arrivals, weight(workspace)))
            .collect();
        demands.push((others, 1.0));
        let fair = max_min_unit(at_capacity, &demands);
        let is_within = |demand: f64, weight: f64| demand <= fair * weight;
        let within = demands
            .iter()
            .filter(|(demand, weight)| is_within(*demand, *weight));
        let within: f64 = within.map(|(demand, _)| demand).sum();
        demands.retain(|(demand, weight)| !is_within(*demand, *weight));
        let unit = max_min_unit((admitted - within).max(0.0), &demands);
        let share = |demand: f64, weight: f64| {
            if is_within(demand, weight) {
                return 1.0;
            }
            let share = unit * weight / demand.max(1e-9);
            if share < FULL_SHARE { share } else { 1.0 }
        };
        let workspaces = load.workspaces.iter();
        let workspaces = workspaces
            .map(|(workspace, arrivals)| (workspace.clone(), share(*arrivals, weight(workspace))));
        Self {
            others: share(others, 1.0),
            workspaces: workspaces.collect(),
        }
    }
}

/// The rate per weight that each demand may use at most, so that together they use `capacity`.
fn max_min_unit(capacity: f64, demands: &[(f64, f64)]) -> f64 {
    let mut order: Vec<_> = demands.iter().filter(|(demand, _)| *demand > 0.0).collect();
    order.sort_by(|(one, weight), (other, other_weight)| {
        (one / weight).total_cmp(&(other / other_weight))
    });
    let mut weights: f64 = order.iter().map(|(_, weight)| weight).sum();
    let mut left = capacity;
    for (demand, weight) in order {
        let unit = left / weights;
        if *demand > unit * weight {
            return unit;
        }
        left -= demand;
        weights -= weight;
    }
    f64::INFINITY
}
