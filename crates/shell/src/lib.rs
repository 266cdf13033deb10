//! Command-line entry, signal handling and admin endpoint of the daemons, and the
//! HTTP server that they share.
//!
//! A daemon's `main` is one call of [`run`]: it parses the command line, reads and
//! checks the settings, opens log and metrics, starts the runtime, and hands the
//! daemon its settings and a [`Shell`].
//!
//! Reading order: `run`, `shell`, `admin` (each daemon's diagnostics), then [`web`], which
//! also serves callers and operators.

mod admin;
mod cli;
mod report;
mod run;
mod shell;
pub mod web;

pub use admin::{Admin, Dump};
pub use cli::{About, Command, UsageError};
pub use report::error_chain;
pub use run::{Identity, SettingsSource, args, run, run_args, run_source};
pub use shell::Shell;
pub use swiftlink_settings::{CheckError, Common, Settings};
