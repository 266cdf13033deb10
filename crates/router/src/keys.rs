//! Request keys in use on this router, and the creation time (floor) below which keys
//! are refused.
//!
//! A key is in use while its request is in flight, so that a second copy of the
//! request is refused. It is held until the log has decided its charge, so that no mark
//! declares it settled earlier. A mark is a log record that promises a floor; the floor
//! only rises, and no key older than a promised floor is accepted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use papaya::HashMap;
use swiftlink_types::{RequestKey, WallMs, WorkspaceName};

/// Maximum time by which a caller's clock may be ahead.
const MAX_AHEAD_MS: WallMs = 60_000;
/// Distance of the promised floor from the oldest acceptable key.
const FLOOR_MARGIN_MS: WallMs = 60_000;

/// Why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRefusal {
    /// Its creation time is too far ahead of this router's clock.
    Future,
    /// It is older than the time for which keys are remembered.
    TooOld,
    /// It is in use on this router.
    InUse,
}

type Id = (WorkspaceName, RequestKey);

/// The keys in use.
#[derive(Debug)]
pub struct Keys {
    used: HashMap<Id, ()>,
    /// Creation times of held keys by hold number.
    held: HashMap<u64, WallMs>,
    next_hold: AtomicU64,
    /// Number of requests in flight that may share their key with another request.
    shared: AtomicUsize,
    floor: AtomicU64,
    window: WallMs,
}

impl Keys {
    /// Creates an empty set of keys. Keys older than `window` ms are refused, and so are
    /// keys created before `floor`.
    #[must_use]
    pub fn new(window: WallMs, floor: WallMs) -> Arc<Self> {
        Arc::new(Self {
            used: HashMap::new(),
            held: HashMap::new(),
            next_hold: AtomicU64::new(0),
            shared: AtomicUsize::new(0),
            floor: AtomicU64::new(floor),
            window,
        })
    }

    /// Puts `key` of `workspace` in use at wall time `now`. `evicted` is the creation
    /// time before which the log has evicted keys.
    ///
    /// # Errors
    /// See [`KeyRefusal`].
    pub fn take(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        key: RequestKey,
        now: WallMs,
        evicted: WallMs,
    ) -> Result<KeyUse, KeyRefusal> {
        self.check_age(key, now, evicted)?;
        let id = (workspace.clone(), key);
        if self.used.pin().try_insert(id.clone(), ()).is_err() {
            return Err(KeyRefusal::InUse);
        }
        let key_use = KeyUse {
            keys: Arc::clone(self),
            id,
            shared: None,
            is_free: AtomicBool::new(false),
        };
        self.check_floor(key)?;
        Ok(key_use)
    }

    /// Puts `key` in use, also while another request uses it: a resumption reads the
    /// answer of a run that may still be in flight here.
    ///
    /// # Errors
    /// See [`KeyRefusal`]; never [`KeyRefusal::InUse`].
    pub fn share(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        key: RequestKey,
        now: WallMs,
        evicted: WallMs,
    ) -> Result<KeyUse, KeyRefusal> {
        self.check_age(key, now, evicted)?;
        self.shared.fetch_add(1, Ordering::SeqCst);
        let key_use = KeyUse {
            keys: Arc::clone(self),
            id: (workspace.clone(), key),
            shared: Some(self.hold(key)),
            is_free: AtomicBool::new(false),
        };
        self.check_floor(key)?;
        Ok(key_use)
    }

    fn check_age(&self, key: RequestKey, now: WallMs, evicted: WallMs) -> Result<(), KeyRefusal> {
        let created = key.created_ms();
        if created > now.saturating_add(MAX_AHEAD_MS) {
            return Err(KeyRefusal::Future);
        }
        if created < now.saturating_sub(self.window) || created < evicted {
            return Err(KeyRefusal::TooOld);
        }
        Ok(())
    }

    /// Must be called after the key is in use, since only then does a concurrent
    /// [`Keys::raise_floor`] see it.
    fn check_floor(&self, key: RequestKey) -> Result<(), KeyRefusal> {
        if key.created_ms() < self.floor.load(Ordering::SeqCst) {
            return Err(KeyRefusal::TooOld);
        }
        Ok(())
    }

    fn hold(self: &Arc<Self>, key: RequestKey) -> KeyHold {
        let number = self.next_hold.fetch_add(1, Ordering::Relaxed);
        self.held.pin().insert(number, key.created_ms());
        KeyHold {
            keys: Arc::clone(self),
            number,
        }
    }

    /// Raises the floor at wall time `now` and returns the floor that a mark may promise:
    /// every key created before it is settled, and every such key is refused from here
    /// on.
    pub fn raise_floor(&self, now: WallMs) -> WallMs {
        let target = now.saturating_sub(self.window + FLOOR_MARGIN_MS);
        let before = self.floor.fetch_max(target, Ordering::SeqCst);
        let mut floor = before.max(target);
        for (id, ()) in &self.used.pin() {
            floor = floor.min(id.1.created_ms());
        }
        for (_, created) in &self.held.pin() {
            floor = floor.min(*created);
        }
        floor
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.used.len() + self.shared.load(Ordering::SeqCst)
    }

    /// Number of keys whose charge is not yet decided.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

/// Keeps a key in use until it is dropped.
#[derive(Debug)]
pub struct KeyUse {
    keys: Arc<Keys>,
    id: Id,
    /// Set if another request may use the same key.
    shared: Option<KeyHold>,
    /// Whether the key was released early; another request may use it since.
    is_free: AtomicBool,
}

impl KeyUse {
    /// Workspace that sent the request.
    #[must_use]
    pub fn workspace(&self) -> &WorkspaceName {
        &self.id.0
    }

    /// The key.
    #[must_use]
    pub fn key(&self) -> RequestKey {
        self.id.1
    }

    /// Releases the key before the end of the answer is sent, so that a caller that
    /// repeats the request at once doesn't conflict with its own first request.
    pub fn free(&self) {
        if self.shared.is_some() || self.is_free.swap(true, Ordering::SeqCst) {
            return;
        }
        self.keys.used.pin().remove(&self.id);
    }

    /// Holds the key after its use, until its charge is decided.
    #[must_use]
    pub fn hold(&self) -> KeyHold {
        self.keys.hold(self.id.1)
    }
}

/// Keeps the floor at or below a key's creation time until it is dropped.
#[derive(Debug)]
pub struct KeyHold {
    keys: Arc<Keys>,
    number: u64,
}

impl Drop for KeyHold {
    fn drop(&mut self) {
        self.keys.held.pin().remove(&self.number);
    }
}

impl Drop for KeyUse {
    fn drop(&mut self) {
        if self.shared.is_some() {
            self.keys.shared.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        self.free();
    }
}
