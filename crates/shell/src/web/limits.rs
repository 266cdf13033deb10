//! Limits of a server.

use std::time::Duration;

/// Largest head of a request (request line and headers), in bytes. Larger heads get 431.
pub const HEADER_BYTES: usize = 32 * 1024;
/// Maximum number of header fields of a request. More get 431.
pub const HEADER_FIELDS: usize = 64;

/// Configurable limits of a server.
///
/// The timeouts `idle` and `head` are accurate to half a second.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Number of worker threads; each serves its share of the connections.
    pub workers: usize,
    /// Maximum number of open connections. Further ones get 503 and are closed; a flood of
    /// them is closed without a response.
    pub connections: usize,
    /// How long a connection may be idle between requests.
    pub idle: Duration,
    /// How long the head of a request may take from its first byte.
    pub head: Duration,
    /// How long the body of a request may take once the service asks for it.
    pub body: Duration,
    /// Memory in bytes for the bodies of all requests, from their arrival until they are dropped. A
    /// body that doesn't fit gets 503, unless it is the only one.
    pub body_memory: usize,
    /// Bytes that each client may have sent and the server hasn't read, which the kernel holds. It bounds
    /// what a client sends per round trip.
    pub receive_buffer: usize,
    /// How far a client may be behind in sending a request, at a least rate of 1,000 bytes a second, before
    /// others that wait may have its connection or its memory.
    pub grace: Duration,
    /// How long a client may accept no data, or not answer keep-alive probes, before its
    /// connection is closed.
    pub stall: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            workers: 2,
            connections: 4_096,
            idle: Duration::from_secs(60),
            head: Duration::from_secs(5),
            body: Duration::from_secs(30),
            receive_buffer: 64 * 1024,
            grace: Duration::from_secs(2),
            body_memory: 64 * 1024 * 1024,
            stall: Duration::from_secs(30),
        }
    }
}
