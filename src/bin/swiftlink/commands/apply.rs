//! `swiftlink apply -f FILE`

use std::path::Path;

use getopts::Options;
use swiftlink_client::api::ApplyRequest;
use swiftlink_client::{ClientError, block_on, change_id, document, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "apply",
    about: "Create or change the resources in a TOML file, all or none",
    usage: "-f FILE",
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt(
        "f",
        "file",
        "document with [[workspace]], [[budget]], ... tables",
        "FILE",
    );
    change_options(options);
}

/// Adds the options of the commands that send a change.
pub fn change_options(options: &mut Options) {
    options.optopt("", "change-id", "repeat the change with this id", "ID");
    options.optopt(
        "",
        "author",
        "author of the change, recorded on the log (default: the user name)",
        "NAME",
    );
}

fn run(context: &Context) -> Result<(), Failure> {
    context.positional(0, 0)?;
    let Some(file) = context.matches.opt_str("file") else {
        return Err(Failure::usage(COMMAND.name, "no file given"));
    };
    let changes = document::load(Path::new(&file))?;
    if changes.is_empty() {
        return Err(Failure::usage(
            COMMAND.name,
            format!("{file}: no resources in it"),
        ));
    }
    let request = ApplyRequest {
        author: author(context),
        changes,
    };
    send(context, &request).map_err(|failure| failure.context(format!("can't apply {file}")))
}

/// Applies a request and prints the result.
pub fn send(context: &Context, request: &ApplyRequest) -> Result<(), Failure> {
    let given = context.matches.opt_str("change-id");
    let repeat = given.is_some();
    let id = given.unwrap_or_else(change_id);
    let error = match block_on(context.operator.apply(request, &id, repeat))? {
        Ok(applied) => return context.print(&applied, table::applied),
        Err(error) => error,
    };
    if !matches!(&error, ClientError::Refused(problem) if problem.is_conflict()) {
        return Err(error.into());
    }
    // The conflict may be with this very change, if its response was lost.
    match block_on(context.operator.already_applied(request))? {
        Ok(Some(applied)) => {
            eprintln!("already applied: nothing was changed");
            context.print(&applied, table::applied)
        }
        _ => Err(error.into()),
    }
}

/// Returns the author of the change: `--author`, else the user name.
pub fn author(context: &Context) -> String {
    let given = context.matches.opt_str("author");
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_default()
}
