//! Decision on a batch of records.

use std::sync::Arc;

use swiftlink_wire::log as wire;

/// Fates of the records of one batch.
///
/// A repeated append of a batch has the same writer, epoch and number, and is
/// decided like any other batch.
#[derive(Clone, PartialEq, Debug)]
pub struct BatchFate {
    /// Ledger that wrote the batch.
    pub writer: Arc<str>,
    /// Start time of the writer (µs since 1970).
    pub epoch: u64,
    /// Sequence number that the writer gave the batch.
    pub seq: u64,
    /// One fate per record, in the order of the records.
    pub fates: Vec<wire::Fate>,
}
