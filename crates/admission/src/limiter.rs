//! Concurrency limit: how many requests a router keeps at the backend servers of a pool.

use swiftlink_types::Micros;

use crate::rate::Mean;

/// Settings of a [`Limiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterPolicy {
    /// Smallest number of slots.
    pub min: usize,
    /// Largest number of slots: those of all servers of the pool.
    pub max: usize,
    /// The time to first token may grow to this multiple of its baseline before the limit is
    /// reduced.
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

/// Adapts the number of slots to the time to first token.
///
/// Several routers share the servers without coordination, so each keeps its own limit. While the
/// time to first token stays near its baseline, the limit moves in each round towards a goal that
/// is higher by its square root; once requests queue at the servers, the limit shrinks in
/// proportion. So work waits in the queues of the routers, which apply classes and deadlines, and
/// not in those of the engines.
#[derive(Debug)]
pub struct Limiter {
    policy: LimiterPolicy,
    /// Current limit, in slots.
    limit: f64,
    /// Lowest time to first token (µs), raised by [`BASELINE_GROWTH`] in each round.
    baseline: Option<f64>,
    /// Moving average of the time to first token (µs).
    recent: Mean,
    /// Samples in the current round.
    samples: u32,
}

/// Samples in one round of adaptation.
const ROUND_SAMPLES: u32 = 16;
/// Weight of a new sample in the recent mean.
const RECENT_GAIN: f64 = 0.15;
/// Growth of the baseline per round, so that it follows a lasting change.
const BASELINE_GROWTH: f64 = 1.002;
/// Weight of the new goal in each round.
const ROUND_GAIN: f64 = 0.3;
/// Largest reduction in one round.
const MIN_GRADIENT: f64 = 0.5;

impl Limiter {
    /// A limiter that starts at the policy's maximum.
    #[must_use]
    pub fn new(policy: LimiterPolicy) -> Self {
        Self {
            policy,
            limit: policy.max as f64,
            baseline: None,
            recent: Mean::new(RECENT_GAIN),
            samples: 0,
        }
    }

    /// The current number of slots.
    #[must_use]
    pub fn limit(&self) -> usize {
        let limit = self.limit as usize;
        limit.clamp(self.min_limit(), self.policy.max)
    }

    /// The lowest limit; a pool may have fewer slots than the policy's minimum.
    fn min_limit(&self) -> usize {
        self.policy.min.min(self.policy.max)
    }

    /// Sets the number of slots of all servers of the pool, after the servers changed.
    pub fn set_max(&mut self, max: usize) {
        let grown = max > self.policy.max;
        self.policy.max = max;
        if grown {
            self.limit = max as f64;
        }
        self.limit = self.limit.min(max as f64);
    }

    /// Takes the time from dispatch to the first token (µs) of a request that ran while `in_flight`
    /// requests were dispatched.
    pub fn on_first_token(&mut self, time: Micros, in_flight: usize) {
        let time = time.max(1) as f64;
        self.recent.add(time);
        let baseline = self.baseline.get_or_insert(time);
        *baseline = baseline.min(time);
        self.samples += 1;
        if self.samples < ROUND_SAMPLES {
            return;
        }
        self.samples = 0;
        *baseline *= BASELINE_GROWTH;
        let baseline = *baseline;
        self.adapt(baseline, in_flight);
    }

    /// A server refused a request because it is full.
    pub fn on_full(&mut self) {
        self.limit = (self.limit * 0.9).max(self.min_limit() as f64);
    }

    fn adapt(&mut self, baseline: f64, in_flight: usize) {
        let recent = self.recent.get().unwrap_or(baseline);
        let gradient = (self.policy.tolerance * baseline / recent).clamp(MIN_GRADIENT, 1.0);
        // While the limit isn't reached, a short time to first token is no reason to raise it.
        if gradient >= 1.0 && (in_flight as f64) < self.limit / 2.0 {
            return;
        }
        let goal = self.limit * gradient + self.limit.sqrt();
        let next = self.limit + ROUND_GAIN * (goal - self.limit);
        self.limit = next.clamp(self.min_limit() as f64, self.policy.max as f64);
    }
}
