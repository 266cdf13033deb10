//! `swiftlink get KIND [NAME]`

use swiftlink_client::api::{Resource, ResourceList};
use swiftlink_client::{block_on, table};

use crate::cli::{Command, Context};
use crate::failure::Failure;

pub const COMMAND: Command = Command {
    name: "get",
    about: "Show the resources of a kind, or one of them",
    usage: "KIND [NAME]",
    options: |_options| {},
    run,
};

fn run(context: &Context) -> Result<(), Failure> {
    let arguments = context.positional(1, 2)?;
    match arguments[..] {
        [kind, name] => {
            let resource = block_on(context.operator.get(kind, name))??;
            context.print(&resource, resource_table)
        }
        _ => {
            let list = block_on(context.operator.list(arguments[0]))??;
            context.print(&list, list_table)
        }
    }
}

fn resource_table(resource: &Resource) -> String {
    table::resource(resource)
}

fn list_table(list: &ResourceList) -> String {
    table::resources(&list.items)
}
