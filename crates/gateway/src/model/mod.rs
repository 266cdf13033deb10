//! The configuration in force, as the router core uses it.
//!
//! A [`Config`] is built once by the adapter and never changed; requests read it
//! without a lock. `route` holds what a route allows, `table` finds a request's route.

mod config;
mod route;
mod table;

pub use config::{Config, PoolSpec, RequestLimits, Workspace};
pub use route::{Replay, Route, RouteKind, Target};
pub use table::RouteTable;
