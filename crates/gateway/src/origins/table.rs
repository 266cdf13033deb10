//! The versions that began streams, by the ids of their requests.

use std::collections::{HashMap, VecDeque};

use swiftlink_types::{PoolName, VersionName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Maximum number of streams that a router knows.
const MAX_STREAMS: usize = 65_536;
/// Maximum number of streams of one workspace, so that none displaces those of others.
const MAX_OF_WORKSPACE: usize = 16_384;

/// Identifies a stream. Ids are chosen by callers and may be of any length, so their hash stands for
/// them; only the streams of one workspace can be taken for each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct StreamKey {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Hash of the id of the request that began the stream.
    pub id: u128,
}

impl StreamKey {
    /// The key of the stream that the request `id` of a workspace began.
    #[must_use]
    pub fn new(workspace: &str, id: &[u8]) -> Self {
        Self {
            workspace: xxh3_64(workspace.as_bytes()),
            id: xxh3_128(id),
        }
    }
}

/// What began a stream. Times are in milliseconds of the VM's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Pool whose server wrote the first event.
    pub pool: PoolName,
    /// Version of the server's software.
    pub version: VersionName,
    /// When the first event was delivered.
    pub begun: u64,
    /// Until when the caller may resume the stream.
    pub expires: u64,
}

/// What is known of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Its origin.
    Known(Origin),
    /// Streams of two origins have the same key.
    Ambiguous,
    /// Nothing.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    origin: Origin,
    is_ambiguous: bool,
}

/// The streams of one workspace, and their keys in the order in which they were added.
#[derive(Debug, Default)]
struct Streams {
    entries: HashMap<u128, Entry>,
    order: VecDeque<u128>,
}

impl Streams {
    fn remove_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.entries.remove(&id);
        }
    }

    fn remove_expired(&mut self, now: u64) {
        while let Some(id) = self.order.front() {
            let entry = self.entries.get(id);
            if entry.is_some_and(|entry| entry.origin.expires > now) {
                return;
            }
            self.remove_oldest();
        }
    }
}

/// The origins that a router knows. When there are too many, the oldest ones of the workspace with
/// the most streams are removed.
#[derive(Debug, Default)]
pub struct OriginTable {
    workspaces: HashMap<u64, Streams>,
    len: usize,
}

impl OriginTable {
    /// Adds the origin of a stream.
    pub fn insert(&mut self, key: StreamKey, origin: Origin, now: u64) {
        if origin.expires <= now {
            return;
        }
        let streams = self.workspaces.entry(key.workspace).or_default();
        let before = streams.order.len();
        streams.remove_expired(now);
        if let Some(entry) = streams.entries.get_mut(&key.id) {
            let known = &mut entry.origin;
            entry.is_ambiguous |= known.pool != origin.pool || known.version != origin.version;
            known.expires = known.expires.max(origin.expires);
        } else {
            if streams.order.len() >= MAX_OF_WORKSPACE {
                streams.remove_oldest();
            }
            let is_ambiguous = false;
            streams.entries.insert(
                key.id,
                Entry {
                    origin,
                    is_ambiguous,
                },
            );
            streams.order.push_back(key.id);
        }
        self.len = self.len + streams.order.len() - before;
        if self.len > MAX_STREAMS {
            self.shrink(now);
        }
    }

    /// What is known of a stream.
    #[must_use]
    pub fn get(&self, key: &StreamKey, now: u64) -> Knowledge {
        let streams = self.workspaces.get(&key.workspace);
        let entry = streams.and_then(|streams| streams.entries.get(&key.id));
        match entry.filter(|entry| entry.origin.expires > now) {
            None => Knowledge::Unknown,
            Some(entry) if entry.is_ambiguous => Knowledge::Ambiguous,
            Some(entry) => Knowledge::Known(entry.origin.clone()),
        }
    }

    /// All origins that are known for sure.
    pub fn all(&self, now: u64) -> impl Iterator<Item = (StreamKey, &Origin)> {
        let workspaces = self.workspaces.iter();
        let all = workspaces.flat_map(|(workspace, streams)| {
            streams.entries.iter().map(|(id, entry)| {
                let workspace = *workspace;
                (StreamKey { workspace, id: *id }, entry)
            })
        });
        let valid = all.filter(move |(_, entry)| !entry.is_ambiguous && entry.origin.expires > now);
        valid.map(|(key, entry)| (key, &entry.origin))
    }

    /// Number of streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn shrink(&mut self, now: u64) {
        for streams in self.workspaces.values_mut() {
            streams.remove_expired(now);
        }
        self.workspaces
            .retain(|_, streams| !streams.order.is_empty());
        self.len = self.workspaces.values().map(|all| all.order.len()).sum();
        while self.len > MAX_STREAMS {
            let largest = self.workspaces.values_mut();
            let Some(largest) = largest.max_by_key(|streams| streams.order.len()) else {
                return;
            };
            largest.remove_oldest();
            self.len -= 1;
        }
    }
}
