//! Support for the test suite: process control and the history checker.
//!
//! [`fleet::Plan`] starts the stand-ins and the daemons as real processes on
//! loopback; [`caller::Caller`] speaks to the routers as callers do;
//! [`recorder::Recorder`] keeps what they were told; [`checker::check`] compares
//! that with what ran and with what the log charged.

pub mod caller;
pub mod checker;
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
pub mod versions;
