//! Stand-in for a streaming model engine.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_standins::engine::main()
}
