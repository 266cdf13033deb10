//! Request keys that are remembered: charged, reserved by an intent, or abandoned.

use std::collections::BTreeMap;

use swiftlink_types::{RequestKey, Tokens, WallMs};

use crate::names::Names;
use crate::routers::RouterId;

/// What is known of one key of one workspace.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyState {
    /// Incarnation whose intent holds the key; without an intent, the one that charged.
    pub(crate) owner: Option<RouterId>,
    /// Whether an intent holds the key.
    pub(crate) intent: bool,
    /// Cost charged (tokens).
    pub(crate) cost: Option<Tokens>,
    /// Incarnations that abandoned the key and never win it again.
    pub(crate) abandoned: Vec<RouterId>,
}

impl KeyState {
    /// Incarnations that the entry names, with repeats.
    pub(crate) fn routers(&self) -> impl Iterator<Item = RouterId> {
        self.owner.into_iter().chain(self.abandoned.iter().copied())
    }
}

/// Keys in the order of their creation: a UUIDv7 begins with its time, so that the
/// same ordered map serves lookups and forgetting the oldest.
#[derive(Clone, Debug, Default)]
pub(crate) struct Keys {
    workspaces: Names,
    entries: BTreeMap<(RequestKey, u32), KeyState>,
}

impl Keys {
    pub(crate) fn find(&self, workspace: &str, key: RequestKey) -> Option<&KeyState> {
        let workspace = self.workspaces.find(workspace)?;
        self.entries.get(&(key, workspace))
    }

    /// The state of a key, an empty one if the key is new.
    pub(crate) fn entry(&mut self, workspace: &str, key: RequestKey) -> &mut KeyState {
        let workspace = self.workspaces.intern(workspace);
        self.entries.entry((key, workspace)).or_default()
    }

    /// Takes out the oldest key if it was created before `floor`.
    pub(crate) fn pop_before(&mut self, floor: WallMs) -> Option<KeyState> {
        let oldest = self.entries.first_entry()?;
        if oldest.key().0.created_ms() >= floor {
            return None;
        }
        Some(oldest.remove())
    }

    /// Every key with its workspace, in an order that is the same on every process.
    pub(crate) fn sorted(&self) -> Vec<(RequestKey, &str, &KeyState)> {
        let mut all = Vec::with_capacity(self.entries.len());
        for ((key, workspace), state) in &self.entries {
            all.push((*key, &**self.workspaces.name(*workspace), state));
        }
        all.sort_unstable_by_key(|(key, workspace, _)| (*key, *workspace));
        all
    }
}
