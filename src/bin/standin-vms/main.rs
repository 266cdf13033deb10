//! Stand-in for the platform's VM list.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_standins::vms::main()
}
