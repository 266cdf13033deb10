//! Deduplication of charges by serial number.

use std::collections::BTreeSet;

/// Largest number of serials kept above the first gap. Beyond that, the lowest gaps are
/// closed: a charge that arrives later than this many others counts as a duplicate.
pub const MAX_SERIALS: usize = 1 << 18;

/// Lowest serial.
const FIRST_SERIAL: u64 = 1;

/// Set of decided serials: all below the watermark, and individual ones above it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Serials {
    watermark: u64,
    above: BTreeSet<u64>,
}

impl Default for Serials {
    fn default() -> Self {
        Self {
            watermark: FIRST_SERIAL,
            above: BTreeSet::new(),
        }
    }
}

impl Serials {
    pub(crate) fn restore(from: u64, above: &[u64]) -> Self {
        let mut serials = Self {
            watermark: from.max(FIRST_SERIAL),
            above: above.iter().copied().collect(),
        };
        serials.raise_watermark(serials.watermark);
        serials
    }

    pub(crate) fn watermark(&self) -> u64 {
        self.watermark
    }

    pub(crate) fn above(&self) -> Vec<u64> {
        self.above.iter().copied().collect()
    }

    pub(crate) fn contains(&self, serial: u64) -> bool {
        serial < self.watermark || self.above.contains(&serial)
    }

    /// Adds a serial; returns `false` if the set has it already.
    pub(crate) fn insert(&mut self, serial: u64) -> bool {
        if serial < self.watermark {
            return false;
        }
        if serial == self.watermark && self.above.is_empty() {
            self.watermark = serial.saturating_add(1);
            return true;
        }
        if !self.above.insert(serial) {
            return false;
        }
        self.advance();
        if self.above.len() > MAX_SERIALS {
            let lowest = self.above.first().copied().unwrap_or(self.watermark);
            self.raise_watermark(lowest);
        }
        true
    }

    /// Raises the watermark to `from`, and past the consecutive serials that follow.
    fn raise_watermark(&mut self, from: u64) {
        self.watermark = from;
        self.above = self.above.split_off(&from);
        self.advance();
    }

    fn advance(&mut self) {
        while self.above.remove(&self.watermark) {
            self.watermark = self.watermark.saturating_add(1);
        }
    }
}
