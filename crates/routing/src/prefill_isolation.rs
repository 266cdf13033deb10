//! Placement by the prompt's prefix that isolates streams at slow servers from the prefill of long
//! prompts.

use rand::Rng;

use crate::baseline::TwoChoices;
use crate::policy::{Policy, View};
use crate::rendezvous::{bound, time_bound};

/// Weight of a request in the mean prompt length.
const EWMA_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of the prefill time of the request's own prompt: all requests behind it wait for that
/// too. Values of 2 and 4 gave the same results.
const OWN_WEIGHT: f64 = 2.0;
/// Fraction of the target for the first event that may pass before waiting counts. Values of 0.25
/// and 0.5 gave the same results.
const FREE_WAIT: f64 = 0.25;

/// Chooses the server with the least prefill work, preferably among those that are eligible for
/// prompts of its length and not overloaded. Ties are broken by the prefix's rendezvous order.
///
/// Where the servers of a pool differ in speed, long prompts stall the streams of the slower ones
/// for longer than callers accept ([`View::is_isolated`]). These servers get prompts that are
/// shorter than the mean, while their prefill backlog is small; the others get the rest. Where a
/// third of the servers takes 1.3 times as long as the others, this lowers the share of streams
/// with short prompts whose gaps are too long from a quarter to one in twelve.
///
/// Among the eligible servers, the one with the least prefill time is chosen: its backlog, as far
/// as this router and its peers know it, plus the tokens of this prompt that it hasn't cached. A
/// prefix stays at its preferred server until the wait there takes a considerable part of the
/// target time.
///
/// Where all routers know that servers differ in speed, homes are distributed in proportion to the
/// servers' shares ([`View::rendezvous_rank`]), and load is bounded by the time until a server is
/// free.
#[derive(Debug, Default)]
pub struct PrefillIsolation {
    fallback: TwoChoices,
    /// Moving average of prompt lengths, in tokens.
    mean: Option<f64>,
    /// Home of the last request's prefix.
    home: Option<u32>,
}

impl PrefillIsolation {
    /// Adds a prompt's length to the average; returns the average, in tokens.
    fn update_mean(&mut self, length: u64) -> f64 {
        let length = length as f64;
        let mean = self.mean.get_or_insert(length);
        *mean += EWMA_WEIGHT * (length - *mean);
        *mean
    }
}

/// Which servers are eligible for prompts of one length.
struct Eligibility<'a> {
    view: &'a View<'a>,
    /// Whether the prompt goes to an isolated server.
    wants_isolated: bool,
    /// Backlog from which on an isolated server is too busy (tokens).
    max_backlog: f64,
}

impl<'a> Eligibility<'a> {
    /// A prompt that is shorter than the mean is eligible for the isolated servers whose backlog is
    /// less than a mean prompt. The threshold is the mean since, where lengths differ much, few
    /// prompts are longer than it but hold most of the tokens.
    fn new(view: &'a View<'a>, length: u64, mean: f64) -> Self {
        let mut eligibility = Self {
            view,
            wants_isolated: true,
            max_backlog: mean,
        };
        let is_short = (length as f64) < mean;
        eligibility.wants_isolated =
            is_short && view.open().iter().any(|index| eligibility.accepts(*index));
        eligibility
    }

    fn accepts(&self, index: u32) -> bool {
        if !self.view.can_take(index) {
            return false;
        }
        let is_isolated = self.view.is_isolated(index);
        if !self.wants_isolated {
            return !is_isolated;
        }
        is_isolated && (self.view.backlog(index) as f64) < self.max_backlog
    }
}

impl Policy for PrefillIsolation {
    fn name(&self) -> &'static str {
        "unmixed"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        self.home = None;
        let prefix = view.args().prefix;
        if prefix == 0 {
            return self.fallback.pick(view, rng);
        }
        let prompt = view.args().prompt;
        let length = prompt.own + prompt.shared;
        let mean = self.update_mean(length);
        let eligibility = Eligibility::new(view, length, mean);
        let bound = LoadBound::new(view, &eligibility, mean);
        let preferred = preferred(view, &eligibility);
        self.home = preferred;
        let mut best: Option<(Suitability, u32)> = None;
        for (position, index) in view.open().iter().copied().enumerate() {
            if !view.can_take(index) {
                continue;
            }
            let prefill = if preferred == Some(index) {
                // Other routers send the prefix there too, so its shared part is cached.
                prompt.own
            } else {
                view.prefill_tokens(index)
            };
            let rank = Suitability {
                is_eligible: eligibility.accepts(index),
                is_below_bound: bound.holds(view, index),
                work: work(view, index, prefill),
                weight: view.rendezvous_rank(position),
            };
            if best
                .as_ref()
                .is_none_or(|(current, _)| rank.is_better(current))
            {
                best = Some((rank, index));
            }
        }
        best.map(|(_, index)| index)
    }

    fn is_home(&self, index: u32) -> bool {
        self.home == Some(index)
    }
}

/// Sort key of a candidate server.
struct Suitability {
    is_eligible: bool,
    is_below_bound: bool,
    /// Prefill time that it costs this caller and others (µs).
    work: f64,
    weight: u64,
}

impl Suitability {
    fn is_better(&self, other: &Self) -> bool {
        let tier =
            (self.is_eligible, self.is_below_bound).cmp(&(other.is_eligible, other.is_below_bound));
        let less = other.work.total_cmp(&self.work);
        tier.then(less).then(self.weight.cmp(&other.weight)).is_gt()
    }
}

/// The first eligible server in the prefix's rendezvous order.
fn preferred(view: &View<'_>, eligibility: &Eligibility<'_>) -> Option<u32> {
    let servers = view.open().iter().copied().enumerate();
    let eligible = servers.filter(|(_, index)| eligibility.accepts(*index));
    let best = eligible.max_by_key(|(position, _)| view.rendezvous_rank(*position));
    best.map(|(_, index)| index)
}

/// Prefill time that a prompt costs its caller and others at a server (µs).
fn work(view: &View<'_>, index: u32, prefill: u64) -> f64 {
    let own = view.prefill_time(index, prefill);
    let until_free = view.time_until_free(index);
    let free_wait = FREE_WAIT * view.args().ttft_target as f64;
    if !view.has_shares() {
        return (until_free + own - free_wait).max(0.0) + OWN_WEIGHT * own;
    }
    // Shares distribute the work by speed. If its own time counted too, each prompt would go to
    // the fastest servers.
    let own = view.ordinary_time(prefill as f64);
    let transient = view.server(index).load().transient_factor(view.now());
    let delay = until_free + own * (transient - 1.0);
    (delay - free_wait).max(0.0) + OWN_WEIGHT * own
}

/// Load up to which a server isn't overloaded.
enum LoadBound {
    /// Own requests, where servers are equally fast.
    Requests(f64),
    /// Time until a server is free (µs).
    Time(f64),
}

impl LoadBound {
    /// The bound relative to the eligible servers, for prompts of `mean` tokens.
    fn new(view: &View<'_>, eligibility: &Eligibility<'_>, mean: f64) -> Self {
        if !view.has_shares() {
            return Self::Requests(bound(view, |index| eligibility.accepts(index)));
        }
        let slack = view.ordinary_time(mean);
        Self::Time(time_bound(view, slack, |index| eligibility.accepts(index)))
    }

    fn holds(&self, view: &View<'_>, index: u32) -> bool {
        match self {
            Self::Requests(bound) => f64::from(view.server(index).load().in_flight()) <= *bound,
            Self::Time(bound) => view.time_until_free(index) <= *bound,
        }
    }
}
