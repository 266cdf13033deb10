//! Memory of the change sets decided lately.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Number of decided sets that are remembered. A copy of an older set is judged
/// anew; its base versions then are out of date.
pub const SET_MEMORY: usize = 4_096;

/// Identifiers of the last [`SET_MEMORY`] sets, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sets {
    order: VecDeque<Arc<str>>,
    known: HashSet<Arc<str>>,
}

impl Sets {
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// Remembers a set, and forgets the oldest when there are too many.
    pub(crate) fn insert(&mut self, id: Arc<str>) {
        if !self.known.insert(Arc::clone(&id)) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() <= SET_MEMORY {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.known.remove(&oldest);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<str>> {
        self.order.iter()
    }
}
