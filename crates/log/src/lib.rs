//! Client of the platform's log, and the replica that folds a stream of it.
//!
//! [`Log`] is the border to the log service: [`HttpLog`] speaks its HTTP
//! interface and [`MemLog`] keeps streams in memory for tests and benches.
//! [`Replica`] decides without I/O how the records of one stream become a state:
//! it drops duplicates, sees gaps, and starts from a [`snapshot`] when the log no
//! longer keeps the oldest records. [`Backoff`] spaces out retries.
//!
//! A process reads pages from a [`Log`] and feeds them to a [`Replica`], which applies
//! each record to a [`Fold`], the state that the stream stands for; what became of the
//! record comes back as the fold's fate. Reading order: `service`, `fold`, `replica`
//! with `buffer` and `snapshot`, then `http`.

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
