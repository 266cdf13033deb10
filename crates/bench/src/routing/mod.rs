//! Runner selection: time to first token, prefix cache hits, failed requests.
//!
//! Several routers, each with the real fleet and policy, send requests to simulated
//! runners that model only the inputs of the policy: slots, a queue, a prefix cache, a
//! delayed load report, and faults.

mod outcome;
mod runner;
mod scenario;
mod setup;
mod simulation;

pub use outcome::Outcome;
pub use scenario::run;
pub use setup::{Choice, Fault, Prefixes, Retry, Setup};
pub use simulation::Simulation;
