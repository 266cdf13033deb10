//! Client of the platform's log, and the replica of a stream's state.
//!
//! [`Log`] is the interface of the log service: [`HttpLog`] implements it over HTTP and
//! [`MemLog`] in memory, for tests and benchmarks. [`Replica`] turns the records of one
//! stream into a state without doing I/O: it drops duplicates, detects gaps, and starts
//! from a [`snapshot`] when the log has trimmed the oldest records. [`Backoff`] computes
//! the delays between retries.
//!
//! A process reads pages from a [`Log`] and feeds them to a [`Replica`]. The replica
//! applies each record to a [`Fold`], the state machine of the stream, and returns the
//! record's outcome, its fate. Reading order: `service`, `fold`, `replica` with `buffer`
//! and `snapshot`, then `http`.

mod backoff;
mod buffer;
mod fold;
mod http;
mod mem;
mod replica;
mod service;
pub mod snapshot;

pub use backoff::Backoff;
pub use fold::{Fold, Step};
pub use http::HttpLog;
pub use mem::{Fault, MemLog};
pub use replica::{Replica, ReplicaError, ReplicaStats};
pub use service::{Log, LogError};
