//! Entry point of `swiftlink-operator`.

use std::process::ExitCode;

use swiftlink_operator::Operator;
use swiftlink_shell::{About, run};

const ABOUT: About = About {
    name: "swiftlink-operator",
    version: env!("CARGO_PKG_VERSION"),
    about: "The resource interface of swiftlink",
};

fn main() -> ExitCode {
    run(ABOUT, Operator::run)
}
