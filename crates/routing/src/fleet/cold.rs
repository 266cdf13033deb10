//! Servers that have just started, or come back: cold ones.
//!
//! A cold server bears few requests a second from all routers together and crashes under more,
//! and no router knows what the others send. So while enough servers are warm, cold ones get
//! nothing: they are warm again within seconds, and hold no prompt that would be worth going there
//! for. Where too few are warm, each router sends its part of what all may, to drawn servers and
//! not by prefix, so that the routers together load them evenly whatever is asked for.

use std::time::Duration;

use rand::Rng;
use swiftlink_types::Micros;

use crate::policy::{View, draw};
use crate::server::Server;

/// What a server of a pool bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long a start makes it cold.
    pub time: Duration,
    /// Requests that it bears in a second.
    pub rate: f64,
}

/// Part of what cold servers bear that all routers together send. What comes to one server in a
/// second is spread like draws: with a mean of half of 7.7, more than 16 come in one second of
/// half a million, and in one of fifty thousand where a third of the routers isn't known yet.
const PART: f64 = 0.5;
/// Part of the servers that has to be warm for cold ones to get nothing. An assumption: half of a
/// fleet bears its load for the seconds that a start takes.
const ENOUGH: f64 = 0.5;
/// Time for which a router saves up, beyond one request (seconds): requests come in bunches, and
/// what all routers have saved may come at once. Of 30 requests a second before 12 cold servers a
/// router of 8 that saves nothing refuses half, in `tests/cold.rs`.
const SAVED: f64 = 0.25;

/// The cold servers of a pool, and what this router may send them.
#[derive(Debug, Default)]
pub(super) struct Cold {
    warmup: Option<Warmup>,
    routers: usize,
    slots: Vec<u32>,
    /// When the first of them is warm.
    next: Micros,
    /// The newest time known.
    now: Micros,
    /// Requests that may be sent, as of `filled`.
    level: f64,
    filled: Micros,
}

impl Cold {
    pub(super) fn set_warmup(&mut self, warmup: Option<Warmup>) {
        self.warmup = warmup.filter(|warmup| warmup.rate > 0.0 && !warmup.time.is_zero());
    }

    pub(super) fn set_routers(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// How long a start makes a server cold; 0 in a pool where it doesn't.
    pub(super) fn time(&self) -> Micros {
        self.warmup
            .map_or(0, |warmup| warmup.time.as_micros() as Micros)
    }

    /// Takes the time.
    pub(super) fn note(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Whether one of them is warm by now.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        !self.slots.is_empty() && now >= self.next
    }

    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    /// When the first of them is warm.
    pub(super) fn next_warm(&self) -> Option<Micros> {
        (!self.slots.is_empty()).then_some(self.next)
    }

    /// Takes the cold ones out of `open`.
    pub(super) fn part(&mut self, open: &mut Vec<u32>, servers: &[Server]) {
        let until = |slot: &u32| servers[*slot as usize].cold_until;
        self.slots.clear();
        if self.warmup.is_none() {
            return;
        }
        let now = self.now;
        let cold = open.extract_if(.., |slot| until(slot) > now);
        self.slots.extend(cold);
        self.next = self.slots.iter().map(until).min().unwrap_or(0);
    }

    /// Whether the pool needs them beside so many warm ones.
    pub(super) fn is_needed(&self, warm: usize) -> bool {
        let all = warm + self.slots.len();
        !self.slots.is_empty() && (warm as f64) < ENOUGH * all as f64
    }

    /// One that can take the request, if this router may send it one now.
    pub(super) fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        if self.slots.is_empty() || !self.may_send(view.now()) {
            return None;
        }
        let start = draw(rng, self.slots.len());
        let (before, after) = self.slots.split_at(start);
        let mut drawn = after.iter().chain(before).copied();
        let slot = drawn.find(|slot| view.can_take(*slot))?;
        self.level -= 1.0;
        Some(slot)
    }

    /// Whether this router's part allows one more request.
    fn may_send(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now.max(self.filled);
        // What passed before there were cold servers isn't saved up.
        let rate = self.rate();
        let most = 1.0 + rate * SAVED;
        self.level = (self.level + passed.min(1.0) * rate).min(most);
        self.level >= 1.0
    }

    /// Requests a second that this router may send to all of them.
    fn rate(&self) -> f64 {
        let (Some(warmup), 1..) = (self.warmup, self.routers) else {
            return 0.0;
        };
        self.slots.len() as f64 * warmup.rate * PART / self.routers as f64
    }
}
