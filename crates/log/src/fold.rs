//! What a replica needs to know of the state that a stream's records fold to.

use swiftlink_wire::log::SnapshotChunk;

/// A deterministic state machine over the records of one stream.
///
/// Equal records at equal offsets give equal states and fates on every process.
pub trait Fold: Sized + Send + 'static {
    /// What became of one record.
    type Fate: Send;

    /// The state before the first record.
    fn empty() -> Self;

    /// Folds the record at `offset`; a snapshot chunk or a malformed record
    /// changes nothing.
    fn apply(&mut self, offset: u64, data: &[u8]) -> Step<Self::Fate>;

    /// Encodes the whole state for a snapshot.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a state that [`Fold::encode`] wrote.
    ///
    /// # Errors
    /// When the bytes are no encoded state.
    fn decode(data: &[u8]) -> anyhow::Result<Self>;

    /// The snapshot chunk that a record carries, if it is one.
    ///
    /// A replica that has no state yet asks this of every record. Override it
    /// where a look at the record is cheaper than folding it.
    #[must_use]
    fn chunk(offset: u64, data: &[u8]) -> Option<SnapshotChunk> {
        match Self::empty().apply(offset, data) {
            Step::Snapshot(chunk) => Some(chunk),
            Step::Fate(_) | Step::Malformed => None,
        }
    }
}

/// Result of folding one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step<F> {
    /// The record was decided.
    Fate(F),
    /// The record is a snapshot chunk, which stands alone in its record.
    Snapshot(SnapshotChunk),
    /// The record can't be read; every replica passes over it alike.
    Malformed,
}
