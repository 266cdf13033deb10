//! When to claim rights, how many, and when to return some.

use std::fmt;
use std::time::Duration;

use swiftlink_types::{Micros, Tokens};

use crate::grant::Demand;
use crate::rate::{Ewma, MICROS_PER_SEC, Mean};

/// Horizons over which the spending rate is averaged; the largest counts, so that a
/// burst is answered fast and a lull is not taken for the end of demand.
const HORIZONS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_secs(60),
];
/// Share of the peak that is left after each second.
const PEAK_DECAY: f64 = 0.9;
/// Requests of mean cost that the target always covers.
const MIN_REQUESTS: f64 = 4.0;
/// Part of the target below which a claim is made.
const LOW_MARK: f64 = 0.5;
/// Multiple of the target above which rights are surplus.
const HIGH_MARK: f64 = 2.0;
/// Least part of `ahead` that is held at the end of a budget.
const MIN_AHEAD: f64 = 0.02;
/// Longest pause after refused claims that no request waits for.
const STOCK_PAUSE: Duration = Duration::from_secs(30);

/// Settings of a [`DemandSizer`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizerPolicy {
    /// Time for which rights are held ahead of the spending rate. Long rides out a
    /// longer cut from the log; short strands less in other routers' hands.
    pub ahead: Duration,
    /// Least target, in tokens.
    pub min_grant: Tokens,
    /// When a budget can't cover all targets: rights held for each token of the free
    /// rest's share. 1 leaves half of what is left free for whoever needs it; 3 leaves
    /// a quarter, which rides out a longer cut and strands more behind one.
    pub hold: f64,
    /// Rights unused for this long are returned.
    pub idle_after: Duration,
    /// First pause after a refused or failed claim.
    pub retry_base: Duration,
    /// Longest pause after refused or failed claims.
    pub retry_max: Duration,
}

impl Default for SizerPolicy {
    fn default() -> Self {
        Self {
            ahead: Duration::from_secs(10),
            min_grant: 0,
            hold: 1.0,
            idle_after: Duration::from_secs(30),
            retry_base: Duration::from_millis(20),
            retry_max: Duration::from_secs(5),
        }
    }
}

/// Size of a claim, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimSize {
    /// Least amount of use; the log refuses the claim below it.
    pub need: Tokens,
    /// Most that is wanted; at least `need`.
    pub want: Tokens,
}

/// Requests that wait for rights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Cost of the cheapest; 0 when none waits.
    pub least: Tokens,
    /// Cost of all.
    pub total: Tokens,
}

/// What the log made of a claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimOutcome {
    /// Tokens granted; 0 when refused.
    pub granted: Tokens,
    /// Tokens still free in the budget.
    pub free: Tokens,
    /// Tokens that other routers hold unspent.
    pub elsewhere: Tokens,
    /// Routers that hold rights on the budget, this one included.
    pub sharers: u32,
}

/// Decides the claims and returns of one router on one budget.
pub trait Sizing: fmt::Debug + Send {
    /// Name of the policy.
    fn name(&self) -> &'static str;

    /// Takes the grant's demand counters at `now`.
    fn observe(&mut self, now: Micros, demand: Demand);

    /// Takes the fate of the last claim.
    fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome);

    /// The last claim or return had no answer: the log or all ledgers are out.
    fn on_failed(&mut self, now: Micros);

    /// Takes what a ledger says of the budget: tokens ever paid in, tokens free, and
    /// the routers that share it.
    fn on_budget(&mut self, now: Micros, topped_up: Tokens, free: Tokens, sharers: u32);

    /// The claim to make now, if any. Not to be asked while one is outstanding.
    fn claim(&mut self, now: Micros, available: Tokens, waiting: Waiting) -> Option<ClaimSize>;

    /// Tokens to return now, if any.
    fn surplus(&mut self, now: Micros, available: Tokens) -> Option<Tokens>;
}

/// Pause between claims that bring nothing: doubles from a base to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    base: Micros,
    max: Micros,
    step: Micros,
    until: Micros,
}

impl Pause {
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

