//! Choice of a backend server, load tracking, retry budget.
//!
//! Nothing here does I/O: time, randomness and what was seen of the servers are
//! arguments. A [`Fleet`] keeps what one router knows of one pool's servers and asks
//! a [`Policy`] to choose. A pick takes a few hundred nanoseconds, so a `Mutex`
//! around the fleet is held only briefly; [`Fleet::send`] picks and counts in one
//! step.
//!
//! What is known of a server comes from four sides: the configuration and the VM list
//! (`spec`), its load reports and the router's own requests (`load`), its errors
//! (`health`) and its times (`slowness`). Reading order: `spec`, `server`, `fleet`,
//! `policy`, then `expected`, the policy in use; those of `baseline` are there to be
//! compared with it. `retry` stands alone.

mod baseline;
mod expected;
mod fleet;
mod flow;
mod health;
mod load;
mod note;
mod policy;
mod rendezvous;
mod retry;
mod seen;
mod server;
mod slowness;
mod spec;
mod unmixed;
mod unread;

pub use baseline::{LeastReported, Random, RoundRobin, TwoChoices};
pub use expected::{ExpectedWait, ScorePolicy};
pub use fleet::{Fleet, Warmup};
pub use flow::Flow;
pub use health::{ErrorKind, Health, HealthPolicy};
pub use load::{Load, LoadReport};
pub use note::Note;
pub use policy::{Pick, Policy, Prompt, View};
pub use rendezvous::Rendezvous;
pub use retry::RetryBudget;
pub use server::{Sent, Server, ServerIdx, ServerView};
pub use spec::{FleetPolicy, ListedVm, ServerSpec};
pub use unmixed::Unmixed;
