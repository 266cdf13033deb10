//! Counts the bytes of requests and responses.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use http::HeaderMap;

/// Bytes of a header line besides its name and value: a colon, a space and the line's end.
const LINE_OVERHEAD: usize = 4;

/// Bytes of requests and responses since the start of a server.
///
/// Counts what is read and written, whatever becomes of it: also requests that are refused, bodies
/// that end early or are discarded, and responses of the server's own. Request lines and status
/// lines, the framing of bodies and the headers of packets aren't included.
#[derive(Debug, Default)]
pub struct Meter {
    received: AtomicU64,
    sent: AtomicU64,
}

/// Bytes that a [`Meter`] has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeteredBytes {
    /// Received from clients.
    pub received: u64,
    /// Sent to clients.
    pub sent: u64,
}

impl MeteredBytes {
    /// The bytes since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            received: self.received - earlier.received,
            sent: self.sent - earlier.sent,
        }
    }
}

impl Meter {
    /// Bytes since the start.
    #[must_use]
    pub fn total(&self) -> MeteredBytes {
        MeteredBytes {
            received: self.received.load(Relaxed),
            sent: self.sent.load(Relaxed),
        }
    }

    pub(super) fn on_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn on_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Relaxed);
    }
}

/// Bytes of an HTTP head's header lines.
#[must_use]
pub fn head_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    lines.sum()
}
