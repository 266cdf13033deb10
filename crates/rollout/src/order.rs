//! Rollout orders submitted by operators, and their progress.

use std::time::Duration;

use swiftlink_types::{PoolName, VersionName, WallMs};

/// Share of the allowed exposure that the canary stage uses. The rest covers requests served
/// between the first failures under full traffic and the moment when all routers stop using the
/// version.
const CANARY_EXPOSURE: f64 = 0.75;

/// A rollout order submitted by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Pool whose traffic moves.
    pub pool: PoolName,
    /// Version that the traffic moves to.
    pub version: VersionName,
    /// Time from the order to its deadline.
    pub time_limit: Duration,
    /// Offset of the order on the store; later orders have greater offsets.
    pub number: u64,
}

/// Stage of a rollout. Stages only advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Not begun: the new version gets no requests.
    Ordered,
    /// The new version gets a small share of the requests.
    Canary,
    /// The new version gets all new requests. Requests running on old versions continue.
    Shift,
    /// The old versions get no more requests and their servers terminate.
    Completed,
    /// The new version gets no more requests.
    Reverted,
}

impl Stage {
    /// Name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Canary => "trial",
            Self::Shift => "shift",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }

    /// Whether no other stage follows.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted)
    }
}

/// Progress of an order as recorded on the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Number of the order.
    pub order: u64,
    /// Version of the order.
    pub version: VersionName,
    /// Stage reached.
    pub stage: Stage,
    /// Time of day when the order was first seen.
    pub started: WallMs,
}

/// Limit on the traffic that a faulty version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of all requests between the order and its deadline.
    pub share: f64,
    /// Number of requests allowed in addition to the share.
    pub slack: f64,
}

impl ExposureLimit {
    /// Share of the requests that go to the new version during the canary stage. Each router
    /// samples independently, so the fleet-wide share doesn't depend on the number of routers.
    #[must_use]
    pub fn canary_share(&self) -> f64 {
        (self.share * CANARY_EXPOSURE).clamp(0.0, 1.0)
    }
}
