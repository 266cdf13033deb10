//! `swiftlink log-level PROCESS LEVEL`

use swiftlink_client::{block_on, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "log-level",
    about: "Change what a process logs, without a restart",
    usage: "PROCESS LEVEL",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let words = context.words(2, 2)?;
    let answer = block_on(context.operator.log_level(words[0], words[1]))??;
    context.print(&answer, table::json)
}
