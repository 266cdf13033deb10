//! `swiftlink status`

use swiftlink_client::{block_on, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "status",
    about: "Show every process with its configuration version, grants and queue",
    usage: "",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    context.words(0, 0)?;
    let status = block_on(context.operator.status())??;
    context.print(&status, table::status)
}
