//! When a pool is overloaded, and how many requests it can be given then.

use std::collections::BTreeMap;
use std::time::Duration;

use swiftlink_types::{Micros, WorkspaceName};

use crate::load::{ClassLoad, PoolLoad};
use crate::rate::MICROS_PER_SEC;
use crate::shares::Shares;

/// Settings of a [`LevelController`]. Waits are means, in fractions of the latency target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelPolicy {
    /// Wait beyond which a pool may be overloaded.
    pub raise: f64,
    /// Share of late first events that confirms it.
    pub late: f64,
    /// Wait beyond which no such confirmation is needed.
    pub certain: f64,
    /// Wait beyond which the limit is reduced during an overload.
    pub hold: f64,
    /// Wait beyond which a queue that grows shows an overload before it makes requests late.
    pub early: f64,
    /// Growth of the queue that shows this: admitted requests beyond those that get their first
    /// event, as a fraction of the latter.
    pub imbalance: f64,
    /// Wait below which the limit is raised again.
    pub calm: f64,
    /// Time in which a queue that has built up is to be worked off.
    pub drain: Duration,
    /// Relative growth of the limit per second of calm.
    pub growth: f64,
    /// Fraction of the capacity that the least urgent priority may use in any case.
    pub floor: f64,
    /// Number of admitted requests that an observation needs at least.
    pub min_samples: f64,
    /// How long the limit must exceed the arrivals for the overload to end.
    pub end_after: Duration,
}

impl Default for LevelPolicy {
    fn default() -> Self {
        Self {
            raise: 0.3,
            late: 0.1,
            certain: 1.0,
            hold: 0.35,
            early: 0.15,
            imbalance: 0.12,
            calm: 0.2,
            drain: Duration::from_secs(1),
            growth: 0.015,
            floor: 0.1,
            min_samples: 20.0,
            end_after: Duration::from_secs(4),
        }
    }
}

/// Lowest limit, as a fraction of the capacity: a pool whose queue is worked off still gets work.
const MIN_LIMIT: f64 = 0.4;
/// Limit after a queue was worked off, as a fraction of the capacity.
const RESUME_LIMIT: f64 = 0.95;
/// Highest limit, as a multiple of the arrivals: beyond it, a growing limit has no effect.
const MAX_LIMIT: f64 = 1.5;
/// Multiple of the arrivals that the limit must exceed for the overload to end.
const END_LIMIT: f64 = 1.15;
/// Weight of a new measurement of the capacity.
const CAPACITY_GAIN: f64 = 0.5;

/// Time until a limit takes effect: about that between two reports of a router (s).
const REACTION_TIME: f64 = 1.0;
/// Standard deviations by which a queue's growth must exceed that of random arrivals.
const SIGNIFICANCE: f64 = 3.0;

/// Growth of a queue from one observation to the next that counts, and the number of consecutive ones
/// that show an overload. Observations need this multiple of the samples of others.
const STEP_GROWTH: f64 = 1.15;
const MIN_GROWTHS: u32 = 3;
const GROWTH_SAMPLES: f64 = 5.0;

/// Rates of a pool's requests, per second.
#[derive(Clone, Copy, Debug)]
struct Flow {
    arrivals: f64,
    admitted: f64,
    /// First events.
    served: f64,
    /// Mean number of requests that wait.
    waiting: f64,
    /// Number of admitted requests that were counted.
    samples: f64,
    seconds: f64,
}

impl Flow {
    fn of(load: &PoolLoad) -> Self {
        let sum = |of: fn(&ClassLoad) -> f64| load.classes.values().map(of).sum();
        Self {
            arrivals: sum(|class| class.arrivals),
            admitted: sum(ClassLoad::admitted),
            served: sum(|class| class.first_events),
            waiting: sum(|class| class.wait),
            samples: load.samples(),
            seconds: load.seconds,
        }
    }

    /// Whether more requests are admitted than served, by the fraction `imbalance`.
    fn is_growing(&self, imbalance: f64) -> bool {
        let growth = self.admitted - self.served;
        let noise = SIGNIFICANCE * (2.0 * self.samples).sqrt() / self.seconds.max(1e-3);
        growth > (imbalance * self.served).max(noise)
    }
}

