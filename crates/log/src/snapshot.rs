//! Snapshots of a folded state: cut into chunks, collected, checked.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use swiftlink_wire::log::SnapshotChunk;

/// Most bytes of state in one chunk, well below the record limit of a log.
pub const CHUNK_BYTES: usize = 256 * 1024;

/// Most snapshots that are collected at once; the oldest gives way.
pub const MAX_OPEN: usize = 8;

/// Cuts the encoded state after the record at `offset` into chunks.
///
/// There is at least one chunk, also for an empty state.
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

/// A whole snapshot whose hash was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the last record that the state holds.
    pub offset: u64,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// What a chunk led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Collected {
    /// More chunks are needed.
    Partial,
    /// The chunk was the last one missing and the hash is right.
    Whole(Snapshot),
    /// The chunk is senseless, or the whole does not match its hash.
    Broken,
}

/// Collects the chunks of snapshots, which may come interleaved and repeated.
#[derive(Debug, Default)]
pub struct Collector {
    open: BTreeMap<SnapshotId, BTreeMap<u32, Vec<u8>>>,
}

/// Chunks with the same id belong to the same snapshot. Ordered by offset first.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotId {
    offset: u64,
    count: u32,
    hash: Vec<u8>,
}

impl Collector {
    /// A collector without chunks.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one chunk.
    pub fn add(&mut self, chunk: SnapshotChunk) -> Collected {
        let sized = chunk.hash.len() == <Sha256 as Digest>::output_size();
        if chunk.index >= chunk.count || !sized {
            return Collected::Broken;
        }

        let id = SnapshotId {
            offset: chunk.offset,
            count: chunk.count,
            hash: chunk.hash,
        };
        let parts = self.open.entry(id.clone()).or_default();
        parts.insert(chunk.index, chunk.data);

        if parts.len() < id.count as usize {
            self.evict();
            return Collected::Partial;
        }
        self.finish(&id)
    }

    /// Forgets the chunks of snapshots at or before `offset`.
    pub fn forget(&mut self, offset: u64) {
        self.open.retain(|id, _parts| id.offset > offset);
    }

    fn finish(&mut self, id: &SnapshotId) -> Collected {
        let parts = self.open.remove(id).unwrap_or_default();
        let mut state = Vec::new();
        for part in parts.values() {
            state.extend_from_slice(part);
        }

        if digest(&state) != id.hash {
            return Collected::Broken;
        }
        Collected::Whole(Snapshot {
            offset: id.offset,
            state,
        })
    }

    fn evict(&mut self) {
        while self.open.len() > MAX_OPEN {
            self.open.pop_first();
        }
    }
}

fn digest(state: &[u8]) -> Vec<u8> {
    Sha256::digest(state).to_vec()
}
