//! Stand-in for the platform's log.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_standins::log::main()
}
