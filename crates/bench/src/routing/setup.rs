//! What a run is given.

use swiftlink_routing::{
    ExpectedWait, HealthPolicy, LeastReported, Policy, Random, RoundRobin, TwoChoices,
};
use swiftlink_types::Micros;

use crate::draw::{MS, SEC};

/// Requests that a runner serves at once.
pub const SLOTS: usize = 16;
/// Time to the first token at an idle runner (µs), and of the rest of an answer.
pub const FIRST: f64 = 60_000.0;
pub const REST: f64 = 2_000_000.0;

/// A faulty runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// So many times slower than the others.
    Slow(f64),
    /// Fails this share of its requests at once; what fails leaves it idle.
    Fails(f64),
}

/// The prompts' prefixes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prefixes {
    /// Share of the requests that have a known prefix; the others have one of their own.
    pub share: f64,
    /// Known prefixes.
    pub count: usize,
    /// How unevenly they come: the exponent of a Zipf law.
    pub skew: f64,
}

/// When a failed attempt is made again elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// While the retry budget allows it.
    Budget,
    /// Always, up to the limit for one request.
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
    /// Runners that each router uses; 0: all.
    pub subset: usize,
    /// Demand, as a share of the slots of all runners.
    pub load: f64,
    /// Time between a router's polls of one runner.
    pub poll: Micros,
    /// Age of a load report when it arrives.
    pub lag: Micros,
    /// Faults of the first runners.
    pub faults: Vec<Fault>,
    /// The prompts' prefixes.
    pub prefixes: Prefixes,
    /// Length of the run, and of its first part that is not counted.
    pub length: Micros,
    /// The part that is not counted.
    pub warm_up: Micros,
    /// Retries.
    pub retry: Retry,
}

impl Setup {
    /// The basic run: 8 routers, 10 runners, reports 1 s old, no faults.
    #[must_use]
    pub fn basic(name: &'static str, quick: bool) -> Self {
        Self {
            name,
            routers: 8,
            runners: 10,
            subset: 0,
            load: 0.7,
            poll: 500 * MS,
            lag: SEC,
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

    /// Requests a second, all routers together.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let slots = (self.runners * SLOTS) as f64;
        let time = (REST + FIRST * (1.0 + self.load)) / SEC as f64;
        self.load * slots / time
    }
}

/// A policy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any runner.
    Random,
    /// One after the other.
    RoundRobin,
    /// Least reported load.
    LeastReported,
    /// The better of two by own requests in flight.
    TwoChoices,
    /// The same, with the ejection of failing runners.
    TwoEjecting,
    /// Least expected time to the first token, with ejection.
    Ours,
}

impl Choice {
    /// All policies.
    pub const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::TwoEjecting,
        Self::Ours,
    ];

    /// Its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::TwoEjecting => "two-choices-ejecting",
            Self::Ours => "ours",
        }
    }

    pub(crate) fn policy(self) -> Box<dyn Policy> {
        match self {
            Self::Random => Box::new(Random),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastReported => Box::new(LeastReported),
            Self::TwoChoices | Self::TwoEjecting => Box::new(TwoChoices),
            Self::Ours => Box::new(ExpectedWait::default()),
        }
    }

    pub(crate) fn health(self) -> HealthPolicy {
        match self {
            Self::TwoEjecting | Self::Ours => HealthPolicy::default(),
            _ => HealthPolicy::off(),
        }
    }
}
