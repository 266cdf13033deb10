//! Grant sizing: refusals, stranded tokens and appends of each policy.
//!
//! Drives the real budget fold, grants, sizers and shortfall decision. Requests
//! arrive at holders of one budget; claims, returns and charges go through group
//! commits to one fold. A global counter handles the same requests as the reference.

mod counter;
mod event;
mod holder;
mod ledger;
mod outcome;
mod scenario;
mod setup;
mod simulation;

pub use outcome::Outcome;
pub use scenario::{ahead_curve, run};
pub use setup::{Arrival, Counted, PolicySpec, Setup, Size, Window, arrivals};
pub use simulation::Simulation;
