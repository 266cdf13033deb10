//! Benchmark drivers for the fleet's decisions and for its real processes.
//!
//! Each decision has its own driver, which takes demand and faults, advances virtual
//! time and counts the outcomes. The models of the network, the processes and the
//! engines cover only the inputs of the decision under test. Equal seeds give
//! equal rows, except for what [`cost`] measures on the machine.

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
