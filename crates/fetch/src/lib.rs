//! HTTP calls with a time limit and a bound on answers.
//!
//! For calls that aren't on the path of a request: the platform's VM list, the admin
//! addresses of other processes, the operator interface. Read [`Http`] first: it makes
//! a [`Call`] and gives the whole [`Answer`]. [`Http::json`] decodes a document, and
//! [`VmList::read`] uses it for the VM list, the one answer that two daemons read.

mod client;
mod json;
mod vms;

pub use client::{Answer, Call, Http, HttpError, error_chain};
pub use json::{JsonError, Limits};
pub use vms::{Vm, VmList, VmState};
