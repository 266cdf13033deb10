//! The router daemon: admission, routing, streaming and charging of requests.
//!
//! A request passes through these modules in order:
//!
//! 1. [`admit`] checks its sender, class, pool and key.
//! 2. [`serve`] reserves quota from an [`account`], which [`claim`] refills. A
//!    request that must not run twice also needs an [`intent`].
//! 3. [`queue`] and [`dispatch`] send it to a backend server.
//! 4. [`model`] or [`service`] forwards the answer, and passes its charge to
//!    [`charge`] before the end of the answer is sent.
//!
//! [`relay`] forwards a request to a peer router when this one has no quota for it.

pub mod account;
pub mod admit;
pub mod answer;
pub mod auth;
pub mod call;
pub mod charge;
pub mod claim;
pub mod config;
pub mod dispatch;
pub mod dump;
pub mod engine;
pub mod fleet;
pub mod forward;
pub mod freshness;
pub mod health;
pub mod history;
pub mod intent;
pub mod keys;
pub mod ledgers;
pub mod members;
pub mod model;
pub mod node;
pub mod pass;
pub mod peers;
pub mod pings;
pub mod problem;
pub mod queue;
pub mod reader;
pub mod record;
pub mod relay;
pub mod repeat;
pub mod reply;
pub mod resume;
pub mod retirement;
pub mod router;
pub mod serve;
pub mod service;
pub mod settings;
pub mod settle_late;
pub mod sink;
pub mod stop;
pub mod surface;

pub mod vms;

pub use router::{Router, run};
pub use settings::Settings;
