//! The commands of the command line, one file each.

mod apply;
mod budget;
mod delete;
mod dump;
mod get;
mod log_level;
mod status;
mod watch;

use crate::cli::Command;

/// All commands, in the order of the help.
pub const ALL: &[Command] = &[
    apply::COMMAND,
    get::COMMAND,
    watch::COMMAND,
    delete::COMMAND,
    status::COMMAND,
    budget::COMMAND,
    dump::COMMAND,
    log_level::COMMAND,
];
