//! Handling of callers' requests.
//!
//! `service` reads a request, finds its route and workspace and reserves its quota; `attempt`
//! sends it to one server; `exchange` repeats attempts as their outcomes allow; `relay` passes
//! the response to the caller; `refusal` makes the responses of the router itself.

mod admit;
mod attempt;
mod attempts;
mod exchange;
mod refusal;
mod relay;
mod service;

pub use service::CallerService;