    /// Takes an answer: one that granted nothing makes it longer, another ends it.
    pub(crate) fn note(&mut self, now: Micros, outcome: &ClaimOutcome) {
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
/// The target is the spending rate times `ahead`, and at least the recent peak and a
/// few requests. When the free rest of the budget can't cover the targets of all
/// sharers, `ahead` shrinks in proportion, and what is then surplus is returned for
/// the others. While the log is out nothing is returned.
///
/// Without demand for `idle_after` the target is 0: all is returned once, and nothing
/// is claimed until a request comes. Demand that returns is claimed for by the size
/// that it had before.
#[derive(Debug)]
pub struct DemandSizer {
    policy: SizerPolicy,
    rates: [Ewma; HORIZONS.len()],
    cost: Mean,
    peak: f64,
    seen: Demand,
    seen_at: Option<Micros>,
    /// When a request last asked for rights; `None` before the first.
    busy_at: Option<Micros>,
    /// When a request last left some of its rights.
    freed_at: Micros,
    over_since: Option<Micros>,
    /// A surplus was returned since the last request.
    is_trimmed: bool,
    /// Tokens for `ahead` at the last request.
    usual: f64,
    /// Demand is back after an idle time, and nothing was granted since.
    is_back: bool,
    /// Free tokens of the budget for each sharer, as last heard.
    free_share: Option<f64>,
    free: Tokens,
    is_out: bool,
    /// Cheapest waiting request when the last claim was made; 0 when none waited.
    wanted: Tokens,
    /// Rights below this can't serve the request that the last claim was refused for.
    useless: Tokens,
    /// Least amount of the last claim.
    need: Tokens,
    pause: Pause,
    /// Pause between claims that no request waits for.
    stock: Pause,
}

impl DemandSizer {
    /// A sizer that has seen no demand.
    #[must_use]
    pub fn new(policy: SizerPolicy) -> Self {
        Self {
            policy,
            rates: HORIZONS.map(Ewma::new),
            cost: Mean::new(0.1),
            peak: 0.0,
            seen: Demand::default(),
            seen_at: None,
            busy_at: None,
            freed_at: 0,
            over_since: None,
            is_trimmed: false,
            usual: 0.0,
            is_back: false,
            free_share: None,
            free: 0,
            is_out: false,
            wanted: 0,
            useless: 0,
            need: 0,
            pause: Pause::new(policy.retry_base, policy.retry_max),
            stock: Pause::new(policy.retry_base, STOCK_PAUSE),
        }
    }

    /// Replaces the settings, keeping what was learned.
    pub fn set_policy(&mut self, policy: SizerPolicy) {
        self.policy = policy;
        self.pause = Pause::new(policy.retry_base, policy.retry_max);
    }

    /// Tokens per second spent, by the horizon that shows most.
    #[must_use]
    pub fn rate(&self, now: Micros) -> f64 {
        let rates = self.rates.iter().map(|rate| rate.per_sec(now));
        rates.fold(0.0, f64::max)
    }

    /// Tokens that the sizer would like to hold at `now`; 0 when idle.
    #[must_use]
    pub fn target(&self, now: Micros) -> Tokens {
        if self.is_idle(now) {
            return 0;
        }
        let usual = if self.is_back { self.usual } else { 0.0 };
        let full = self.full(now).max(usual);
        let part = self.ahead_part(full);
        let floor = MIN_REQUESTS * self.cost.get().unwrap_or(0.0);
        let least = floor.max(self.policy.min_grant as f64 * part);
        let target = (full * part).max(self.peak * part).max(least);
        target.ceil() as Tokens
    }

    /// Tokens for all of `ahead`.
    fn full(&self, now: Micros) -> f64 {
        self.rate(now) * self.policy.ahead.as_secs_f64()
    }

    /// Part of `ahead` that the free rest of the budget allows.
    fn ahead_part(&self, full: f64) -> f64 {
        match self.free_share {
            Some(share) if share < full => {
                let part = self.policy.hold * share / full;
                part.clamp(MIN_AHEAD, 1.0)
            }
            _ => 1.0,
        }
    }

    fn hear(&mut self, free: Tokens, sharers: u32) {
        self.free = free;
        self.free_share = Some(free as f64 / f64::from(sharers.max(1)));
    }

    /// Whether the free rest of the budget is short for the sharers' targets.
    fn is_tail(&self, now: Micros) -> bool {
        let full = self.full(now);
        self.free_share.is_some_and(|share| share < full)
    }

    fn is_idle(&self, now: Micros) -> bool {
        let idle = micros(self.policy.idle_after);
        self.busy_at
            .is_none_or(|busy| now.saturating_sub(busy) >= idle)
    }

    /// Takes note of a request at `now`.
    fn stir(&mut self, now: Micros) {
        if self.busy_at.is_some() && self.is_idle(now) {
            self.is_back = true;
        }
        self.busy_at = Some(now);
        self.is_trimmed = false;
    }
}

impl Sizing for DemandSizer {
    fn name(&self) -> &'static str {
        "demand"
    }

    fn observe(&mut self, now: Micros, demand: Demand) {
        let step = now.saturating_sub(self.seen_at.unwrap_or(now));
        // What went elsewhere would have been taken here with the rights for it.
        let asked = demand.taken + demand.missed;
        let taken = asked.saturating_sub(self.seen.taken + self.seen.missed);
        let unspent = demand.unspent.saturating_sub(self.seen.unspent);
        let requests = demand.requests.saturating_sub(self.seen.requests);
        // What one settle frees was taken before: the difference may be negative in
        // one step and is right over several, so both go through the average.
        let spent = taken as f64 - unspent as f64;
        for rate in &mut self.rates {
            rate.add(now, spent);
        }
        if requests > 0 {
            self.cost.add(taken as f64 / requests as f64);
            self.stir(now);
        }
        if requests > 0 && !self.is_back {
            self.usual = self.full(now);
        }
        if unspent > 0 {
            self.freed_at = now;
        }
        let decay = PEAK_DECAY.powf(step as f64 / MICROS_PER_SEC);
        self.peak = (self.peak * decay).max(taken as f64);
        self.seen = demand;
        self.seen_at = Some(now);
    }

    fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome) {
        self.is_out = false;
        self.hear(outcome.free, outcome.sharers);
        if outcome.granted == 0 {
            self.pause.extend(now);
            self.useless = self.wanted;
            if self.wanted == 0 {
                self.stock.extend(now);
            }
        } else {
            self.pause.clear();
            self.stock.clear();
            self.over_since = None;
            self.useless = 0;
            self.is_back = false;
        }
    }

