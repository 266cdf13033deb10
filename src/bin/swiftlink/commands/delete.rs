//! `swiftlink delete KIND NAME`

use getopts::Options;
use swiftlink_client::api::{ApplyChange, ApplyRequest};

use super::apply::{author, change_options, send};
use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "delete",
    about: "Delete a resource",
    usage: "KIND NAME",
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "base", "only if this version is current", "VERSION");
    change_options(options);
}

fn run(context: &Context) -> Result<(), Failure> {
    let arguments = context.positional(2, 2)?;
    let change = ApplyChange {
        kind: arguments[0].to_owned(),
        name: arguments[1].to_owned(),
        base: context.number("base")?,
        delete: true,
        spec: None,
    };
    let request = ApplyRequest {
        author: author(context),
        changes: vec![change],
    };
    let operation = format!("can't delete {} {}", arguments[0], arguments[1]);
    send(context, &request).map_err(|failure| failure.context(operation))
}
