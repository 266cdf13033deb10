//! The state machine that a replica runs over the records of a stream.

use swiftlink_wire::log::SnapshotChunk;

/// A deterministic state machine over the records of one stream.
///
/// The same records at the same offsets give the same states and fates in every process.
pub trait Fold: Sized + Send + 'static {
    /// Outcome of one record.
    type Fate: Send;

    /// The state before the first record.
    fn empty() -> Self;

    /// Applies the record at `offset`. A snapshot chunk or a malformed record does not
    /// change the state.
    fn apply(&mut self, offset: u64, data: &[u8]) -> Step<Self::Fate>;

    /// Encodes the state for a snapshot.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a state that [`Fold::encode`] wrote.
    ///
    /// # Errors
    /// When the bytes do not decode as a state.
    fn decode(data: &[u8]) -> anyhow::Result<Self>;

    /// Returns the snapshot chunk in a record, if the record is one.
    ///
    /// A replica that is waiting for a snapshot calls this for every record. Override it
    /// if detecting a chunk is cheaper than applying the record to an empty state.
    #[must_use]
    fn chunk(offset: u64, data: &[u8]) -> Option<SnapshotChunk> {
        match Self::empty().apply(offset, data) {
            Step::Snapshot(chunk) => Some(chunk),
            Step::Fate(_) | Step::Malformed => None,
        }
    }
}

/// Result of applying one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<F> {
    /// The record was applied or rejected, with this outcome.
    Fate(F),
    /// The record consists of a snapshot chunk only.
    Snapshot(SnapshotChunk),
    /// The record can't be decoded; every replica skips it.
    Malformed,
}
