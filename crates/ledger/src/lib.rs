//! The ledger daemon: group commit to the log, fold, witness.
//!
//! A ledger appends the records of routers to the platform's log in groups,
//! folds the log, and answers with what the fold decided. It keeps charges in
//! memory from the moment it has answered `Stored` until the log has them. It holds
//! no rights and decides nothing alone: any ledger can do the work of any other.
//!
//! - [`follower`]: reads the streams, from the log or from peers;
//! - [`batcher`], [`appender`], [`pacer`]: what is appended, and when;
//! - [`service`]: answers to requests over links;
//! - [`reconcile`]: brings declared top-ups into the budget streams;
//! - [`quarantine`], [`proof`], [`release`], [`vms`], [`joins`]: retires routers, frees
//!   their rights, refuses joins on VMs that are declared gone;
//! - [`void`]: charges that came too late;
//! - [`snapshots`]: writes snapshots before the log drops old records;
//! - [`daemon`]: puts it together.

pub mod appender;
pub mod batcher;
pub mod clock;
pub mod contact;
pub mod daemon;
pub mod duty;
pub mod follower;
pub mod gauges;
mod handover;
pub mod joins;
pub mod pacer;
pub mod peers;
pub mod proof;
pub mod quarantine;
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
pub mod vms;
pub mod void;

pub use daemon::{ABOUT, Ledger, run};
pub use settings::LedgerSettings;
