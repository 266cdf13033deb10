//! `swiftlink apply -f FILE`

use std::path::Path;

use getopts::Options;
use swiftlink_client::api::ApplyRequest;
use swiftlink_client::{ClientError, block_on, change_id, document, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "apply",
    about: "Create or change the resources of a TOML file, all or none",
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

/// The options of every command that sends a change.
pub fn change_options(options: &mut Options) {
    options.optopt("", "change-id", "repeat the change of this id", "ID");
    options.optopt(
        "",
        "author",
        "who asks, for the record (default: the user's name)",
        "NAME",
    );
}

fn run(context: &Context) -> Result<(), Failure> {
    context.words(0, 0)?;
    let Some(file) = context.matches.opt_str("file") else {
        return Err(Failure::usage(VERB.name, "no file given"));
    };
    let changes = document::load(Path::new(&file))?;
    if changes.is_empty() {
        return Err(Failure::usage(
            VERB.name,
            format!("{file}: no resources in it"),
        ));
    }
    let request = ApplyRequest {
        author: author(context),
        changes,
    };
    send(context, &request).map_err(|failure| failure.context(format!("can't apply {file}")))
}

/// Applies a request and prints what became of it.
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
    // Perhaps the conflict is with this very change, whose answer was lost.
    match block_on(context.operator.in_force(request))? {
        Ok(Some(applied)) => {
            eprintln!("already in force: this run changed nothing");
            context.print(&applied, table::applied)
        }
        _ => Err(error.into()),
    }
}

/// Who asks: `--author`, else the user's name.
pub fn author(context: &Context) -> String {
    let given = context.matches.opt_str("author");
    given
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_default()
}
