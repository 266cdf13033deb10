//! `swiftlink status`

use swiftlink_client::{block_on, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "status",
    about: "Show every process with its configuration version, grants and queue",
    usage: "",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    context.positional(0, 0)?;
    let status = block_on(context.operator.status())??;
    context.print(&status, table::status)
}
