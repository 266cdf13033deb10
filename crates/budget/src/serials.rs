//! Which serial numbers of an incarnation's charges were decided.

use std::collections::BTreeSet;

/// Most serials kept above the first gap. When there are more, the lowest gaps
/// are given up: a charge that is late by so many others is taken as decided.
pub const SERIALS_MAX: usize = 1 << 18;

/// Lowest serial.
const FIRST: u64 = 1;

/// Set of serials: all below a watermark, and single ones above it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Serials {
    from: u64,
    above: BTreeSet<u64>,
}

impl Default for Serials {
    fn default() -> Self {
        Self {
            from: FIRST,
            above: BTreeSet::new(),
        }
    }
}

impl Serials {
    pub(crate) fn restore(from: u64, above: &[u64]) -> Self {
        let mut serials = Self {
            from: from.max(FIRST),
            above: above.iter().copied().collect(),
        };
        serials.raise(serials.from);
        serials
    }

    pub(crate) fn watermark(&self) -> u64 {
        self.from
    }

    pub(crate) fn above(&self) -> Vec<u64> {
        self.above.iter().copied().collect()
    }

    pub(crate) fn contains(&self, serial: u64) -> bool {
        serial < self.from || self.above.contains(&serial)
    }

    /// Adds a serial; `false` if it was there.
    pub(crate) fn insert(&mut self, serial: u64) -> bool {
        if serial < self.from {
            return false;
        }
        if serial == self.from && self.above.is_empty() {
            self.from = serial.saturating_add(1);
            return true;
        }
        if !self.above.insert(serial) {
            return false;
        }
        self.advance();
        if self.above.len() > SERIALS_MAX {
            let lowest = self.above.first().copied().unwrap_or(self.from);
            self.raise(lowest);
        }
        true
    }

    /// Lifts the watermark to `from`, and over what follows it without a gap.
    fn raise(&mut self, from: u64) {
        self.from = from;
        self.above = self.above.split_off(&from);
        self.advance();
    }

    fn advance(&mut self) {
        while self.above.remove(&self.from) {
            self.from = self.from.saturating_add(1);
        }
    }
}
