//! Cold servers: those that have just started or come back.
//!
//! All routers together may send a cold server few requests per second; it crashes under more, and
//! no router knows what the others send. So while enough servers are warm, cold ones get nothing:
//! they are warm again within seconds, and have no prompt cached that would justify it. When too
//! few are warm, each router sends its share of the permitted rate, to random servers instead of by
//! prefix, so that the routers together load them evenly whatever the requests are.

use std::time::Duration;

use rand::Rng;
use swiftlink_types::Micros;

use crate::policy::{View, draw};
use crate::server::Server;

/// Capacity of a pool's servers while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// How long a server is cold after its start.
    pub time: Duration,
    /// Requests per second that a cold server can take.
    pub rate: f64,
}

/// Fraction of the cold servers' capacity that all routers together use. Arrivals at one server are
/// approximately Poisson distributed: with a mean of half of 7.7 per second, more than 16 arrive in
/// one of half a million seconds, and in one of fifty thousand when a third of the routers isn't
/// known yet.
const RATE_SHARE: f64 = 0.5;
/// Fraction of the servers that has to be warm for cold ones to get nothing. Assumes that half of a
/// fleet can take the whole load for the seconds of a warm-up.
const MIN_WARM_SHARE: f64 = 0.5;
/// Burst of the token bucket beyond one request, in seconds of its rate. Requests come in bursts,
/// but all routers may spend what they saved at the same time. Without the burst, 8 routers refuse
/// half of 30 requests per second before 12 cold servers (`tests/cold.rs`).
const BURST_SECS: f64 = 0.25;

/// The cold servers of a pool, and the token bucket that limits what this router sends them.
#[derive(Debug, Default)]
pub(super) struct ColdServers {
    warmup: Option<Warmup>,
    routers: usize,
    indices: Vec<u32>,
    /// When the first of them becomes warm.
    next_warm: Micros,
    /// Latest time that a caller has passed.
    now: Micros,
    /// Requests that may be sent, as of `filled_at`.
    tokens: f64,
    filled_at: Micros,
}

impl ColdServers {
    pub(super) fn set_warmup(&mut self, warmup: Option<Warmup>) {
        self.warmup = warmup.filter(|warmup| warmup.rate > 0.0 && !warmup.time.is_zero());
    }

    pub(super) fn set_routers(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// How long a server is cold after its start; 0 in a pool without warm-up.
    pub(super) fn time(&self) -> Micros {
        self.warmup
            .map_or(0, |warmup| warmup.time.as_micros() as Micros)
    }

    /// Advances the time to `now`.
    pub(super) fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Whether one of them has become warm.
    pub(super) fn has_warmed(&self, now: Micros) -> bool {
        !self.indices.is_empty() && now >= self.next_warm
    }

    pub(super) fn len(&self) -> usize {
        self.indices.len()
    }

    /// When the first of them becomes warm.
    pub(super) fn next_warm(&self) -> Option<Micros> {
        (!self.indices.is_empty()).then_some(self.next_warm)
    }

    /// Moves the cold servers out of `open`.
    pub(super) fn extract(&mut self, open: &mut Vec<u32>, servers: &[Server]) {
        let until = |index: &u32| servers[*index as usize].cold_until;
        self.indices.clear();
        if self.warmup.is_none() {
            return;
        }
        let now = self.now;
        let cold = open.extract_if(.., |index| until(index) > now);
        self.indices.extend(cold);
        self.next_warm = self.indices.iter().map(until).min().unwrap_or(0);
    }

    /// Whether the pool needs the cold servers, beside this number of warm ones.
    pub(super) fn is_needed(&self, warm: usize) -> bool {
        let all = warm + self.indices.len();
        !self.indices.is_empty() && (warm as f64) < MIN_WARM_SHARE * all as f64
    }

    /// A random one that can take the request, if the token bucket allows it.
    pub(super) fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        if self.indices.is_empty() || !self.has_token(view.now()) {
            return None;
        }
        let start = draw(rng, self.indices.len());
        let (before, after) = self.indices.split_at(start);
        let mut drawn = after.iter().chain(before).copied();
        let index = drawn.find(|index| view.can_take(*index))?;
        self.tokens -= 1.0;
        Some(index)
    }

    /// Refills the token bucket; returns whether it holds a request.
    fn has_token(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.filled_at) as f64 / 1e6;
        self.filled_at = now.max(self.filled_at);
        // Limits the refill: nothing accumulates for the time without cold servers.
        let rate = self.rate();
        let capacity = 1.0 + rate * BURST_SECS;
        self.tokens = (self.tokens + passed.min(1.0) * rate).min(capacity);
        self.tokens >= 1.0
    }

    /// Requests per second that this router may send to all cold servers together.
    fn rate(&self) -> f64 {
        let (Some(warmup), 1..) = (self.warmup, self.routers) else {
            return 0.0;
        };
        self.indices.len() as f64 * warmup.rate * RATE_SHARE / self.routers as f64
    }
}
