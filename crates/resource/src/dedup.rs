//! Deduplication of change sets by their identifiers.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Number of decided change sets whose identifiers are kept. A duplicate of an older set is
/// checked again; by then its base versions are out of date.
pub const MAX_DECIDED_SETS: usize = 4_096;

/// Identifiers of the last [`MAX_DECIDED_SETS`] decided sets, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecidedSets {
    order: VecDeque<Arc<str>>,
    known: HashSet<Arc<str>>,
}

impl DecidedSets {
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.known.contains(id)
    }

    /// Adds a set and evicts the oldest one above the limit.
    pub(crate) fn insert(&mut self, id: Arc<str>) {
        if !self.known.insert(Arc::clone(&id)) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() <= MAX_DECIDED_SETS {
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
