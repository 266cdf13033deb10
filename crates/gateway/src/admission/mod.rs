//! Admission of requests to pools that are overloaded.
//!
//! The decisions are made in `swiftlink-admission`. [`PoolAdmission`] holds the state of one pool
//! and lets requests wait, `reporter` sends what this router has seen to the routers that aggregate
//! it, and `Aggregates` holds the reports at those. It is off unless the setting
//! `admission` is on, for pools without streaming routes and for pools whose servers don't report
//! their load.

mod aggregates;
mod codec;
mod pool;
mod reporter;
mod targets;
#[cfg(test)]
mod tests;

pub(crate) use aggregates::Aggregates;
pub(crate) use codec::{decode_report, encode_summary};
pub(crate) use pool::SentRequest;
pub use pool::{AdmissionRequest, Overloaded, PoolAdmission};
pub(crate) use reporter::run;
pub(crate) use targets::targets;
