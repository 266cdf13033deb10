//! Decides what a router lets in over its network link.
//!
//! The load balancer sends all callers of one workspace in a failure domain to one router while that
//! is ready. On small VMs they can send more than its link carries, while the links of the other
//! routers are idle. Nothing here does I/O: traffic, time and the reports of other routers are
//! arguments.
//!
//! * [`Headroom`] says from the recent traffic whether the link is full or overloaded.
//! * [`Readiness`] says whether the router takes new callers, so that a busy workspace is served by
//!   several routers of the failure domain, one after the other.
//! * [`DomainView`] is what the router knows of the others in its failure domain.

mod domain;
mod headroom;
mod readiness;

pub use domain::{DomainView, RouterLoad};
pub use headroom::{Headroom, SAMPLE};
pub use readiness::Readiness;
