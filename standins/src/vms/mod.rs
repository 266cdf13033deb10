//! Stand-in for the platform's lagging list of VMs.

mod server;
mod state;

pub use server::{VmsFault, main};
pub use state::{Lagging, Vm, VmList, VmState};
