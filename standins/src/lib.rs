//! Small stand-ins for the platform, for tests and for trying things out.
//!
//! Each stand-in is one small binary over a module of this library: the
//! append-only log, the lagging VM list, a streaming model engine, a plain
//! service, and a TCP relay. All print `listening=ADDR` once they serve, and all
//! take `PUT /_standin/fault` with a JSON object that names the switches to
//! change; `GET /_standin/fault` shows the switches.

mod cli;
mod fault;
mod host;

pub mod engine;
pub mod log;
pub mod relay;
pub mod service;
pub mod vms;

pub use fault::{BaseFault, Switches};
