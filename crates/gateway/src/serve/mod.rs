//! Handling of callers' requests.
//!
//! `service` reads a request, finds its route and workspace and reserves its quota; `attempt`
//! sends it to one server; `exchange` repeats attempts as their outcomes allow; `relay` passes
//! streams and long responses to the caller, `buffer` short ones, and `body_end` checks where a
//! response may have broken off; `resume` finds the version at which a stream goes on that its
//! caller resumes; `refusal` makes the responses of the router itself.

mod admit;
mod attempt;
mod attempts;
mod body_end;
mod buffer;
mod exchange;
mod refusal;
mod relay;
mod resume;
mod service;

pub use service::CallerService;
