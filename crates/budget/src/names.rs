//! Small numbers in place of names, so that known names cost no allocation.

use std::collections::HashMap;
use std::sync::Arc;

/// Names by number and numbers by name. The numbers differ between processes and
/// never leave one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Names {
    by_name: HashMap<Arc<str>, u32>,
    by_id: Vec<Arc<str>>,
}

impl Names {
    pub(crate) fn find(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// The number of a name, a new one if the name is new.
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

    /// Every number, by name.
    pub(crate) fn sorted(&self) -> Vec<u32> {
        let mut ids: Vec<u32> = (0..).take(self.by_id.len()).collect();
        ids.sort_unstable_by_key(|id| self.name(*id));
        ids
    }
}
