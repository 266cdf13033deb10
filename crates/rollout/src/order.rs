//! Rollout orders submitted by operators, and their progress.

use std::time::Duration;

use swiftlink_types::{PoolName, VersionName, WallMs, era_of, offset_of};

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
    /// Position of the order on the store; later orders have greater positions. Routers that read
    /// the order in different eras of the store know it by different positions.
    pub number: u64,
}

impl Order {
    /// Whether `later` is this order, written again after the store went back to a copy without it.
    #[must_use]
    pub fn is_rewritten_as(&self, later: &Self) -> bool {
        let is_equal = self.pool == later.pool
            && self.version == later.version
            && self.time_limit == later.time_limit;
        is_equal && era_of(self.number) < era_of(later.number)
    }
}

/// Whether two positions can be of one order: a copy of the store keeps the offsets of its records,
/// and begins another era.
#[must_use]
pub fn is_same_order(one: u64, other: u64) -> bool {
    offset_of(one) == offset_of(other)
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

impl Progress {
    /// Whether this is the progress of `order`.
    #[must_use]
    pub fn is_of(&self, order: &Order) -> bool {
        is_same_order(self.order, order.number) && self.version == order.version
    }

    /// Whether this is the progress of the same order as `other`.
    #[must_use]
    pub fn is_of_same_order(&self, other: &Self) -> bool {
        is_same_order(self.order, other.order) && self.version == other.version
    }

    /// Whether this is a later state than `other`.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        if self.is_of_same_order(other) {
            return self.stage > other.stage;
        }
        self.order > other.order
    }
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
