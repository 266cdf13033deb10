//! What became of a batch.

use std::sync::Arc;

use swiftlink_wire::log as wire;

/// Fates of the records of one batch. A second copy of a batch has the same
/// writer, epoch and number, and is decided like any other.
#[derive(Clone, PartialEq, Debug)]
pub struct BatchFate {
    /// Ledger that wrote the batch.
    pub writer: Arc<str>,
    /// Start time of the writer (µs since 1970).
    pub epoch: u64,
    /// Number that the writer gave the batch.
    pub seq: u64,
    /// One per record, in order.
    pub fates: Vec<wire::Fate>,
}
