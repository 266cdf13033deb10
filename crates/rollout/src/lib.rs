//! Rollouts move a pool's traffic from the versions in use to a new version.
//!
//! Operators submit an [`Order`]. A [`Progress`] record on the store holds the [`Stage`] that it
//! has reached; stages only advance. During the canary stage each router sends a small share of its
//! requests to a few servers of the new version, chosen so that they are as busy as the others
//! ([`VersionPolicy`]). Each router counts responses in [`RouterStats`]. The coordinating router
//! aggregates them ([`ReportAggregate`]), compares both versions ([`compare_versions`]) and decides
//! on the next step ([`next_step`]).
//!
//! This crate does no I/O.

mod aggregate;
mod order;
mod plan;
mod policy;
mod regression;
mod stats;

pub use aggregate::{Report, ReportAggregate};
pub use order::{ExposureLimit, Order, Progress, Stage, is_same_order};
pub use plan::{RolloutState, Step, next_step};
pub use policy::{Assignment, VersionPolicy};
pub use regression::{Regression, compare_versions};
pub use stats::{LATENCY_BUCKETS, ResponseStats, RouterStats, StatsKey, latency_bucket};
