//! When to claim quota, how much, and when to return some.

use std::fmt;
use std::time::Duration;

use swiftlink_types::{Micros, Tokens};

use crate::grant::Demand;
use crate::rate::{Ewma, MICROS_PER_SEC, Mean};

/// Horizons over which the spending rate is averaged. The largest of the rates counts, so that a
/// burst takes effect fast and a lull doesn't count as the end of demand.
const RATE_HORIZONS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_secs(60),
];
/// Fraction of the peak that is left after each second.
const PEAK_DECAY: f64 = 0.9;
/// Requests of mean cost that the target always covers.
const MIN_REQUESTS: f64 = 4.0;
/// Fraction of the target below which quota is claimed.
const LOW_WATERMARK: f64 = 0.5;
/// Multiple of the target above which quota is surplus.
const HIGH_WATERMARK: f64 = 2.0;
/// Smallest fraction of the full target that is held when the budget runs out.
const MIN_AHEAD_FRACTION: f64 = 0.02;
/// Longest backoff after refused claims that no request waits for.
const MAX_PREFETCH_BACKOFF: Duration = Duration::from_secs(30);

/// Settings of a [`DemandSizer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizerPolicy {
    /// Time for which quota is held ahead of the spending rate. A long time bridges longer outages
    /// of the log; a short one strands less quota at other routers.
    pub ahead: Duration,
    /// Smallest target, in tokens.
    pub min_grant: Tokens,
    /// When a budget can't cover all targets: tokens held per token of this router's share of the
    /// free rest. 1 leaves half of what is left free for other routers; 3 leaves a quarter, which
    /// bridges a longer outage of the log and strands more quota at routers that lose it.
    pub scarce_ratio: f64,
    /// Quota unused for this long is returned.
    pub idle_after: Duration,
    /// First backoff after a refused or failed claim.
    pub retry_base: Duration,
    /// Longest backoff after refused or failed claims.
    pub retry_max: Duration,
}

impl Default for SizerPolicy {
    fn default() -> Self {
        Self {
            ahead: Duration::from_secs(10),
            min_grant: 0,
            scarce_ratio: 1.0,
            idle_after: Duration::from_secs(30),
            retry_base: Duration::from_millis(20),
            retry_max: Duration::from_secs(5),
        }
    }
}

/// Size of a claim, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSize {
    /// Smallest useful amount; the log refuses the claim if it can't grant that much.
    pub need: Tokens,
    /// Largest amount wanted; at least `need`.
    pub want: Tokens,
}

/// Requests that wait for quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Cost of the cheapest request; 0 when none waits.
    pub min_cost: Tokens,
    /// Cost of all of them together.
    pub total_cost: Tokens,
}

/// How the log decided a claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// Tokens granted; 0 when refused.
    pub granted: Tokens,
    /// Tokens still free in the budget.
    pub free: Tokens,
    /// Unspent tokens that other routers hold.
    pub held_elsewhere: Tokens,
    /// Routers that hold quota on the budget, this one included.
    pub sharers: u32,
}

/// Decides the claims and returns of one router on one budget.
pub trait Sizing: fmt::Debug + Send {
    /// Name of the policy.
    fn name(&self) -> &'static str;

    /// Takes the grant's demand counters at `now`.
    fn observe(&mut self, now: Micros, demand: Demand);

    /// Takes the outcome of the last claim.
    fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome);

    /// The last claim or return had no answer: the log or all ledgers are unavailable.
    fn on_failed(&mut self, now: Micros);

    /// Takes a ledger's report on the budget: tokens ever paid in, free tokens, and the number of
    /// routers that share it.
    fn on_budget(&mut self, now: Micros, topped_up: Tokens, free: Tokens, sharers: u32);

    /// The claim to make now, if any. Must not be called while a claim is outstanding.
    fn claim(&mut self, now: Micros, available: Tokens, waiting: Waiting) -> Option<ClaimSize>;

    /// Tokens to return now, if any.
    fn surplus(&mut self, now: Micros, available: Tokens) -> Option<Tokens>;
}

/// Backoff between claims that grant nothing: doubles from a base to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    base: Micros,
    max: Micros,
    step: Micros,
    until: Micros,
}

impl Backoff {
    pub(crate) fn new(base: Duration, max: Duration) -> Self {
        Self {
            base: base.as_micros() as Micros,
            max: max.as_micros() as Micros,
            step: 0,
            until: 0,
        }
    }

    pub(crate) fn extend(&mut self, now: Micros) {
        self.step = (self.step * 2).clamp(self.base, self.max.max(self.base));
        self.until = now + self.step;
    }

    /// Takes the outcome of a claim: one that granted nothing extends the backoff, any other ends
    /// it.
    pub(crate) fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome) {
        if outcome.granted == 0 {
            self.extend(now);
        } else {
            self.clear();
        }
    }

    pub(crate) fn clear(&mut self) {
        self.step = 0;
        self.until = 0;
    }

    pub(crate) fn is_over(&self, now: Micros) -> bool {
        now >= self.until
    }
}

