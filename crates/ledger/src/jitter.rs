//! Random delays for tasks that any ledger may do and only one needs to do.
//!
//! All ledgers see the same open tasks in the fold. If each did them at once, the
//! log would get one copy per ledger. So each waits for a random delay and checks
//! again; most find the task done by then. Doing a task twice is harmless.

use std::collections::HashMap;
use std::hash::Hash;

use swiftlink_types::Micros;

/// Open tasks by key, with the time at which this process does them.
#[derive(Debug)]
pub struct JitteredTasks<K> {
    max_jitter: Micros,
    retry_delay: Micros,
    due_at: HashMap<K, Micros>,
}

impl<K: Hash + Eq + Clone> JitteredTasks<K> {
    /// Delays the first attempt by up to `max_jitter`, and each further attempt by
    /// `retry_delay` more while the task is still open.
    #[must_use]
    pub fn new(max_jitter: Micros, retry_delay: Micros) -> Self {
        Self {
            max_jitter,
            retry_delay,
            due_at: HashMap::new(),
        }
    }

    /// Returns those of the `open` tasks that are due now, and drops all tasks that aren't
    /// open. `draw` returns uniform random numbers.
    pub fn take_due(
        &mut self,
        now: Micros,
        open: impl IntoIterator<Item = K>,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<K> {
        let mut kept = HashMap::new();
        let mut ready = Vec::new();
        for key in open {
            let wait = draw() % self.max_jitter.max(1);
            let due = self.due_at.get(&key).copied().unwrap_or(now + wait);
            if due > now {
                kept.insert(key, due);
                continue;
            }
            kept.insert(key.clone(), now + self.retry_delay + wait);
            ready.push(key);
        }
        self.due_at = kept;
        ready
    }

    /// Number of tasks known to be open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.due_at.len()
    }

    /// Whether no task is known to be open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.due_at.is_empty()
    }
}
