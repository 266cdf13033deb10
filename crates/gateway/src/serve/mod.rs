//! The way of a request.
//!
//! `surface` reads the request, finds route, workspace and rights; `attempt` sends it
//! to one server; `journey` sends it on as the outcome allows; `relay` hands the answer
//! to the caller; `refuse` makes the answers that the router gives by itself.

mod attempt;
mod journey;
mod refuse;
mod relay;
mod surface;

pub use surface::Surface;
