//! Stand-in for the platform's append-only log.

mod server;
mod state;

pub use server::{LogFault, main};
pub use state::{ReadResult, Streams};
