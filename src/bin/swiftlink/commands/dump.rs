//! `swiftlink dump PROCESS`

use swiftlink_client::{block_on, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "dump",
    about: "Show the state of a process as JSON",
    usage: "PROCESS",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let words = context.words(1, 1)?;
    let dump = block_on(context.operator.dump(words[0]))??;
    context.print(&dump, table::json)
}
