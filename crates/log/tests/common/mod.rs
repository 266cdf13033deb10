//! A small fold for the tests: a hash of the list of values.

use swiftlink_log::{Fold, Step};
use swiftlink_wire::log::{LogRecord, SnapshotChunk};

use prost::Message;
use sha2::{Digest, Sha256};

const VALUE: u8 = b'v';
const CHUNK: u8 = b'c';

/// Bytes of state in one chunk, small so that a snapshot has several chunks.
const CHUNK_LEN: usize = 24;

/// A hash of a list of values that depends on their order and offsets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListHash {
    count: u64,
    mix: u64,
}

impl ListHash {
    /// Splits a state as `snapshot::split` does, but into smaller chunks.
    pub fn split(offset: u64, state: &[u8]) -> Vec<SnapshotChunk> {
        let parts: Vec<&[u8]> = state.chunks(CHUNK_LEN).collect();
        let mut chunks = Vec::new();
        for (index, part) in parts.iter().enumerate() {
            chunks.push(SnapshotChunk {
                offset,
                index: index as u32,
                count: parts.len() as u32,
                hash: Sha256::digest(state).to_vec(),
                data: part.to_vec(),
            });
        }
        chunks
    }

    /// Whether the data of a record is a value.
    pub fn is_value(data: &[u8]) -> bool {
        data.first() == Some(&VALUE)
    }
}

impl Fold for ListHash {
    type Fate = u64;

    fn empty() -> Self {
        Self { count: 0, mix: 0 }
    }

    fn apply(&mut self, offset: u64, data: &[u8]) -> Step<u64> {
        match data.split_first() {
            Some((&VALUE, rest)) => {
                let value: [u8; 8] = rest.try_into().expect("values have 8 bytes");
                let value = u64::from_be_bytes(value);
                self.count += 1;
                self.mix = self.mix.wrapping_mul(31).wrapping_add(value ^ offset);
                Step::Fate(value)
            }
            Some((&CHUNK, rest)) => {
                Step::Snapshot(SnapshotChunk::decode(rest).expect("chunks decode"))
            }
            _ => Step::Malformed,
        }
    }

    fn encode(&self) -> Vec<u8> {
        // Padded, so that it takes several chunks.
        format!("{:040}{:040}", self.count, self.mix).into_bytes()
    }

    fn decode(data: &[u8]) -> anyhow::Result<Self> {
        let text = std::str::from_utf8(data)?;
        anyhow::ensure!(text.len() == 80, "a state has 80 digits");
        Ok(Self {
            count: text[..40].parse()?,
            mix: text[40..].parse()?,
        })
    }
}

pub fn record(offset: u64, data: &[u8]) -> LogRecord {
    LogRecord {
        offset,
        data: data.to_vec(),
    }
}

pub fn value_record(offset: u64, value: u64) -> LogRecord {
    let mut data = vec![VALUE];
    data.extend_from_slice(&value.to_be_bytes());
    record(offset, &data)
}

pub fn chunk_record(offset: u64, chunk: SnapshotChunk) -> LogRecord {
    let mut data = vec![CHUNK];
    data.extend_from_slice(&chunk.encode_to_vec());
    record(offset, &data)
}
