//! The router core: how a request finds its route, its rights and its backend server,
//! and what of the answer reaches the caller.
//!
//! The way of a request is in [`serve`]: `surface` reads it and finds its route and
//! workspace, `attempt` sends it to one backend server after the other as
//! [`proof`] allows, and `relay` hands the answer on. [`rights`] keeps a workspace
//! from spending more than it prepaid, [`fleet`] knows the backend servers, and
//! [`watch`] follows the configuration and the servers' entries on the store.
//!
//! What differs between deployments stands behind traits: [`Dialect`], [`Store`] and
//! [`Catalog`]. Decisions (`proof`, `headroom`, `rights::account`, `model`, `sse`) do no I/O.

mod answer;
pub mod catalog;
pub mod clock;
pub mod dialect;
pub mod domains;
pub mod fingerprint;
pub mod fleet;
pub mod freshness;
pub mod headroom;
pub mod metrics;
pub mod model;
mod node;
mod notes;
pub mod peer_clocks;
pub mod peers;
pub mod proof;
pub mod quarantine;
mod ready;
pub mod rights;
pub mod rollout;
mod router;
pub mod serve;
mod settings;
pub mod sse;
pub mod standing;
mod stop;
pub mod store;
pub mod upstream;
pub mod watch;

pub use catalog::Catalog;
pub use dialect::Dialect;
pub use node::Node;
pub use router::{Adapter, Router, run};
pub use settings::{RetryTerms, RouterSettings};
pub use store::Store;