    fn on_failed(&mut self, now: Micros) {
        self.is_out = true;
        self.pause.extend(now);
    }

    fn on_budget(&mut self, _now: Micros, _topped_up: Tokens, free: Tokens, sharers: u32) {
        // News of more free tokens (a top-up, a return) ends the pause, once they are
        // enough for what was refused.
        if free > self.free && free >= self.need {
            self.pause.clear();
            self.stock.clear();
        }
        self.hear(free, sharers);
    }

    fn claim(&mut self, now: Micros, available: Tokens, waiting: Waiting) -> Option<ClaimSize> {
        if waiting.total > 0 {
            self.stir(now);
        }
        if !self.pause.is_over(now) {
            return None;
        }
        let target = self.target(now);
        let low = target as f64 * LOW_MARK;
        let is_short = waiting.least > available;
        let is_low = (available as f64) < low && self.stock.is_over(now);
        if !is_short && !is_low {
            return None;
        }
        let target = target.saturating_add(waiting.total);
        let want = target.saturating_sub(available);
        self.wanted = if is_short { waiting.least } else { 0 };
        let need = if is_short {
            waiting.least - available
        } else {
            self.cost.get().unwrap_or(1.0).ceil() as Tokens
        };
        let need = need.clamp(1, want.max(1));
        let want = want.max(need);
        self.need = need;
        Some(ClaimSize { need, want })
    }

    fn surplus(&mut self, now: Micros, available: Tokens) -> Option<Tokens> {
        if self.is_out || available == 0 {
            return None;
        }
        let idle = micros(self.policy.idle_after);
        if self.is_idle(now) {
            self.over_since = None;
            // Requests that still run leave more soon: one return for all of it.
            let is_settled = now.saturating_sub(self.freed_at) >= idle;
            return is_settled.then_some(available);
        }
        if available < self.useless {
            // Too little for a request here, but together with the like of the other
            // routers it may serve one.
            self.useless = 0;
            return Some(available);
        }
        let target = self.target(now);
        if self.is_trimmed || available as f64 <= target as f64 * HIGH_MARK {
            self.over_since = None;
            return None;
        }
        let since = *self.over_since.get_or_insert(now);
        // Others may be refused for want of these tokens: don't sit on them.
        let patience = if self.is_tail(now) { idle / 10 } else { idle };
        if now.saturating_sub(since) < patience {
            return None;
        }
        self.over_since = None;
        self.is_trimmed = true;
        Some(available - target)
    }
}

pub(crate) fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}
