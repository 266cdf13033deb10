//! `swiftlink get KIND [NAME]`

use swiftlink_client::api::{Resource, ResourceList};
use swiftlink_client::{block_on, table};

use crate::cli::{Context, Verb};
use crate::failure::Failure;

pub const VERB: Verb = Verb {
    name: "get",
    about: "Show the resources of a kind, or one of them",
    usage: "KIND [NAME]",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let words = context.words(1, 2)?;
    match words[..] {
        [kind, name] => {
            let resource = block_on(context.operator.get(kind, name))??;
            context.print(&resource, one)
        }
        _ => {
            let list = block_on(context.operator.list(words[0]))??;
            context.print(&list, many)
        }
    }
}

fn one(resource: &Resource) -> String {
    table::resource(resource)
}

fn many(list: &ResourceList) -> String {
    table::resources(&list.items)
}
