//! Stand-in for a plain service, which echoes calls and counts executions.

mod server;

pub use server::{ServiceFault, echo, main};
