//! Drivers that measure the decisions and the real processes.
//!
//! Each decision has a small driver of its own: demand and faults go in, virtual time
//! is passed in, outcomes are counted. Nothing here models more of the network, the
//! processes or the engines than the decision under test reads. Equal seeds give
//! equal rows, but for what [`cost`] measures on the machine.

pub mod agenda;
pub mod cost;
pub mod draw;
pub mod grants;
pub mod limits;
pub mod path;
pub mod routing;
pub mod row;
mod run;
pub mod table;

pub use run::run;
