//! What a run is given: demand, faults and the policy.

use std::time::Duration;

use swiftlink_admission::{DemandSizer, EvenSplit, FixedChunk, SizerPolicy, Sizing};
use swiftlink_types::{Micros, Tokens};

use crate::draw::{SEC, around, below, gap, generator, weighted};

/// Tokens of a prompt: least and range.
const PROMPT: (Tokens, Tokens) = (50, 450);
/// Most tokens of an answer, and the least share of it that is run.
const ANSWER: Tokens = 512;
const ANSWER_LEAST: Tokens = 64;
/// Mean time of a run (µs) and its spread.
const RUN_TIME: f64 = 2e6;
const RUN_SPREAD: f64 = 0.5;
/// Tokens that a request spends on average, by the numbers above.
pub const MEAN_SPEND: Tokens = PROMPT.0 + PROMPT.1 / 2 + (ANSWER_LEAST + ANSWER) / 2;

/// A part of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// First moment.
    pub from: Micros,
    /// First moment after it.
    pub until: Micros,
}

impl Window {
    /// Whether the moment lies in it.
    #[must_use]
    pub fn has(&self, at: Micros) -> bool {
        self.from <= at && at < self.until
    }
}

/// The part of the run that is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counted {
    /// All of it.
    All,
    /// From the moment at which the all-seeing counter has this share of the budget
    /// left, to shortly after it has none.
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
    /// Requests a second, all holders together.
    pub rate: f64,
    /// Length of the run.
    pub length: Micros,
    /// Tokens paid in, and when.
    pub top_ups: Vec<(Micros, Tokens)>,
    /// When domain 0 is cut from the log and from the other domains.
    pub cut: Option<Window>,
    /// When the log is out.
    pub out: Option<Window>,
    /// What is counted.
    pub counted: Counted,
}

/// How claims are sized.
#[derive(Clone, Copy, Debug)]
pub enum Size {
    /// All that is paid in, split evenly.
    Even,
    /// A fixed number of tokens.
    Chunk(Tokens),
    /// By demand and by what is left.
    Demand(SizerPolicy),
}

/// A policy under test.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// How claims are sized.
    pub size: Size,
    /// Whether requests without rights go to a holder that has some.
    pub relay: bool,
    /// Breaks the grants on purpose: each is credited so many times. 1 is right.
    pub credits: u64,
}

impl Plan {
    /// A policy that sizes claims by demand.
    #[must_use]
    pub fn demand(name: &str, ahead: u64, hold: f64, relay: bool) -> Self {
        let policy = SizerPolicy {
            ahead: Duration::from_secs(ahead),
            scarce_ratio: hold,
            // As the router sets it: the setting `claim_pause_ms`.
            retry_max: Duration::from_millis(100),
            ..SizerPolicy::default()
        };
        Self::new(name, Size::Demand(policy), relay)
    }

    /// A policy.
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
    /// When it comes.
    pub at: Micros,
    /// The holder that it comes to.
    pub holder: usize,
    /// Bound of its cost, to be reserved.
    pub cost: Tokens,
    /// What it spends in the end.
    pub spend: Tokens,
    /// How long it runs.
    pub time: Micros,
}

/// The demand of a run.
#[must_use]
pub fn arrivals(setup: &Setup, seed: u64) -> Vec<Arrival> {
    let mut rng = generator(seed, 1);
    let mut list = Vec::new();
    let mut at = 0;
    loop {
        at += gap(&mut rng, setup.rate);
        if at >= setup.length {
            return list;
        }
        let prompt = PROMPT.0 + below(&mut rng, PROMPT.1);
        let answer = ANSWER_LEAST + below(&mut rng, ANSWER - ANSWER_LEAST);
        list.push(Arrival {
            at,
            holder: weighted(&mut rng, &setup.weights),
            cost: prompt + ANSWER,
            spend: prompt + answer,
            time: around(&mut rng, RUN_TIME, RUN_SPREAD),
        });
    }
}

impl Setup {
    /// Tokens that all holders spend in `secs` on average.
    #[must_use]
    pub fn demand(rate: f64, secs: u64) -> Tokens {
        (rate * secs as f64) as Tokens * MEAN_SPEND
    }

    /// The failure domain of a holder.
    #[must_use]
    pub fn domain(&self, holder: usize) -> usize {
        holder % self.domains
    }

    /// Whether a holder is cut off at `now`.
    #[must_use]
    pub fn is_cut(&self, holder: usize, now: Micros) -> bool {
        self.domain(holder) == 0 && self.cut.is_some_and(|cut| cut.has(now))
    }

    /// Whether the log is out at `now`.
    #[must_use]
    pub fn is_out(&self, now: Micros) -> bool {
        self.out.is_some_and(|out| out.has(now))
    }

    /// Whether a holder has heard of the log within the last 2.5 s.
    pub(crate) fn has_log(&self, holder: usize, now: Micros) -> bool {
        const SILENCE: Micros = 5 * SEC / 2;
        let then = now.saturating_sub(SILENCE);
        let is_off = |at| self.is_cut(holder, at) || self.is_out(at);
        !(is_off(now) && is_off(then))
    }
}
