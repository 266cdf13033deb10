//! Client of the operator interface.
//!
//! [`api`] defines the JSON types that the operator daemon and its clients exchange,
//! [`Operator`] is the HTTP client, [`document`] parses the TOML files of `swiftlink apply`, and
//! [`table`] formats responses as tables. The `swiftlink` command line is a thin layer over this
//! crate.

pub mod already_applied;
pub mod api;
pub mod document;
mod error;
mod operator;
mod settings;
pub mod table;
mod watch;

pub use error::{ClientError, Exit, FailedAttempts};
pub use operator::Operator;
pub use settings::{ClientSettings, Overrides, SettingsError};
/// The underlying HTTP client, for direct calls to the interface.
pub use swiftlink_fetch as http;
pub use watch::{WatchStream, Watcher};

/// Generates an identifier for a change set (a UUID v7, which starts with the time).
#[must_use]
pub fn change_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Runs `work` to completion on a new single-threaded runtime; for command-line programs.
///
/// # Errors
/// Fails if the runtime can't be started.
pub fn block_on<F: Future>(work: F) -> std::io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(work))
}
