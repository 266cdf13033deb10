//! The core of a router: finds the route, the quota and the backend server of each request, and
//! relays the response to the caller.
//!
//! [`serve`] handles a request: `service` reads it and finds its route and workspace, `exchange`
//! and `attempt` send it to one backend server after the other as [`outcome`] allows, and `relay`
//! passes the response on. [`quota`] keeps a workspace from spending more than it prepaid,
//! [`fleet`] tracks the backend servers, and [`watch`] follows the configuration and the servers'
//! entries in the store.
//!
//! Deployments implement the traits [`Dialect`], [`Store`] and [`Catalog`]. The decisions
//! (`outcome`, `quota::account`, `model`, `sse`) do no I/O.

pub mod admission;
pub mod catalog;
pub mod clock;
pub mod dialect;
pub mod domains;
pub mod eligibility;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod ingress;
pub mod limits;
pub mod metrics;
pub mod model;
mod node;
pub mod origins;
pub mod outcome;
pub mod paths;
pub mod peer_clocks;
mod peer_handler;
pub mod peers;
pub mod quarantine;
pub mod quota;
mod ready;
pub mod rollout;
mod router;
pub mod serve;
mod server_updates;
mod settings;
pub mod sse;
mod stop;
pub mod store;
pub mod suspensions;
pub mod traffic;
pub mod upstream;
pub mod watch;

pub use catalog::Catalog;
pub use dialect::Dialect;
pub use node::Node;
pub use router::{Adapter, Router, run};
pub use settings::{RetryLimits, RouterSettings};
pub use store::Store;
