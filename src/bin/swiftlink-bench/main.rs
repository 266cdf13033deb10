//! Entry point of `swiftlink-bench`.

use std::process::ExitCode;

use swiftlink_bench::cost::{Allocator, COUNTING};

/// Counts allocations for the rows of the cost driver.
#[global_allocator]
static GLOBAL: &Allocator = &COUNTING;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match swiftlink_bench::run(&args, &mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("swiftlink-bench: {error:#}");
            ExitCode::from(2)
        }
    }
}
