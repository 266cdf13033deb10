//! Traffic over the VM's network link.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use swiftlink_shell::web::MeteredBytes;
pub use swiftlink_shell::web::head_bytes;

/// Bytes that callers and backend servers exchange with the router.
///
/// The router's own calls to the store and to other routers aren't included: callers who go
/// elsewhere don't reduce them.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Whether so much of the link is in use that answers of other routers may be late.
    pub is_busy: AtomicBool,
    inward: AtomicU64,
    outward: AtomicU64,
}

impl Traffic {
    /// Counts bytes of a request sent to a backend server.
    pub fn sent(&self, bytes: usize) {
        self.outward.fetch_add(bytes as u64, Relaxed);
    }

    /// Counts bytes of an answer received from a backend server.
    pub fn received(&self, bytes: usize) {
        self.inward.fetch_add(bytes as u64, Relaxed);
    }

    /// Returns the count of the busier direction since the last call, where callers have exchanged
    /// `callers` with the router.
    pub fn take(&self, callers: MeteredBytes) -> u64 {
        let inward = callers.received + self.inward.swap(0, Relaxed);
        let outward = callers.sent + self.outward.swap(0, Relaxed);
        inward.max(outward)
    }
}
