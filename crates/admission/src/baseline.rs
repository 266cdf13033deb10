//! Baseline sizing policies, for comparisons with [`DemandSizer`](crate::DemandSizer).

use std::time::Duration;

use swiftlink_types::{Micros, Tokens};

use crate::grant::Demand;
use crate::sizer::{Backoff, ClaimOutcome, ClaimSize, Sizing, Waiting};

const RETRY_BASE: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Splits everything that was ever paid in evenly over a fixed number of routers.
#[derive(Debug)]
pub struct EvenSplit {
    routers: u32,
    topped_up: Tokens,
    granted: Tokens,
    backoff: Backoff,
}

impl EvenSplit {
    /// A policy for one of `routers` routers.
    #[must_use]
    pub fn new(routers: u32) -> Self {
        Self {
            routers: routers.max(1),
            topped_up: 0,
            granted: 0,
            backoff: Backoff::new(RETRY_BASE, RETRY_MAX),
        }
    }
}

impl Sizing for EvenSplit {
    fn name(&self) -> &'static str {
        "even-split"
    }

    fn observe(&mut self, _now: Micros, _demand: Demand) {}

    fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome) {
        self.granted += outcome.granted;
        self.backoff.on_claimed(now, outcome);
    }

    fn on_failed(&mut self, now: Micros) {
        self.backoff.extend(now);
    }

    fn on_budget(&mut self, _now: Micros, topped_up: Tokens, _free: Tokens, _sharers: u32) {
        self.topped_up = topped_up;
    }

    fn claim(&mut self, now: Micros, _available: Tokens, _waiting: Waiting) -> Option<ClaimSize> {
        let share = self.topped_up / Tokens::from(self.routers);
        let want = share.saturating_sub(self.granted);
        if want == 0 || !self.backoff.is_over(now) {
            return None;
        }
        // The log may grant only a part of it; the next claim asks for the rest.
        Some(ClaimSize { need: 1, want })
    }

    fn surplus(&mut self, _now: Micros, _available: Tokens) -> Option<Tokens> {
        None
    }
}

/// Claims a chunk of a fixed size whenever less than half a chunk is left.
#[derive(Debug)]
pub struct FixedChunk {
    chunk: Tokens,
    backoff: Backoff,
}

impl FixedChunk {
    /// A policy that claims `chunk` tokens at a time.
    #[must_use]
    pub fn new(chunk: Tokens) -> Self {
        Self {
            chunk: chunk.max(1),
            backoff: Backoff::new(RETRY_BASE, RETRY_MAX),
        }
    }
}

impl Sizing for FixedChunk {
    fn name(&self) -> &'static str {
        "fixed-chunk"
    }

    fn observe(&mut self, _now: Micros, _demand: Demand) {}

    fn on_claimed(&mut self, now: Micros, outcome: &ClaimOutcome) {
        self.backoff.on_claimed(now, outcome);
    }

    fn on_failed(&mut self, now: Micros) {
        self.backoff.extend(now);
    }

    fn on_budget(&mut self, _now: Micros, _topped_up: Tokens, _free: Tokens, _sharers: u32) {}

    fn claim(&mut self, now: Micros, available: Tokens, waiting: Waiting) -> Option<ClaimSize> {
        let is_short = waiting.min_cost > available;
        let is_low = available < self.chunk / 2;
        if !self.backoff.is_over(now) || !(is_short || is_low) {
            return None;
        }
        let need = waiting.min_cost.saturating_sub(available).max(1);
        let want = self.chunk.max(need);
        Some(ClaimSize { need, want })
    }

    fn surplus(&mut self, _now: Micros, _available: Tokens) -> Option<Tokens> {
        None
    }
}
