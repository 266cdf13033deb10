//! `swiftlink log-level PROCESS [LEVEL]`

use swiftlink_client::{block_on, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "log-level",
    about: "Show or change what a process logs, without a restart",
    usage: "PROCESS [LEVEL]",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let arguments = context.positional(1, 2)?;
    let answer = match arguments[..] {
        [process, level] => block_on(context.operator.set_log_level(process, level))??,
        _ => block_on(context.operator.read_log_level(arguments[0]))??,
    };
    context.print(&answer, table::line)
}
