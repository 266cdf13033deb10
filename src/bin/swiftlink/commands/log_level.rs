//! `swiftlink log-level PROCESS [LEVEL]`

use swiftlink_client::{block_on, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "log-level",
    about: "Show or change what a process logs, without a restart",
    usage: "PROCESS [LEVEL]",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let words = context.words(1, 2)?;
    let answer = match words[..] {
        [process, level] => block_on(context.operator.log_level(process, level))??,
        _ => block_on(context.operator.read_level(words[0]))??,
    };
    context.print(&answer, table::line)
}
