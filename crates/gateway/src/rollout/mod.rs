//! Rollouts of new versions of backend servers.
//!
//! Orders of operators arrive with the configuration. Their progress is kept in a feed of its own,
//! which `progress` follows. [`PoolRollout`] assigns requests to a pool's servers and counts
//! responses. `reporter` sends the counts to the two routers that coordinate the pool's rollouts
//! (`coordinator`). The decisions are made in [`swiftlink_rollout`].

mod codec;
mod coordinator;
mod pool;
mod progress;
mod reporter;
mod reports;

pub(crate) use codec::decode_report;
pub use pool::PoolRollout;
pub(crate) use progress::Follower;
pub(crate) use reporter::run;
pub use reports::Reports;
