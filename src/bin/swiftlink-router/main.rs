//! Entry point of `swiftlink-router`.

use std::process::ExitCode;

use swiftlink_shell::About;

const ABOUT: About = About {
    name: "swiftlink-router",
    version: env!("CARGO_PKG_VERSION"),
    about: "Routes callers' requests to backend servers and charges them to prepaid budgets.",
};

fn main() -> ExitCode {
    swiftlink_shell::run(ABOUT, swiftlink_router::run)
}
