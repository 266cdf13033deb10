//! Routes: which requests they take, and what may be done with them.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_types::{PoolName, RegionName};

/// What kind of work a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Calls that may run more than once.
    Idempotent,
    /// Calls that may run once at most.
    NonIdempotent,
    /// Answers that are a series of events.
    Streaming,
}

impl RouteKind {
    /// Its name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replay {
    /// Never.
    Never,
    /// As a whole.
    Whole,
    /// From the last event that the caller has.
    Resume,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Pool of backend servers that gets it.
    pub pool: PoolName,
    /// Its share, against the sum of all weights of the route.
    pub weight: u32,
}

/// A declared route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that it answers to.
    pub host: Arc<str>,
    /// Paths that it takes begin with this.
    pub prefix: Arc<str>,
    /// What kind of work it carries.
    pub kind: RouteKind,
    /// Where its requests go; never empty.
    pub targets: Vec<Target>,
    /// Longest time that a request may be kept.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that callers hope for.
    pub aim: Duration,
    /// Longest pause between two events of an answer that callers accept.
    pub pause: Option<Duration>,
    /// Rank of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Most backend servers that one request may run on.
    pub attempts: u32,
    /// Regions whose servers may get its requests; all where there are none.
    pub homes: Vec<RegionName>,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether an answer that broke off may go on at another server.
    pub resumable: bool,
}

impl Route {
    /// Whether a request of this route may be sent again after it may have run.
    #[must_use]
    pub fn replay(&self) -> Replay {
        match self.kind {
            RouteKind::Idempotent => Replay::Whole,
            RouteKind::NonIdempotent => Replay::Never,
            RouteKind::Streaming if self.resumable => Replay::Resume,
            RouteKind::Streaming => Replay::Never,
        }
    }

    /// The target for a request; `draw` is drawn evenly from 0 up to 1.
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let all: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut left = (draw * all as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(target);
            }
            left -= weight;
        }
        self.targets.last()
    }
}
