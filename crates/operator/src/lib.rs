//! The operator daemon: resources over HTTP.
//!
//! It follows the configuration stream, answers reads from the folded state, and
//! turns each `apply` into one change set on the log, whose fate it reads back
//! before it answers. It keeps nothing: a restart folds the stream again.

mod applier;
mod board;
mod daemon;
mod fleet;
mod follower;
mod journal;
mod ledgers;
mod settings;
mod web;

pub use daemon::{Operator, Parts};
pub use settings::{OperatorSettings, Process};
