//! The router daemon: admission, routing, streaming and charging of requests.
//!
//! A request goes through [`admit`] (sender, class, pool, key), [`serve`] (rights,
//! see [`account`] and [`claim`]; [`intent`] when it must not run twice), the
//! [`queue`] and [`dispatch`] to a backend server, and [`model`] or [`service`],
//! which pass the answer on and hand its charge to [`charge`] before its end is
//! released. [`relay`] takes it to a peer router when there are no rights here.

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
