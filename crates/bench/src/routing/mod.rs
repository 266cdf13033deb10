//! Choice of a runner: time to the first token, prefix hits, requests lost.
//!
//! Several routers, each with the real fleet and policy, send requests to runners
//! that know no more than what the choice can see: slots, a queue, a prefix cache, a
//! lagging report, and faults.

mod outcome;
mod runner;
mod scenario;
mod setup;
mod world;

pub use outcome::Outcome;
pub use scenario::run;
pub use setup::{Choice, Fault, Prefixes, Retry, Setup};
pub use world::World;
