//! `swiftlink dump PROCESS`

use swiftlink_client::{block_on, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "dump",
    about: "Show the state of a process as JSON",
    usage: "PROCESS",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let arguments = context.positional(1, 1)?;
    let dump = block_on(context.operator.dump(arguments[0]))??;
    context.print(&dump, table::json)
}