/// Lowest capacity, as a fraction of the most that was served in the overload.
const MIN_CAPACITY: f64 = 0.6;
/// Fraction of the longest wait that counts as no improvement, how long it may last (s), and how long
/// nobody is refused then (µs): such waits have another reason than too many requests.
const FUTILE_WAIT: f64 = 0.8;
const FUTILE_TIME: f64 = 10.0;
const PAUSE: Micros = 30_000_000;

/// State of a pool that is overloaded.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// First events per second while requests wait.
    capacity: f64,
    /// Requests per second that may be admitted.
    limit: f64,
    /// How long the limit has exceeded the arrivals.
    calm_for: f64,
    /// Most first events per second since the overload began.
    peak: f64,
    /// Longest wait since the overload began, as a fraction of the target.
    worst: f64,
    /// How long the wait has been near that although requests are refused.
    futile_for: f64,
}

/// Wait for first events at a pool, in relation to the latency targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Pressure {
    /// Mean wait as a fraction of the target, of the priority where it is largest.
    wait: f64,
    /// Whether too many first events of a priority with long waits are late.
    is_late: bool,
    /// Shortest target of the priorities that have requests, in seconds.
    target: f64,
}

/// Finds out whether a pool is overloaded, and derives the admitted shares.
///
/// An overload is assumed only where waits exceed a fraction of the target and many first events
/// are late because of it. Then the limit is set to what the pool was seen to serve, less what is
/// needed to work off its queue. It grows slowly while waits are short, until it exceeds the
/// arrivals.
#[derive(Debug, Default)]
pub struct LevelController {
    policy: LevelPolicy,
    weights: BTreeMap<WorkspaceName, f64>,
    overload: Option<Overload>,
    /// Consecutive observations that indicate an overload.
    suspicions: u32,
    /// Consecutive observations in which the queue has grown, and its length in the last one.
    growths: u32,
    last_waiting: f64,
    /// Until when no overload is assumed, since refusals didn't shorten the waits.
    paused_until: Micros,
    last_step: Option<Micros>,
    shares: Shares,
    wait: f64,
}

impl LevelController {
    /// A controller of a pool that isn't overloaded.
    #[must_use]
    pub fn new(policy: LevelPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Sets the weights of workspaces; 1 for those that have none.
    pub fn set_weights(&mut self, weights: BTreeMap<WorkspaceName, f64>) {
        self.weights = weights;
    }

    /// Applies the load of about the last second. `targets` are the latency targets by priority.
    pub fn step(
        &mut self,
        now: Micros,
        load: &PoolLoad,
        targets: &BTreeMap<u8, Duration>,
    ) -> &Shares {
        let last = self.last_step.replace(now).unwrap_or(now);
        let time = now.saturating_sub(last) as f64 / MICROS_PER_SEC;
        let pressure = self.pressure(load, targets);
        let flow = Flow::of(load);
        let (served, arrivals) = (flow.served, flow.arrivals);
        self.wait = flow.waiting / served.max(flow.admitted).max(1e-3);
        let Some(mut overload) = self.overload else {
            if self.is_certain(now, &pressure, &flow) {
                self.begin(&flow, pressure.target);
                self.allocate(load);
            }
            return &self.shares;
        };
        overload.peak = overload.peak.max(served);
        if pressure.wait > self.policy.raise {
            // Fewer are served too since fewer are admitted.
            let served = served.max(overload.peak * MIN_CAPACITY);
            overload.capacity += CAPACITY_GAIN * (served - overload.capacity);
        } else {
            overload.capacity = overload.capacity.max(served);
        }
        if pressure.wait > self.policy.hold {
            overload.limit = self.limit(overload.capacity, &flow, pressure.target);
        } else if pressure.wait < self.policy.calm {
            let resumed = overload.capacity * RESUME_LIMIT;
            let grown = overload.limit * (1.0 + self.policy.growth * time.min(1.0));
            let max = arrivals * MAX_LIMIT;
            overload.limit = grown.max(resumed).min(max.max(resumed));
        }
        let is_enough = overload.limit > arrivals * END_LIMIT;
        overload.calm_for = if is_enough {
            overload.calm_for + time
        } else {
            0.0
        };
        overload.worst = overload.worst.max(pressure.wait);
        let is_futile = pressure.wait > self.policy.raise.max(overload.worst * FUTILE_WAIT);
        overload.futile_for = if is_futile {
            overload.futile_for + time
        } else {
            0.0
        };
        if overload.futile_for >= FUTILE_TIME {
            self.paused_until = now + PAUSE;
        }
        let has_ended = overload.calm_for >= self.policy.end_after.as_secs_f64()
            || overload.futile_for >= FUTILE_TIME;
        self.overload = (!has_ended).then_some(overload);
        self.allocate(load);
        &self.shares
    }

    /// The admitted shares in force.
    #[must_use]
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Mean wait for a first event beyond what an idle server takes.
    #[must_use]
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64(self.wait.clamp(0.0, 3_600.0))
    }

