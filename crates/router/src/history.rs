//! What this router knows of the keys that it has dispatched.
//!
//! A key whose answer was whole and charged is not run again: its answer is given again
//! from the engine's kept stream. The memory is bounded, and the oldest keys go first;
//! a key that was forgotten, or that another router ran, runs here once more at most,
//! since the log then voids its charge and the key is remembered as charged.

use std::collections::{HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_types::{RequestKey, ServerName, Tokens, WallMs, WorkspaceName};

use crate::call::Original;
use crate::keys::KeyUse;

/// Parts of the memory, each with a lock of its own.
const SHARDS: usize = 16;

type Id = (WorkspaceName, RequestKey);

/// A run that ended whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeRun {
    /// The backend server that ran it.
    pub server: Option<ServerName>,
    /// The engine's id of the answer's stream, if it has one.
    pub stream: Option<String>,
    /// Budget tokens that it was charged.
    pub charged: Tokens,
}

/// What is known of a key when a request with it comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Past {
    /// Nothing that speaks against a run.
    Open,
    /// It was sent before with another request.
    Reused,
    /// It ran whole.
    Whole(WholeRun),
    /// The log has charged a run of it; what this router ran of it was void.
    Charged,
}

/// How far the newest run of a key came.
#[derive(Debug, Clone)]
enum State {
    /// Dispatched; running, or its end isn't known.
    Dispatched,
    /// The answer was whole and its charge handed over.
    Whole(WholeRun),
    /// Not whole here, and charged by another run.
    Charged,
}

#[derive(Debug, Clone)]
struct Entry {
    /// `None`: the request itself was never seen here.
    digest: Option<u64>,
    state: State,
    /// Tells it from an earlier entry of the same key.
    number: u64,
}

#[derive(Debug, Default)]
struct Shard {
    entries: HashMap<Id, Entry>,
    /// The entries by age; some may be gone.
    order: VecDeque<(Id, u64)>,
    next: u64,
}

/// The keys that this router has dispatched.
#[derive(Debug)]
pub struct RunHistory {
    shards: [Mutex<Shard>; SHARDS],
    /// Most entries of one shard.
    limit: usize,
}

impl RunHistory {
    /// A memory of about `limit` keys.
    #[must_use]
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            shards: Default::default(),
            limit: limit.div_ceil(SHARDS).max(1),
        })
    }

    /// What is known of a key that now comes with a request of `digest`.
    #[must_use]
    pub fn look(&self, key_use: &KeyUse, digest: u64) -> Past {
        let id = id_of(key_use);
        let shard = self.lock(&id);
        let Some(entry) = shard.entries.get(&id) else {
            return Past::Open;
        };
        if entry.digest.is_some_and(|known| known != digest) {
            return Past::Reused;
        }
        match &entry.state {
            State::Dispatched => Past::Open,
            State::Whole(run) => Past::Whole(run.clone()),
            State::Charged => Past::Charged,
        }
    }

    /// Whether a run of the key may exist, by what this router has done.
    #[must_use]
    pub fn knows(&self, workspace: &WorkspaceName, key: RequestKey) -> bool {
        let id = (workspace.clone(), key);
        self.lock(&id).entries.contains_key(&id)
    }

    /// A request of `digest` is about to be dispatched.
    #[must_use]
    pub fn begin(self: &Arc<Self>, key_use: &KeyUse, digest: u64) -> TrackedRun {
        TrackedRun {
            past: Arc::clone(self),
            id: id_of(key_use),
            digest,
            is_new: false,
        }
    }

    /// The log has voided a charge of the key, since another run was charged.
    pub fn note_void(&self, workspace: &WorkspaceName, key: RequestKey) {
        let id = (workspace.clone(), key);
        let mut shard = self.lock(&id);
        match shard.entries.get_mut(&id) {
            Some(entry) if matches!(entry.state, State::Whole(_)) => {}
            Some(entry) => entry.state = State::Charged,
            None => {
                shard.insert(id, None, State::Charged, self.limit);
            }
        }
    }

    /// Forgets the keys created before `floor`, which no router accepts any more.
    pub fn forget(&self, floor: WallMs) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.entries.retain(|id, _| id.1.created_ms() >= floor);
            shard.order.retain(|(id, _)| id.1.created_ms() >= floor);
        }
    }

    /// Number of keys remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        let lock = |shard: &Mutex<Shard>| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.entries.len()
        };
        self.shards.iter().map(lock).sum()
    }

    /// Whether no key is remembered.
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

/// The memory of one request's run.
#[derive(Debug)]
pub struct TrackedRun {
    past: Arc<RunHistory>,
    id: Id,
    digest: u64,
    /// This request made the entry.
    is_new: bool,
}

impl TrackedRun {
    /// From now on a backend server may run the request.
    pub fn dispatch(&mut self) {
        let mut shard = self.past.lock(&self.id);
        if let Some(entry) = shard.entries.get_mut(&self.id) {
            entry.digest = Some(self.digest);
            return;
        }
        let id = self.id.clone();
        shard.insert(id, Some(self.digest), State::Dispatched, self.past.limit);
        self.is_new = true;
    }

    /// No dispatch of this request has reached a backend server.
    pub fn recall(&mut self) {
        if !std::mem::take(&mut self.is_new) {
            return;
        }
        self.past.lock(&self.id).entries.remove(&self.id);
    }

    /// The answer was whole.
    pub fn whole(&self, run: WholeRun) {
        let mut shard = self.past.lock(&self.id);
        if let Some(entry) = shard.entries.get_mut(&self.id)
            && !matches!(entry.state, State::Whole(_))
        {
            entry.state = State::Whole(run);
        }
    }
}

fn id_of(key_use: &KeyUse) -> Id {
    (key_use.workspace().clone(), key_use.key())
}

/// What tells a request from another one under the same key.
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
