//! The operator daemon over HTTP, on a log in memory.

mod apply;
mod examples;
mod interface;
mod ledger;
mod rig;
mod watch;
