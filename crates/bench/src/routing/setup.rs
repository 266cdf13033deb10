//! Inputs of a run.

use swiftlink_routing::{
    ExpectedWait, HealthPolicy, LeastReported, Policy, Random, RoundRobin, TwoChoices,
};
use swiftlink_types::Micros;

use crate::draw::{MS, SEC};

/// Concurrent requests per runner.
pub const SLOTS: usize = 16;
/// Mean time to first token at an idle runner, and of the rest of an answer (µs).
pub const FIRST_TOKEN_US: f64 = 60_000.0;
pub const REMAINDER_US: f64 = 2_000_000.0;

/// A faulty runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Slower than the others by this factor.
    Slow(f64),
    /// Fails this share of its requests at once; a failed request takes no slot time.
    Fails(f64),
}

/// Prefixes of the prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prefixes {
    /// Share of the requests with a shared prefix; each other request has a unique one.
    pub share: f64,
    /// Number of shared prefixes.
    pub count: usize,
    /// Skew of their popularity: the exponent of a Zipf distribution.
    pub skew: f64,
}

/// When a failed attempt is retried on another runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// While the retry budget allows it.
    Budget,
    /// Always, up to the attempt limit of a request.
    Always,
}

/// Demand and faults of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name of the scenario.
    pub name: &'static str,
    /// Routers.
    pub routers: usize,
    /// Runners.
    pub runners: usize,
    /// Runners in each router's subset; 0 means all.
    pub subset: usize,
    /// Demand, as a share of the slots of all runners.
    pub load: f64,
    /// Interval between a router's polls of one runner.
    pub poll: Micros,
    /// Age of a load report when it arrives.
    pub report_age: Micros,
    /// Faults of the first runners.
    pub faults: Vec<Fault>,
    /// Prefixes of the prompts.
    pub prefixes: Prefixes,
    /// Length of the run, warm-up included.
    pub length: Micros,
    /// Warm-up at the start of the run, which is not counted.
    pub warm_up: Micros,
    /// Retries.
    pub retry: Retry,
}

impl Setup {
    /// Creates the base setup: 8 routers, 10 runners, reports 1 s old, no faults.
    #[must_use]
    pub fn basic(name: &'static str, quick: bool) -> Self {
        Self {
            name,
            routers: 8,
            runners: 10,
            subset: 0,
            load: 0.7,
            poll: 500 * MS,
            report_age: SEC,
            faults: Vec::new(),
            prefixes: Prefixes {
                share: 0.6,
                count: 400,
                skew: 0.9,
            },
            length: if quick { 60 } else { 600 } * SEC,
            warm_up: 20 * SEC,
            retry: Retry::Budget,
        }
    }

    /// Requests a second over all routers.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let slots = (self.runners * SLOTS) as f64;
        let time = (REMAINDER_US + FIRST_TOKEN_US * (1.0 + self.load)) / SEC as f64;
        self.load * slots / time
    }
}

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Uniformly random.
    Random,
    /// Round-robin.
    RoundRobin,
    /// Least reported load.
    LeastReported,
    /// The better of two random choices, by the router's own requests in flight.
    TwoChoices,
    /// The same, with outlier ejection of failing runners.
    TwoEjecting,
    /// Least expected time to first token, with outlier ejection.
    ExpectedWait,
}

impl Choice {
    /// All policies.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::TwoEjecting,
        Self::ExpectedWait,
    ];

    /// Name in the output rows.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::TwoEjecting => "two-choices-ejecting",
            Self::ExpectedWait => "ours",
        }
    }

    pub(crate) fn policy(self) -> Box<dyn Policy> {
        match self {
            Self::Random => Box::new(Random),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastReported => Box::new(LeastReported),
            Self::TwoChoices | Self::TwoEjecting => Box::new(TwoChoices),
            Self::ExpectedWait => Box::new(ExpectedWait::default()),
        }
    }

    pub(crate) fn health(self) -> HealthPolicy {
        match self {
            Self::TwoEjecting | Self::ExpectedWait => HealthPolicy::default(),
            _ => HealthPolicy::off(),
        }
    }
}
