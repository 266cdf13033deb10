//! The HTTP/1.1 server of all processes, built on xitca-web and its server.
//!
//! A [`WebServer`] runs worker threads with a single-threaded runtime each; the futures
//! of a [`Service`] run there and needn't be `Send`. tokio's timers, channels, sockets and
//! `tokio::spawn` work in them, but a task spawned on a worker ends with the server; a
//! task that must outlive it belongs on [`Shell::handle`](crate::Shell::handle).
//!
//! Each piece of a streamed body is sent as soon as it is ready. When the client closes
//! its connection or its sending half, the service's future or the response's stream is
//! dropped at once.

mod acceptor;
mod body;
mod bounded_stream;
mod connection;
mod connections;
mod gate;
mod incoming;
mod intake;
mod limits;
mod memory;
mod meter;
mod output;
mod progress;
mod request;
mod respond;
mod server;
mod service;

pub use body::Body;
pub use gate::Gate;
pub use incoming::{BodyError, Incoming};
pub use intake::{Intake, IntakeCounts};
pub use limits::{HEADER_BYTES, HEADER_FIELDS, Limits};
pub use memory::{BodyCounts, BodyMemory};
pub use meter::{Meter, MeteredBytes, head_bytes};
pub use respond::{json, problem, text};
pub use server::WebServer;
pub use service::{Response, Service, service};
