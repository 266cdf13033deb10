//! `swiftlink budget NAME`

use swiftlink_client::{block_on, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "budget",
    about: "Show what is topped up, granted, charged, free and quarantined",
    usage: "NAME",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let words = context.words(1, 1)?;
    let budget = block_on(context.operator.budget(words[0]))??;
    context.print(&budget, table::budget)
}