/// Sizes grants by demand and by what is left of the budget.
///
/// The target is the spending rate times `ahead`, and at least the recent peak and the cost of a
/// few requests. When the free rest of the budget can't cover the targets of all sharers, `ahead`
/// shrinks in proportion, and the resulting surplus is returned for other routers. While the log is
/// unavailable nothing is returned.
///
/// After `idle_after` without demand the target is 0: everything is returned in one record, and
/// nothing is claimed until a request comes. When demand returns, the claim has the size from
/// before the idle time.
#[derive(Debug)]
pub struct DemandSizer {
    policy: SizerPolicy,
    rates: [Ewma; RATE_HORIZONS.len()],
    cost: Mean,
    peak: f64,
    last_demand: Demand,
    last_observed: Option<Micros>,
    /// When a request last asked for quota; `None` before the first.
    last_request: Option<Micros>,
    /// When a settled request last left some of its reservation unspent.
    last_unspent: Micros,
    surplus_since: Option<Micros>,
    /// Whether a surplus was returned since the last request.
    has_returned: bool,
    /// Tokens for all of `ahead` at the last request.
    busy_target: f64,
    /// Whether demand is back after an idle time and nothing was granted since.
    is_resuming: bool,
    /// Free tokens of the budget per sharer, at the last report.
    free_share: Option<f64>,
    free: Tokens,
    is_log_down: bool,
    /// Cost of the cheapest waiting request when the last claim was made; 0 when none waited.
    waiting_cost: Tokens,
    /// Quota below this can't serve the request whose claim was last refused.
    min_useful: Tokens,
    /// Smallest useful amount of the last claim.
    last_need: Tokens,
    backoff: Backoff,
    /// Backoff between claims that no request waits for.
    prefetch_backoff: Backoff,
}

impl DemandSizer {
    /// A sizer that has seen no demand.
    #[must_use]
    pub fn new(policy: SizerPolicy) -> Self {
        Self {
            policy,
            rates: RATE_HORIZONS.map(Ewma::new),
            cost: Mean::new(0.1),
            peak: 0.0,
            last_demand: Demand::default(),
            last_observed: None,
            last_request: None,
            last_unspent: 0,
            surplus_since: None,
            has_returned: false,
            busy_target: 0.0,
            is_resuming: false,
            free_share: None,
            free: 0,
            is_log_down: false,
            waiting_cost: 0,
            min_useful: 0,
            last_need: 0,
            backoff: Backoff::new(policy.retry_base, policy.retry_max),
            prefetch_backoff: Backoff::new(policy.retry_base, MAX_PREFETCH_BACKOFF),
        }
    }

    /// Replaces the settings and keeps the measured demand.
    pub fn set_policy(&mut self, policy: SizerPolicy) {
        self.policy = policy;
        self.backoff = Backoff::new(policy.retry_base, policy.retry_max);
    }

    /// Tokens spent per second, by the horizon with the highest rate.
    #[must_use]
    pub fn rate(&self, now: Micros) -> f64 {
        let rates = self.rates.iter().map(|rate| rate.per_sec(now));
        rates.fold(0.0, f64::max)
    }

    /// Tokens that the router should hold at `now`; 0 when idle.
    #[must_use]
    pub fn target(&self, now: Micros) -> Tokens {
        if self.is_idle(now) {
            return 0;
        }
        let busy_target = if self.is_resuming {
            self.busy_target
        } else {
            0.0
        };
        let full_target = self.full_target(now).max(busy_target);
        let fraction = self.ahead_fraction(full_target);
        let floor = MIN_REQUESTS * self.cost.get().unwrap_or(0.0);
        let min_target = floor.max(self.policy.min_grant as f64 * fraction);
        let target = (full_target * fraction)
            .max(self.peak * fraction)
            .max(min_target);
        target.ceil() as Tokens
    }

    /// Tokens for all of `ahead`.
    fn full_target(&self, now: Micros) -> f64 {
        self.rate(now) * self.policy.ahead.as_secs_f64()
    }

    /// Fraction of the full target that the free rest of the budget allows.
    fn ahead_fraction(&self, full_target: f64) -> f64 {
        match self.free_share {
            Some(share) if share < full_target => {
                let fraction = self.policy.scarce_ratio * share / full_target;
                fraction.clamp(MIN_AHEAD_FRACTION, 1.0)
            }
            _ => 1.0,
        }
    }

    fn set_free(&mut self, free: Tokens, sharers: u32) {
        self.free = free;
        self.free_share = Some(free as f64 / f64::from(sharers.max(1)));
    }

    /// Whether the free rest of the budget is too small for the targets of all sharers.
    fn is_scarce(&self, now: Micros) -> bool {
        let full_target = self.full_target(now);
        self.free_share.is_some_and(|share| share < full_target)
    }

