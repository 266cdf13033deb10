//! Stand-in for a plain service.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_standins::service::main()
}
