//! A TCP forwarder that tests cut and freeze.

mod forward;
mod server;

pub use forward::{Relay, RelayFault};
pub use server::main;
