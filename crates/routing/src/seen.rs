//! Prefixes of prompts that came lately.
//!
//! One that is new to this router is hardly in a server's cache yet, so only one that
//! came before is sent to the server that it belongs to.

use swiftlink_types::Micros;

/// Entries of the table; a power of two.
const ENTRIES: usize = 4_096;
/// Time after which a prefix counts as new again: caches turn over.
const KEPT: Micros = 300_000_000;

/// A direct-mapped table of recent prefixes. A clash forgets the older one, which
/// costs it one cache hit.
#[derive(Debug)]
pub(crate) struct Seen {
    entries: Vec<(u64, Micros)>,
}

impl Seen {
    pub(crate) fn new() -> Self {
        Self {
            entries: vec![(0, 0); ENTRIES],
        }
    }

    /// Whether a prefix came lately.
    pub(crate) fn has(&self, prefix: u64, now: Micros) -> bool {
        let (known, at) = self.entries[prefix as usize % ENTRIES];
        known == prefix && now.saturating_sub(at) < KEPT
    }

    /// Notes a prefix; answers whether it came lately.
    pub(crate) fn see(&mut self, prefix: u64, now: Micros) -> bool {
        let came = self.has(prefix, now);
        self.entries[prefix as usize % ENTRIES] = (prefix, now);
        came
    }
}
