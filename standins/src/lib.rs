//! Stand-ins for the platform's services, for tests and local trials.
//!
//! Each stand-in is a small binary over a module of this library: the append-only log, the
//! VM list, a streaming model engine, a plain service, and a TCP relay. All print
//! `listening=ADDR` once they serve. `PUT /_standin/fault` with a JSON object changes the
//! fault switches that it names; `GET /_standin/fault` returns all of them.

mod cli;
mod fault;
mod host;

pub mod engine;
pub mod log;
pub mod relay;
pub mod service;
pub mod vms;

pub use fault::{BaseFault, Switches};
