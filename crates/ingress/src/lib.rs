//! Decides what a router lets in over its network link.
//!
//! The load balancer sends all callers of one workspace in a failure domain to one router while that
//! is ready. On small VMs they can send more than its link carries, while the links of the other
//! routers are idle. Nothing here does I/O: traffic, time and the reports of other routers are
//! arguments.
//!
//! * [`Availability`] decides from all of the below whether new connections are taken and whether the
//!   router reports that it is ready.
//! * [`Headroom`] says from the recent traffic whether the link is full or overloaded.
//! * [`Readiness`] says whether the router takes new callers, so that a busy workspace is served by
//!   several routers of the failure domain, one after the other.
//! * [`DomainView`] is what the router knows of the others in its failure domain.

mod availability;
mod domain;
mod headroom;
mod readiness;

pub use availability::{Availability, Sample};
pub use domain::{DomainView, RouterLoad};
pub use headroom::{Headroom, SAMPLE};
pub use readiness::Readiness;
