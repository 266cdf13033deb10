//! Idempotency keys on record: charged, reserved by an intent, or abandoned.

use std::collections::BTreeMap;

use swiftlink_types::{RequestKey, Tokens, WallMs};

use crate::interner::NameInterner;
use crate::routers::RouterId;

/// State of one key of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyState {
    /// Incarnation whose intent reserved the key; without an intent, the one that charged it.
    pub(crate) owner: Option<RouterId>,
    /// Whether an intent reserved the key.
    pub(crate) has_intent: bool,
    /// Cost charged (tokens).
    pub(crate) cost: Option<Tokens>,
    /// Incarnations that abandoned the key and can't win it again.
    pub(crate) abandoned: Vec<RouterId>,
}

impl KeyState {
    /// Incarnations that the entry refers to; one may occur twice.
    pub(crate) fn routers(&self) -> impl Iterator<Item = RouterId> {
        self.owner.into_iter().chain(self.abandoned.iter().copied())
    }
}

/// Keys in the order of their creation. A UUIDv7 begins with its creation time, so one
/// ordered map serves both lookups and the eviction of the oldest keys.
#[derive(Clone, Debug, Default)]
pub(crate) struct Keys {
    workspaces: NameInterner,
    entries: BTreeMap<(RequestKey, u32), KeyState>,
}

impl Keys {
    pub(crate) fn find(&self, workspace: &str, key: RequestKey) -> Option<&KeyState> {
        let workspace = self.workspaces.find(workspace)?;
        self.entries.get(&(key, workspace))
    }

    /// Returns the state of a key, inserting an empty one for a new key.
    pub(crate) fn entry(&mut self, workspace: &str, key: RequestKey) -> &mut KeyState {
        let workspace = self.workspaces.intern(workspace);
        self.entries.entry((key, workspace)).or_default()
    }

    /// Removes and returns the oldest key if it was created before `floor`.
    pub(crate) fn pop_before(&mut self, floor: WallMs) -> Option<KeyState> {
        let oldest = self.entries.first_entry()?;
        if oldest.key().0.created_ms() >= floor {
            return None;
        }
        Some(oldest.remove())
    }

    /// All keys with their workspaces, in an order that is the same in every process.
    pub(crate) fn sorted(&self) -> Vec<(RequestKey, &str, &KeyState)> {
        let mut all = Vec::with_capacity(self.entries.len());
        for ((key, workspace), state) in &self.entries {
            all.push((*key, &**self.workspaces.name(*workspace), state));
        }
        all.sort_unstable_by_key(|(key, workspace, _)| (*key, *workspace));
        all
    }
}
