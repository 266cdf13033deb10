//! TCP relay with which tests cut and freeze connections.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_standins::relay::main()
}
