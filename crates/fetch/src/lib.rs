//! HTTP calls with a time limit and a maximum response size.
//!
//! For calls outside the request path: the platform's VM list, the admin addresses of other
//! processes, the operator interface. [`Http`] makes a [`Call`] and returns the complete
//! [`Answer`]. [`Http::get_json`] also decodes a JSON document. [`VmList::read`] fetches the VM
//! list and is here because two daemons read it.

mod client;
mod interim;
mod json;
mod socket;
mod vms;

pub use client::{Answer, Arrival, Call, Http, HttpError, Pace, error_chain};
pub use json::{JsonError, Limits};
pub use socket::{KEEPALIVE_INTERVAL, KEEPALIVE_TIME, UNACKED_TIMEOUT, connector, set_timeouts};
pub use vms::{Vm, VmList, VmState};
