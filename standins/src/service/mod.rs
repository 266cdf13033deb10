//! Stand-in for a plain service: it echoes calls and counts executions.

mod server;

pub use server::{ServiceFault, echo, main};