    fn is_idle(&self, now: Micros) -> bool {
        let idle = micros(self.policy.idle_after);
        self.last_request
            .is_none_or(|last| now.saturating_sub(last) >= idle)
    }

    /// Takes the arrival of a request at `now`.
    fn on_request(&mut self, now: Micros) {
        if self.last_request.is_some() && self.is_idle(now) {
            self.is_resuming = true;
        }
        self.last_request = Some(now);
        self.has_returned = false;
    }
}

impl Sizing for DemandSizer {
    fn name(&self) -> &'static str {
        "demand"
    }

    fn observe(&mut self, now: Micros, demand: Demand) {
        let step = now.saturating_sub(self.last_observed.unwrap_or(now));
        // Relayed and refused demand counts too: with enough quota it would have been served here.
        let asked = demand.taken + demand.missed;
        let taken = asked.saturating_sub(self.last_demand.taken + self.last_demand.missed);
        let unspent = demand.unspent.saturating_sub(self.last_demand.unspent);
        let requests = demand.requests.saturating_sub(self.last_demand.requests);
        // Unspent tokens were counted as taken in an earlier step: the difference may be negative
        // in one step and is right over several, so both go through the average.
        let spent = taken as f64 - unspent as f64;
        for rate in &mut self.rates {
            rate.add(now, spent);
        }
        if requests > 0 {
            self.cost.add(taken as f64 / requests as f64);
            self.on_request(now);
        }
        if requests > 0 && !self.is_resuming {
            self.busy_target = self.full_target(now);
        }
        if unspent > 0 {
            self.last_unspent = now;
        }
        let decay = PEAK_DECAY.powf(step as f64 / MICROS_PER_SEC);
        self.peak = (self.peak * decay).max(taken as f64);
        self.last_demand = demand;
        self.last_observed = Some(now);
    }

    fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome) {
        self.is_log_down = false;
        self.set_free(outcome.free, outcome.sharers);
        if outcome.granted == 0 {
            self.backoff.extend(now);
            self.min_useful = self.waiting_cost;
            if self.waiting_cost == 0 {
                self.prefetch_backoff.extend(now);
            }
        } else {
            self.backoff.clear();
            self.prefetch_backoff.clear();
            self.surplus_since = None;
            self.min_useful = 0;
            self.is_resuming = false;
        }
    }

    fn on_failed(&mut self, now: Micros) {
        self.is_log_down = true;
        self.backoff.extend(now);
    }

    fn on_budget(&mut self, _now: Micros, _topped_up: Tokens, free: Tokens, sharers: u32) {
        // More free tokens (after a top-up or a return) end the backoff, once they cover the claim
        // that was refused.
        if free > self.free && free >= self.last_need {
            self.backoff.clear();
            self.prefetch_backoff.clear();
        }
        self.set_free(free, sharers);
    }

    fn claim(&mut self, now: Micros, available: Tokens, waiting: Waiting) -> Option<ClaimSize> {
        if waiting.total_cost > 0 {
            self.on_request(now);
        }
        if !self.backoff.is_over(now) {
            return None;
        }
        let target = self.target(now);
        let low = target as f64 * LOW_WATERMARK;
        let is_short = waiting.min_cost > available;
        let is_low = (available as f64) < low && self.prefetch_backoff.is_over(now);
        if !is_short && !is_low {
            return None;
        }
        let target = target.saturating_add(waiting.total_cost);
        let want = target.saturating_sub(available);
        self.waiting_cost = if is_short { waiting.min_cost } else { 0 };
        let need = if is_short {
            waiting.min_cost - available
        } else {
            self.cost.get().unwrap_or(1.0).ceil() as Tokens
        };
        let need = need.clamp(1, want.max(1));
        let want = want.max(need);
        self.last_need = need;
        Some(ClaimSize { need, want })
    }

    fn surplus(&mut self, now: Micros, available: Tokens) -> Option<Tokens> {
        if self.is_log_down || available == 0 {
            return None;
        }
        let idle = micros(self.policy.idle_after);
        if self.is_idle(now) {
            self.surplus_since = None;
            // Requests that still run will leave more unspent: wait for them and return it all at
            // once.
            let is_settled = now.saturating_sub(self.last_unspent) >= idle;
            return is_settled.then_some(available);
        }
        if available < self.min_useful {
            // Too little for a request here, but together with such remainders of other routers it
            // may serve one.
            self.min_useful = 0;
            return Some(available);
        }
        let target = self.target(now);
        if self.has_returned || available as f64 <= target as f64 * HIGH_WATERMARK {
            self.surplus_since = None;
            return None;
        }
        let since = *self.surplus_since.get_or_insert(now);
        // Other routers may refuse requests for lack of these tokens: return them sooner.
        let delay = if self.is_scarce(now) { idle / 10 } else { idle };
        if now.saturating_sub(since) < delay {
            return None;
        }
        self.surplus_since = None;
        self.has_returned = true;
        Some(available - target)
    }
}

pub(crate) fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
