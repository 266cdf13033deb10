//! Client of the operator interface.
//!
//! [`api`] holds the JSON types that pass between the operator daemon and its
//! clients, [`Operator`] speaks the interface over HTTP, [`document`] reads the
//! TOML files that `swiftlink apply` takes, and [`table`] prints answers for
//! people. The `swiftlink` command line is a thin layer over this crate.

pub mod api;
pub mod document;
mod error;
pub mod in_force;
mod operator;
mod settings;
pub mod table;
mod watch;

pub use error::{ClientError, Exit, Tries};
pub use operator::Operator;
pub use settings::{ClientSettings, Overrides, SettingsError};
/// The HTTP calls under this interface, for those that call it by hand.
pub use swiftlink_fetch as http;
pub use watch::{WatchStream, Watcher};

/// A new identifier for a change set; it carries the time.
#[must_use]
pub fn change_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Runs `work` to its end on a runtime of its own; for command-line programs.
///
/// # Errors
/// When the runtime can't be started.
pub fn block_on<F: Future>(work: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(work))
}
