//! How many requests a router keeps at the backend servers of a pool.

use swiftlink_types::Micros;

use crate::rate::Mean;

/// Settings of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterPolicy {
    /// Least slots.
    pub min: usize,
    /// Most slots: those of all servers of the pool.
    pub max: usize,
    /// The time to the first token may grow to this multiple of its floor before
    /// slots are taken away.
    pub tolerance: f64,
}

impl Default for LimiterPolicy {
    fn default() -> Self {
        Self {
            min: 4,
            max: 1_024,
            tolerance: 1.5,
        }
    }
}

/// Adapts the number of slots to the time to the first token.
///
/// Several routers share the servers without talking to each other. Each keeps its
/// own limit: while the time stays near its floor the limit grows by about its
/// square root each round; once requests queue at the servers it shrinks in
/// proportion. So work waits in the routers' queues, where classes and deadlines
/// count, and not in the engines'.
#[derive(Debug)]
pub struct Limiter {
    policy: LimiterPolicy,
    limit: f64,
    floor: Option<f64>,
    recent: Mean,
    samples: u32,
}

/// Samples in one round of adaptation.
const ROUND: u32 = 16;
/// Weight of a new sample in the recent mean.
const RECENT_GAIN: f64 = 0.15;
/// Upward drift of the floor per round, so that it follows a lasting change.
const FLOOR_DRIFT: f64 = 1.002;
/// Weight of each round's result.
const ROUND_GAIN: f64 = 0.3;
/// Strongest cut in one round.
const MIN_GRADIENT: f64 = 0.5;

impl Limiter {
    /// A limiter that starts at the policy's most.
    #[must_use]
    pub fn new(policy: LimiterPolicy) -> Self {
        Self {
            policy,
            limit: policy.max as f64,
            floor: None,
            recent: Mean::new(RECENT_GAIN),
            samples: 0,
        }
    }

    /// The number of slots now.
    #[must_use]
    pub fn limit(&self) -> usize {
        let limit = self.limit as usize;
        limit.clamp(self.least(), self.policy.max)
    }

    /// The least limit; a pool may have fewer slots than the policy's least.
    fn least(&self) -> usize {
        self.policy.min.min(self.policy.max)
    }

    /// The pool's servers changed: `max` slots in all.
    pub fn set_max(&mut self, max: usize) {
        let grown = max > self.policy.max;
        self.policy.max = max;
        if grown {
            self.limit = max as f64;
        }
        self.limit = self.limit.min(max as f64);
    }

    /// Takes the time from dispatch to the first token (µs) of a request that ran
    /// while `in_flight` were out.
    pub fn on_first_token(&mut self, time: Micros, in_flight: usize) {
        let time = time.max(1) as f64;
        self.recent.add(time);
        let floor = self.floor.get_or_insert(time);
        *floor = floor.min(time);
        self.samples += 1;
        if self.samples < ROUND {
            return;
        }
        self.samples = 0;
        *floor *= FLOOR_DRIFT;
        let floor = *floor;
        self.adapt(floor, in_flight);
    }

    /// A server refused work because it is full.
    pub fn on_full(&mut self) {
        self.limit = (self.limit * 0.9).max(self.least() as f64);
    }

    fn adapt(&mut self, floor: f64, in_flight: usize) {
        let recent = self.recent.get().unwrap_or(floor);
        let gradient = (self.policy.tolerance * floor / recent).clamp(MIN_GRADIENT, 1.0);
        // A limit that isn't reached says nothing when times are good.
        if gradient >= 1.0 && (in_flight as f64) < self.limit / 2.0 {
            return;
        }
        let goal = self.limit * gradient + self.limit.sqrt();
        let moved = self.limit + ROUND_GAIN * (goal - self.limit);
        self.limit = moved.clamp(self.least() as f64, self.policy.max as f64);
    }
}
