//! Interning of names as small integers, so that known names cost no allocation.

use std::collections::HashMap;
use std::sync::Arc;

/// Maps names to ids and back. Ids are local to a process: they differ between
/// processes and must not be sent or stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct NameInterner {
    by_name: HashMap<Arc<str>, u32>,
    by_id: Vec<Arc<str>>,
}

impl NameInterner {
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns the id of a name, assigning one to a new name.
    pub(crate) fn intern(&mut self, name: &str) -> u32 {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = u32::try_from(self.by_id.len()).expect("fewer than 2^32 names fit in memory");
        let name: Arc<str> = Arc::from(name);
        self.by_id.push(Arc::clone(&name));
        self.by_name.insert(name, id);
        id
    }

    pub(crate) fn name(&self, id: u32) -> &Arc<str> {
        &self.by_id[id as usize]
    }

    /// All ids, sorted by name.
    pub(crate) fn sorted(&self) -> Vec<u32> {
        let mut ids: Vec<u32> = (0..).take(self.by_id.len()).collect();
        ids.sort_unstable_by_key(|id| self.name(*id));
        ids
    }
}
