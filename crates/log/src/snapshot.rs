//! Snapshots of a state: split into chunks, reassembled and verified.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use swiftlink_wire::log::SnapshotChunk;

/// Maximum number of bytes of state in one chunk, well below a log's record limit.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// Maximum number of snapshots collected at once; the oldest is evicted.
pub const MAX_PARTIAL: usize = 8;

/// Splits the encoded state after the record at `offset` into chunks.
///
/// Returns at least one chunk, even for an empty state.
#[must_use]
pub fn split(offset: u64, state: &[u8]) -> Vec<SnapshotChunk> {
    let hash = digest(state);
    let count = state.len().div_ceil(CHUNK_BYTES).max(1);
    let count = u32::try_from(count).expect("a state in memory is far below 2^32 chunks");

    let mut chunks = Vec::new();
    for index in 0..count {
        let start = index as usize * CHUNK_BYTES;
        let end = state.len().min(start + CHUNK_BYTES);
        chunks.push(SnapshotChunk {
            offset,
            index,
            count,
            hash: hash.clone(),
            data: state[start..end].to_vec(),
        });
    }
    chunks
}

/// A complete snapshot whose hash was verified.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the last record applied to the state.
    pub offset: u64,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// Result of adding a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Collected {
    /// More chunks are needed.
    Partial,
    /// The chunk was the last one missing, and the hash matches.
    Complete(Snapshot),
    /// The chunk is inconsistent, or the complete state does not match its hash.
    Invalid,
}

/// Collects the chunks of snapshots, which may arrive interleaved and repeated.
#[derive(Debug, Default)]
pub struct Collector {
    partial: BTreeMap<SnapshotId, BTreeMap<u32, Vec<u8>>>,
}

/// Identifies the snapshot that a chunk belongs to. Ordered by offset first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotId {
    offset: u64,
    count: u32,
    hash: Vec<u8>,
}

impl Collector {
    /// Creates a collector without chunks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one chunk.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Collected {
        let has_hash_len = chunk.hash.len() == <Sha256 as Digest>::output_size();
        if chunk.index >= chunk.count || !has_hash_len {
            return Collected::Invalid;
        }

        let id = SnapshotId {
            offset: chunk.offset,
            count: chunk.count,
            hash: chunk.hash,
        };
        let chunks = self.partial.entry(id.clone()).or_default();
        chunks.insert(chunk.index, chunk.data);

        if chunks.len() < id.count as usize {
            self.evict();
            return Collected::Partial;
        }
        self.finish(&id)
    }

    /// Drops the chunks of snapshots at or before `offset`.
    pub fn forget(&mut self, offset: u64) {
        self.partial.retain(|id, _parts| id.offset > offset);
    }

    fn finish(&mut self, id: &SnapshotId) -> Collected {
        let chunks = self.partial.remove(id).unwrap_or_default();
        let mut state = Vec::new();
        for chunk in chunks.values() {
            state.extend_from_slice(chunk);
        }

        if digest(&state) != id.hash {
            return Collected::Invalid;
        }
        Collected::Complete(Snapshot {
            offset: id.offset,
            state,
        })
    }

    fn evict(&mut self) {
        while self.partial.len() > MAX_PARTIAL {
            self.partial.pop_first();
        }
    }
}

fn digest(state: &[u8]) -> Vec<u8> {
    Sha256::digest(state).to_vec()
}
