//! TCP relay that tests cut and freeze.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_standins::relay::main()
}
