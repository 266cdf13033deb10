//! Stand-in for the platform's VM list, which lags behind.

mod server;
mod state;

pub use server::{VmsFault, main};
pub use state::{LaggedList, Vm, VmList, VmState};
