//! The ledger daemon: group commit to the log, fold of its streams, and a second copy
//! of charges that the log doesn't have yet.
//!
//! A ledger appends the records of routers to the platform's log in batches,
//! folds the log, and replies with the fates that the fold decided. It keeps charges
//! in memory from the time it has answered `Stored` until the log has them. It holds
//! no quota and makes no decision on its own: any ledger can do the work of any other.
//!
//! - [`follower`]: reads the streams, from the log or from peers;
//! - [`batcher`], [`appender`], [`rate_limiter`]: group commit to the log;
//! - [`service`]: serves requests over links;
//! - [`reconcile`]: appends declared top-ups to the budget streams;
//! - [`quarantine`], [`proof`], [`release`], [`vm_tracker`], [`join_filter`]: retires
//!   routers, releases their grants, refuses joins on VMs that are declared gone;
//! - [`void`]: charges that arrived too late to be paid from a grant;
//! - [`snapshots`]: writes snapshots before the log trims old records;
//! - [`daemon`]: wires up the tasks.

pub mod appender;
pub mod batcher;
pub mod clock;
pub mod daemon;
pub mod follower;
pub mod gauges;
mod handover;
pub mod jitter;
pub mod join_filter;
pub mod log_health;
pub mod peers;
pub mod proof;
pub mod quarantine;
pub mod rate_limiter;
pub mod reconcile;
pub mod release;
pub mod service;
pub mod settings;
pub mod shards;
pub mod snapshots;
pub mod status;
pub mod stream;
pub mod tail;
pub mod vm_list;
pub mod vm_tracker;
pub mod void;

pub use daemon::{ABOUT, Ledger, run};
pub use settings::LedgerSettings;
