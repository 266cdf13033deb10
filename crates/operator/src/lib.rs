//! The operator daemon: serves the resource interface over HTTP.
//!
//! It follows the configuration stream and answers reads from the folded state. It appends each
//! `apply` to the log as one change set and reads back its fate before it responds. It stores
//! nothing locally: after a restart it folds the stream again.

mod applier;
mod daemon;
mod fleet;
mod follower;
mod journal;
mod ledgers;
mod settings;
mod shared_state;
mod web;

pub use daemon::{Dependencies, Operator};
pub use settings::{OperatorSettings, Process};
