//! Entry point of `swiftlink-ledger`.

use std::process::ExitCode;

fn main() -> ExitCode {
    swiftlink_shell::run(swiftlink_ledger::ABOUT, swiftlink_ledger::run)
}
