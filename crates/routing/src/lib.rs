//! Selection of a backend server, load tracking and retry budget.
//!
//! This crate does no I/O: time, randomness and observations of the servers are arguments. A
//! [`Fleet`] holds what one router knows of one pool's servers and asks a [`Policy`] to choose. A
//! pick takes a few hundred nanoseconds, so a `Mutex` around the fleet is held only briefly;
//! [`Fleet::send`] picks a server and counts the request in one step.
//!
//! A server's state comes from four sources: the configuration and the VM list (`spec`), its load
//! reports and the router's own requests (`load`), its errors (`health`) and its latencies
//! (`slowness`, `timing`). All routers together estimate how servers differ in speed (`speed`,
//! `speed_table`). Suggested reading order: `spec`, `server`, `fleet`, `policy`, then the
//! policies `expected` and `prefill_isolation`; those of `baseline` serve for comparison. `retry`
//! is independent of the rest.

mod backlog;
mod baseline;
mod expected;
mod fleet;
mod health;
mod load;
mod policy;
mod prefill_isolation;
mod recent;
mod rendezvous;
mod retry;
mod server;
mod slowness;
mod spec;
mod speed;
mod speed_table;
mod timing;
mod update;

pub use baseline::{LeastReported, Random, RoundRobin, TwoChoices};
pub use expected::{ExpectedWait, ScorePolicy};
pub use fleet::{Fleet, SpeedSummary, Warmup};
pub use health::{ErrorKind, Health, HealthPolicy};
pub use load::{Load, LoadReport};
pub use policy::{PickArgs, Policy, Prompt, View};
pub use prefill_isolation::PrefillIsolation;
pub use rendezvous::Rendezvous;
pub use retry::RetryBudget;
pub use server::{Dispatch, Server, ServerIdx, ServerView};
pub use spec::{FleetPolicy, ListedVm, ServerSpec};
pub use speed_table::{ServerSample, ServerSpeed, SpeedTable};
pub use timing::StreamGaps;
pub use update::ServerUpdate;
