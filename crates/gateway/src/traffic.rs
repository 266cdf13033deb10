//! Traffic over the VM's network link.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

pub use swiftlink_shell::web::head_bytes;

/// Bytes received and sent since the last sample.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Whether so much of the link is in use that answers of other routers may be late.
    pub is_busy: AtomicBool,
    inward: AtomicU64,
    outward: AtomicU64,
}

impl Traffic {
    /// Counts bytes of a request received from a caller.
    pub fn received(&self, bytes: usize) {
        self.inward.fetch_add(bytes as u64, Relaxed);
    }

    /// Counts bytes of a request sent to a backend server.
    pub fn sent(&self, bytes: usize) {
        self.outward.fetch_add(bytes as u64, Relaxed);
    }

    /// Counts bytes of an answer received from a backend server and sent to a caller.
    pub fn relayed(&self, bytes: usize) {
        self.inward.fetch_add(bytes as u64, Relaxed);
        self.outward.fetch_add(bytes as u64, Relaxed);
    }

    /// Returns the count of the busier direction, and resets both.
    pub fn take(&self) -> u64 {
        let inward = self.inward.swap(0, Relaxed);
        inward.max(self.outward.swap(0, Relaxed))
    }
}