    fn pressure(&self, load: &PoolLoad, targets: &BTreeMap<u8, Duration>) -> Pressure {
        let mut pressure = Pressure {
            target: f64::INFINITY,
            ..Pressure::default()
        };
        let min_rate = self.policy.min_samples / load.seconds.max(1.0) / 4.0;
        for (priority, class) in &load.classes {
            let Some(target) = targets.get(priority) else {
                continue;
            };
            let rate = class.first_events.max(class.admitted());
            if rate < min_rate {
                continue;
            }
            let target = target.as_secs_f64().max(1e-3);
            let wait = class.wait / rate / target;
            pressure.wait = pressure.wait.max(wait);
            pressure.is_late |= wait > self.policy.raise && class.late > self.policy.late * rate;
            pressure.target = pressure.target.min(target);
        }
        pressure
    }

    /// Whether the pool is overloaded without a doubt: in two observations, or so much that one is
    /// enough.
    fn is_certain(&mut self, now: Micros, pressure: &Pressure, flow: &Flow) -> bool {
        let is_long = pressure.wait > self.policy.certain;
        let is_growing =
            pressure.wait > self.policy.early && flow.is_growing(self.policy.imbalance);
        let has_grown = flow.samples >= GROWTH_SAMPLES * self.policy.min_samples
            && flow.waiting > self.last_waiting * STEP_GROWTH;
        self.last_waiting = flow.waiting;
        self.growths = if has_grown { self.growths + 1 } else { 0 };
        let is_growing =
            is_growing || self.growths >= MIN_GROWTHS && pressure.wait > self.policy.early;
        let has_signs = is_long || pressure.is_late || is_growing;
        let is_paused = now < self.paused_until;
        if is_paused || flow.samples < self.policy.min_samples || !has_signs {
            self.suspicions = 0;
            return false;
        }
        self.suspicions += 1;
        let is_clear = pressure.wait > 2.0 * self.policy.raise && pressure.is_late;
        self.suspicions >= 2 || is_long || is_clear || self.growths >= MIN_GROWTHS
    }

    fn begin(&mut self, flow: &Flow, target: f64) {
        self.suspicions = 0;
        self.growths = 0;
        let capacity = flow.served.min(flow.arrivals).max(1e-3);
        self.overload = Some(Overload {
            capacity,
            limit: self.limit(capacity, flow, target),
            calm_for: 0.0,
            peak: capacity,
            worst: 0.0,
            futile_for: 0.0,
        });
    }

    /// Requests per second that leave enough of the capacity to work off the waiting ones. Those
    /// that will wait when the limit takes effect count.
    fn limit(&self, capacity: f64, flow: &Flow, target: f64) -> f64 {
        let goal = self.policy.calm * target.min(10.0) * capacity;
        let waiting = flow.waiting + (flow.admitted - flow.served) * REACTION_TIME;
        let excess = (waiting - goal).max(0.0) / self.policy.drain.as_secs_f64();
        (capacity - excess).max(capacity * MIN_LIMIT)
    }

    fn allocate(&mut self, load: &PoolLoad) {
        self.shares = match &self.overload {
            Some(overload) => Shares::allocate(
                overload.limit,
                overload.capacity,
                self.policy.floor,
                load,
                &self.weights,
            ),
            None => Shares::default(),
        };
    }
}
