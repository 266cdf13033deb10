//! Support for the test suite: process control and the history checker.
//!
//! [`fleet::Plan`] starts the stand-ins and the daemons as real processes on loopback;
//! [`caller::Caller`] sends requests to the routers; [`recorder::Recorder`] records the
//! results; [`checker::check`] compares them with the runs on the backend servers and the
//! charges on the log.

pub mod caller;
pub mod checker;
pub mod crowd;
pub mod fleet;
pub mod http;
pub mod port;
pub mod process;
pub mod recorder;
pub mod records;
pub mod rounds;
pub mod spare;
pub mod traffic;
pub mod until;
pub mod usage;
pub mod versions;
