//! Limits, priority and retries: goodput and accuracy of retry-after times under
//! overload, and attempts while runners fail.

mod overload;
mod retries;
mod setup;

pub use overload::{Outcome, Simulation};
pub use setup::{CLASSES, Class, Setup};

use crate::row::Rows;

/// Runs all scenarios.
pub fn run(seed: u64, quick: bool, rows: &mut Rows) {
    overload::run(seed, quick, rows);
    retries::run(seed, quick, rows);
}
