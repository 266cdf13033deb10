//! Choice of a backend server, load tracking, retry budget.
//!
//! Nothing here does I/O: time, randomness and what was seen of the servers are
//! arguments. A [`Fleet`] keeps what one router knows of one pool's servers and asks
//! a [`Policy`] to choose. A pick takes a few hundred nanoseconds, so a `Mutex`
//! around the fleet is held only briefly; [`Fleet::send`] picks and counts in one
//! step.

mod baseline;
mod expected;
mod fleet;
mod health;
mod load;
mod policy;
mod retry;
mod seen;
mod server;
mod slowness;
mod spec;

pub use baseline::{LeastReported, Random, RoundRobin, TwoChoices};
pub use expected::{ExpectedWait, ScorePolicy};
pub use fleet::Fleet;
pub use health::{ErrorKind, Health, HealthPolicy};
pub use load::{Load, LoadReport};
pub use policy::{Pick, Policy, View};
pub use retry::RetryBudget;
pub use server::{Sent, Server, ServerIdx, ServerView};
pub use spec::{FleetPolicy, ListedVm, ServerSpec};
