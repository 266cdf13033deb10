//! `swiftlink watch [KIND]`

use getopts::Options;
use swiftlink_client::{Watcher, block_on, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "watch",
    about: "Follow changes of resources, one line each",
    usage: "[KIND]",
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "",
        "from",
        "start after this version (default: the current one; 0: the beginning)",
        "VERSION",
    );
}

fn run(context: &Context) -> Result<(), Failure> {
    let arguments = context.positional(0, 1)?;
    let from = context.number("from")?;
    block_on(follow(context, arguments.first().copied(), from))?
}

async fn follow(context: &Context, kind: Option<&str>, from: Option<u64>) -> Result<(), Failure> {
    let mut watcher = Watcher::open(&context.operator, kind, from).await?;
    loop {
        let event = watcher.next().await?;
        context.print_line(&event, table::event)?;
    }
}
