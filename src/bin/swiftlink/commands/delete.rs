//! `swiftlink delete KIND NAME`

use getopts::Options;
use swiftlink_client::api::{ApplyChange, ApplyRequest};

use super::apply::{author, change_options, send};
use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "delete",
    about: "Remove a resource",
    usage: "KIND NAME",
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "base", "only if this version is current", "VERSION");
    change_options(options);
}

fn run(context: &Context) -> Result<(), Failure> {
    let words = context.words(2, 2)?;
    let change = ApplyChange {
        kind: words[0].to_owned(),
        name: words[1].to_owned(),
        base: context.number("base")?,
        delete: true,
        spec: None,
    };
    let request = ApplyRequest {
        author: author(context),
        changes: vec![change],
    };
    let doing = format!("can't delete {} {}", words[0], words[1]);
    send(context, &request).map_err(|failure| failure.context(doing))
}
