//! The verbs of the command line, one file each.

mod apply;
mod budget;
mod delete;
mod dump;
mod get;
mod log_level;
mod status;
mod watch;

use crate::cli::Verb;

/// Every verb, in the order of the help.
pub const ALL: &[Verb] = &[
    apply::VERB,
    get::VERB,
    watch::VERB,
    delete::VERB,
    status::VERB,
    budget::VERB,
    dump::VERB,
    log_level::VERB,
];
