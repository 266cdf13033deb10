//! A TCP relay that tests can cut and freeze.

mod forward;
mod server;

pub use forward::{Relay, RelayFault};
pub use server::main;
