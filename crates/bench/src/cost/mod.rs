//! Time, allocations and memory of the decisions and folds on this machine.
//!
//! Unlike the rows of the other drivers, these differ between runs. Bytes and
//! allocations are counted by the allocator of `swiftlink-bench`; in a program
//! without it they are left out.

mod config;
mod decisions;
mod folds;
mod meter;
mod records;
mod request;

pub use meter::{Allocator, COUNTING};

use crate::row::Rows;

/// Runs all measurements.
pub fn run(seed: u64, quick: bool, rows: &mut Rows) {
    decisions::run(seed, quick, rows);
    request::run(quick, rows);
    records::run(rows);
    folds::run(seed, quick, rows);
    config::run(quick, rows);
}

/// The sizes at which slopes are measured.
fn sizes(full: [usize; 3], quick: bool) -> [usize; 3] {
    if quick {
        full.map(|size| size / 20)
    } else {
        full
    }
}
