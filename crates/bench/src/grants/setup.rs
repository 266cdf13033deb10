//! Inputs of a run: demand, faults and the policy.

use std::time::Duration;

use swiftlink_admission::{DemandSizer, EvenSplit, FixedChunk, SizerPolicy, Sizing};
use swiftlink_types::{Micros, Tokens};

use crate::draw::{SEC, generator, log_normal, poisson_gap, uniform, weighted};

/// Prompt tokens: minimum and range.
const PROMPT: (Tokens, Tokens) = (50, 450);
/// Maximum and minimum tokens of an answer.
const MAX_ANSWER: Tokens = 512;
const MIN_ANSWER: Tokens = 64;
/// Mean duration of a request (µs) and its spread.
const RUN_TIME: f64 = 2e6;
const RUN_SPREAD: f64 = 0.5;
/// Mean tokens spent per request, derived from the constants above.
pub const MEAN_SPEND: Tokens = PROMPT.0 + PROMPT.1 / 2 + (MIN_ANSWER + MAX_ANSWER) / 2;

/// A time window of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Inclusive start.
    pub from: Micros,
    /// Exclusive end.
    pub until: Micros,
}

impl Window {
    /// Whether the time lies in the window.
    #[must_use]
    pub fn has(&self, at: Micros) -> bool {
        self.from <= at && at < self.until
    }
}

/// The part of the run that is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counted {
    /// The whole run.
    All,
    /// From the time when the global counter has this share of the budget left, to
    /// shortly after it has run out.
    Tail(f64),
}

/// Demand and faults of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the scenario.
    pub name: &'static str,
    /// Share of the demand that arrives at each holder.
    pub weights: Vec<f64>,
    /// Failure domains; holder `n` is in domain `n % domains`.
    pub domains: usize,
    /// Requests a second over all holders.
    pub rate: f64,
    /// Length of the run.
    pub length: Micros,
    /// Top-ups: time and tokens.
    pub top_ups: Vec<(Micros, Tokens)>,
    /// When domain 0 is partitioned from the log and from the other domains.
    pub partition: Option<Window>,
    /// When the log is unavailable.
    pub log_outage: Option<Window>,
    /// The part of the run that is counted.
    pub counted: Counted,
}

/// How claims are sized.
#[derive(Clone, Copy, Debug)]
pub enum Size {
    /// An even split of every top-up.
    Even,
    /// A fixed number of tokens.
    Chunk(Tokens),
    /// By demand and by the remaining budget.
    Demand(SizerPolicy),
}

/// A policy under test.
#[derive(Clone, Debug)]
pub struct PolicySpec {
    /// Name in the output rows.
    pub name: String,
    /// How claims are sized.
    pub size: Size,
    /// Whether requests without quota are relayed to a holder that has some.
    pub relay: bool,
    /// Fault injection: number of times each grant is credited. 1 is correct.
    pub credits: u64,
}

impl PolicySpec {
    /// Creates a policy that sizes claims by demand.
    #[must_use]
    pub fn demand(name: &str, ahead: u64, hold: f64, relay: bool) -> Self {
        let policy = SizerPolicy {
            ahead: Duration::from_secs(ahead),
            scarce_ratio: hold,
            // The router's value of the setting `claim_pause_ms`.
            retry_max: Duration::from_millis(100),
            ..SizerPolicy::default()
        };
        Self::new(name, Size::Demand(policy), relay)
    }

    /// Creates a policy.
    #[must_use]
    pub fn new(name: &str, size: Size, relay: bool) -> Self {
        Self {
            name: name.to_owned(),
            size,
            relay,
            credits: 1,
        }
    }

    pub(crate) fn sizing(&self, holders: usize) -> Box<dyn Sizing> {
        match self.size {
            Size::Even => Box::new(EvenSplit::new(holders as u32)),
            Size::Chunk(chunk) => Box::new(FixedChunk::new(chunk)),
            Size::Demand(policy) => Box::new(DemandSizer::new(policy)),
        }
    }
}

/// One request of the demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Arrival time.
    pub at: Micros,
    /// The holder at which it arrives.
    pub holder: usize,
    /// Upper bound of its cost, which is reserved (tokens).
    pub cost: Tokens,
    /// Actual cost (tokens).
    pub spend: Tokens,
    /// Duration.
    pub time: Micros,
}

/// Generates the demand of a run.
#[must_use]
pub fn arrivals(setup: &Setup, seed: u64) -> Vec<Arrival> {
    let mut rng = generator(seed, 1);
    let mut list = Vec::new();
    let mut at = 0;
    loop {
        at += poisson_gap(&mut rng, setup.rate);
        if at >= setup.length {
            return list;
        }
        let prompt = PROMPT.0 + uniform(&mut rng, PROMPT.1);
        let answer = MIN_ANSWER + uniform(&mut rng, MAX_ANSWER - MIN_ANSWER);
        list.push(Arrival {
            at,
            holder: weighted(&mut rng, &setup.weights),
            cost: prompt + MAX_ANSWER,
            spend: prompt + answer,
            time: log_normal(&mut rng, RUN_TIME, RUN_SPREAD),
        });
    }
}

impl Setup {
    /// Mean tokens that `rate` requests a second spend in `secs` seconds.
    #[must_use]
    pub fn demand(rate: f64, secs: u64) -> Tokens {
        (rate * secs as f64) as Tokens * MEAN_SPEND
    }

    /// Returns the failure domain of a holder.
    #[must_use]
    pub fn domain(&self, holder: usize) -> usize {
        holder % self.domains
    }

    /// Whether a holder is partitioned at `now`.
    #[must_use]
    pub fn is_partitioned(&self, holder: usize, now: Micros) -> bool {
        self.domain(holder) == 0 && self.partition.is_some_and(|partition| partition.has(now))
    }

    /// Whether the log is unavailable at `now`.
    #[must_use]
    pub fn is_log_down(&self, now: Micros) -> bool {
        self.log_outage
            .is_some_and(|log_outage| log_outage.has(now))
    }

    /// Whether a holder has received a response of the log within the last 2.5 s.
    pub(crate) fn has_log(&self, holder: usize, now: Micros) -> bool {
        const SILENCE: Micros = 5 * SEC / 2;
        let then = now.saturating_sub(SILENCE);
        let is_off = |at| self.is_partitioned(holder, at) || self.is_log_down(at);
        !(is_off(now) && is_off(then))
    }
}
