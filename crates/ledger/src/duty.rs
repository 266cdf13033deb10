//! Work that any ledger may do and one should.
//!
//! Each ledger sees the same open work in the fold. If each did it at once, the
//! log would get one copy a ledger. So each waits a random while first and looks
//! again; most find it done by then. Doing it twice is harmless.

use std::collections::HashMap;
use std::hash::Hash;

use swiftlink_types::Micros;

/// Open work by key, with the time at which this process does it.
#[derive(Debug)]
pub struct Duty<K> {
    spread: Micros,
    again: Micros,
    due: HashMap<K, Micros>,
}

impl<K: Hash + Eq + Clone> Duty<K> {
    /// Waits up to `spread` before the first try, and `again` longer before the
    /// next if the work is still open.
    #[must_use]
    pub fn new(spread: Micros, again: Micros) -> Self {
        Self {
            spread,
            again,
            due: HashMap::new(),
        }
    }

    /// The part of the `open` work to do now. Work that is no longer open is
    /// forgotten. `draw` gives uniform random numbers.
    pub fn step(
        &mut self,
        now: Micros,
        open: impl IntoIterator<Item = K>,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<K> {
        let mut kept = HashMap::new();
        let mut ready = Vec::new();
        for key in open {
            let wait = draw() % self.spread.max(1);
            let due = self.due.get(&key).copied().unwrap_or(now + wait);
            if due > now {
                kept.insert(key, due);
                continue;
            }
            kept.insert(key.clone(), now + self.again + wait);
            ready.push(key);
        }
        self.due = kept;
        ready
    }

    /// Number of pieces of work known to be open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no work is known to be open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
