//! Recently used prefixes of prompts.
//!
//! A server rarely has a prefix cached that is new to this router, so only a prefix that came
//! before is sent to its preferred server.

use swiftlink_types::Micros;

/// Entries of the table; a power of two.
const ENTRIES: usize = 4_096;
/// Age at which a prefix counts as new again (µs): by then server caches have usually evicted it.
const MAX_AGE: Micros = 300_000_000;

/// A direct-mapped table of recent prefixes. A collision evicts the older one, which costs it one
/// cache hit.
#[derive(Debug)]
pub(crate) struct RecentPrefixes {
    entries: Vec<(u64, Micros)>,
}

impl RecentPrefixes {
    pub(crate) fn new() -> Self {
        Self {
            entries: vec![(0, 0); ENTRIES],
        }
    }

    /// Whether a prefix was used recently.
    pub(crate) fn contains(&self, prefix: u64, now: Micros) -> bool {
        let (known, at) = self.entries[prefix as usize % ENTRIES];
        known == prefix && now.saturating_sub(at) < MAX_AGE
    }

    /// Records a use of a prefix; returns whether it was used recently before.
    pub(crate) fn touch(&mut self, prefix: u64, now: Micros) -> bool {
        let was_recent = self.contains(prefix, now);
        self.entries[prefix as usize % ENTRIES] = (prefix, now);
        was_recent
    }
}
