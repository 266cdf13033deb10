//! The active configuration in the form that the router core uses.
//!
//! The adapter builds a [`Config`] once and it is immutable afterwards, so requests read it without
//! a lock. `route` holds what a route allows, `table` looks up the route of a request.

mod config;
mod route;
mod table;

pub use config::{Config, PoolSpec, RequestLimits, UnknownKey, Workspace};
pub use route::{Replay, Route, RouteKind, Target};
pub use table::RouteTable;
