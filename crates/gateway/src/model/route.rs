//! Routes: which requests they match, and how these are handled.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_types::{PoolName, RegionName};

/// Kind of requests on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Calls that may be executed more than once.
    Idempotent,
    /// Calls that may be executed at most once.
    NonIdempotent,
    /// Responses that are a stream of events.
    Streaming,
}

impl RouteKind {
    /// Name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// Whether a request may be retried after it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replay {
    /// Not at all.
    Never,
    /// From the beginning.
    Whole,
    /// From the last event that the caller received.
    Resume,
}

/// A weighted share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Pool that serves it.
    pub pool: PoolName,
    /// Weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A configured route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that it matches.
    pub host: Arc<str>,
    /// Path prefix that it matches.
    pub prefix: Arc<str>,
    /// Kind of requests.
    pub kind: RouteKind,
    /// Pools that serve its requests; never empty.
    pub targets: Vec<Target>,
    /// Maximum time for a request.
    pub timeout: Duration,
    /// Target latency of the response, or of its first event.
    pub latency_target: Duration,
    /// Maximum acceptable gap between two events of a response.
    pub max_gap: Option<Duration>,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of backend servers that one request may run on.
    pub max_attempts: u32,
    /// Regions whose servers may get its requests; empty for all regions.
    pub allowed_regions: Vec<RegionName>,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether an interrupted response may be resumed on another server.
    pub resumable: bool,
}

impl Route {
    /// Whether a request of this route may be retried after it may have been executed.
    #[must_use]
    pub fn replay(&self) -> Replay {
        match self.kind {
            RouteKind::Idempotent => Replay::Whole,
            RouteKind::NonIdempotent => Replay::Never,
            RouteKind::Streaming if self.resumable => Replay::Resume,
            RouteKind::Streaming => Replay::Never,
        }
    }

    /// The target of a request; `draw` is uniform in [0, 1).
    #[must_use]
    pub fn target(&self, draw: f64) -> Option<&Target> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        let mut remaining = (draw * total as f64) as u64;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(target);
            }
            remaining -= weight;
        }
        self.targets.last()
    }
}
