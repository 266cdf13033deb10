//! Tests of the operator daemon over HTTP, with an in-memory log.

mod apply;
mod examples;
mod interface;
mod ledger;
mod rig;
mod watch;
