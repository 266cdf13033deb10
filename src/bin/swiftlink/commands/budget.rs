//! `swiftlink budget NAME`

use swiftlink_client::{block_on, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "budget",
    about: "Show what is topped up, granted, charged, free and quarantined",
    usage: "NAME",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let arguments = context.positional(1, 1)?;
    let budget = block_on(context.operator.budget(arguments[0]))??;
    context.print(&budget, table::budget)
}
