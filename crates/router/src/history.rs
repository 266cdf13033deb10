//! History of the request keys that this router has dispatched.
//!
//! A key whose answer was complete and charged is not run again: its answer is repeated
//! from the stream that the engine retains. The history is bounded and evicts the oldest keys
//! first. A key that was evicted, or that another router ran, runs here at most once more:
//! the log then voids its charge, and the key is recorded as charged.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_types::{RequestKey, ServerName, Tokens, WallMs, WorkspaceName};

use crate::call::Original;
use crate::keys::KeyUse;

/// Number of shards, each with its own lock.
const SHARDS: usize = 16;

type Id = (WorkspaceName, RequestKey);

/// A run whose answer was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedRun {
    /// The backend server that ran it.
    pub server: Option<ServerName>,
    /// The engine's id of the stream, if it has one.
    pub stream: Option<String>,
    /// Budget tokens charged for it.
    pub charged: Tokens,
}

/// What the history says about the key of a new request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus {
    /// The request may run.
    Runnable,
    /// The key was used before for a different request.
    Reused,
    /// A run of the key is complete.
    Complete(CompletedRun),
    /// The log has charged another run of the key and voided the charge of this router.
    Charged,
}

/// State of the newest run of a key.
#[derive(Debug, Clone)]
enum State {
    /// Dispatched: still running, or its result is unknown.
    Dispatched,
    /// The answer was complete and its charge submitted.
    Complete(CompletedRun),
    /// Incomplete here; another run was charged.
    Charged,
}

#[derive(Debug, Clone)]
struct Entry {
    /// Digest of the request; `None` if the request never reached this router.
    digest: Option<u64>,
    state: State,
    /// Distinguishes it from an earlier entry of the same key.
    number: u64,
}

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<Id, Entry>,
    /// Entries, oldest first; may name entries that are already removed.
    order: VecDeque<(Id, u64)>,
    next: u64,
}

/// Bounded history of the keys that this router has dispatched.
#[derive(Debug)]
pub struct RunHistory {
    shards: [Mutex<Shard>; SHARDS],
    /// Largest number of entries in one shard.
    limit: usize,
}

impl RunHistory {
    /// Creates a history of about `limit` keys.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            limit: limit.div_ceil(SHARDS).max(1),
        })
    }

    /// Looks up the key of a new request that has `digest`.
    #[must_use]
    pub fn status(&self, key_use: &KeyUse, digest: u64) -> KeyStatus {
        let id = id_of(key_use);
        let shard = self.lock(&id);
        let Some(entry) = shard.entries.get(&id) else {
            return KeyStatus::Runnable;
        };
        if entry.digest.is_some_and(|known| known != digest) {
            return KeyStatus::Reused;
        }
        match &entry.state {
            State::Dispatched => KeyStatus::Runnable,
            State::Complete(run) => KeyStatus::Complete(run.clone()),
            State::Charged => KeyStatus::Charged,
        }
    }

    /// Whether this router may have started a run of the key.
    #[must_use]
    pub fn knows(&self, workspace: &WorkspaceName, key: RequestKey) -> bool {
        let id = (workspace.clone(), key);
        self.lock(&id).entries.contains_key(&id)
    }

    /// Tracks a request with `digest` that is about to be dispatched.
    #[must_use]
    pub fn begin(self: &Arc<Self>, key_use: &KeyUse, digest: u64) -> TrackedRun {
        TrackedRun {
            history: Arc::clone(self),
            id: id_of(key_use),
            digest,
            is_new: false,
        }
    }

    /// Notes that the log has voided a charge of the key because another run was charged.
    pub fn note_void(&self, workspace: &WorkspaceName, key: RequestKey) {
        let id = (workspace.clone(), key);
        let mut shard = self.lock(&id);
        match shard.entries.get_mut(&id) {
            Some(entry) if matches!(entry.state, State::Complete(_)) => {}
            Some(entry) => entry.state = State::Charged,
            None => {
                shard.insert(id, None, State::Charged, self.limit);
            }
        }
    }

    /// Removes the keys created before `floor`, which every router refuses by then.
    pub fn forget(&self, floor: WallMs) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.entries.retain(|id, _| id.1.created_ms() >= floor);
            shard.order.retain(|(id, _)| id.1.created_ms() >= floor);
        }
    }

    /// Number of keys in the history.
    #[must_use]
    pub fn len(&self) -> usize {
        let lock = |shard: &Mutex<Shard>| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.entries.len()
        };
        self.shards.iter().map(lock).sum()
    }

    /// Whether the history is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self, id: &Id) -> MutexGuard<'_, Shard> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let shard = &self.shards[hasher.finish() as usize % SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Shard {
    fn insert(&mut self, id: Id, digest: Option<u64>, state: State, limit: usize) {
        let number = self.next;
        self.next += 1;
        self.order.push_back((id.clone(), number));
        let entry = Entry {
            digest,
            state,
            number,
        };
        self.entries.insert(id, entry);
        while self.order.len() > limit {
            let Some((oldest, number)) = self.order.pop_front() else {
                return;
            };
            if self
                .entries
                .get(&oldest)
                .is_some_and(|e| e.number == number)
            {
                self.entries.remove(&oldest);
            }
        }
    }
}

/// Handle for recording one request's run in the history.
#[derive(Debug)]
pub struct TrackedRun {
    history: Arc<RunHistory>,
    id: Id,
    digest: u64,
    /// Whether this request created the entry.
    is_new: bool,
}

impl TrackedRun {
    /// Records that a backend server may run the request from now on.
    pub fn dispatch(&mut self) {
        let mut shard = self.history.lock(&self.id);
        if let Some(entry) = shard.entries.get_mut(&self.id) {
            entry.digest = Some(self.digest);
            return;
        }
        let id = self.id.clone();
        shard.insert(id, Some(self.digest), State::Dispatched, self.history.limit);
        self.is_new = true;
    }

    /// Undoes [`Self::dispatch`]: the request reached no backend server.
    pub fn recall(&mut self) {
        if !std::mem::take(&mut self.is_new) {
            return;
        }
        self.history.lock(&self.id).entries.remove(&self.id);
    }

    /// Records that the answer was complete.
    pub fn complete(&self, run: CompletedRun) {
        let mut shard = self.history.lock(&self.id);
        if let Some(entry) = shard.entries.get_mut(&self.id)
            && !matches!(entry.state, State::Complete(_))
        {
            entry.state = State::Complete(run);
        }
    }
}

fn id_of(key_use: &KeyUse) -> Id {
    (key_use.workspace().clone(), key_use.key())
}

/// Digest of method, target and body; tells different requests under one key apart.
#[must_use]
pub fn digest(original: &Original) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [
        original.method.as_str().as_bytes(),
        original.target.as_bytes(),
        &original.body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
