//! What a routing policy sees and decides.

use std::collections::HashSet;
use std::fmt;

use rand::Rng;
use swiftlink_types::{DomainName, Micros};

use crate::expected::mix;
use crate::seen::Seen;
use crate::server::{Server, ServerIdx};

/// Length of a prompt, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the request's own.
    pub own: u64,
    /// Tokens of the parts before, which other requests have too.
    pub shared: u64,
}

/// A request that needs a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pick<'a> {
    /// The time now.
    pub now: Micros,
    /// Hash of the prompt's prefix; 0 when there is none.
    pub prefix: u64,
    /// Length of the prompt; nothing where it isn't told.
    pub prompt: Prompt,
    /// Time to the first event that the caller hopes for.
    pub aim: Micros,
    /// Servers that were tried for this request.
    pub exclude: &'a [ServerIdx],
    /// Failure domains that the request may go to; all where there is nothing.
    pub domains: Option<&'a HashSet<DomainName>>,
    /// Whether it is one of a trial, which certain servers are for.
    pub is_canary: bool,
    /// Whether the request may be the probe of an ejected server; not for one that
    /// may run at most once.
    pub may_probe: bool,
}

/// The servers of a pool, for one pick.
#[derive(Debug)]
pub struct View<'a> {
    pub(crate) servers: &'a [Server],
    pub(crate) open: &'a [u32],
    pub(crate) hashes: &'a [u64],
    pub(crate) pick: &'a Pick<'a>,
    pub(crate) pool: &'a PoolTimes,
    pub(crate) seed: u64,
    /// Prefixes that servers have read.
    pub(crate) read: &'a Seen,
    /// Time in which a server of ordinary speed reads a token (µs); 0 when unknown.
    pub(crate) read_time: f64,
}

impl<'a> View<'a> {
    /// The request.
    #[must_use]
    pub fn pick(&self) -> &Pick<'a> {
        self.pick
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.pick.now
    }

    /// Sets this router apart from the others.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Slots of the servers that are members of the subset and not leaving. They may
    /// be ejected or excluded: see [`Self::can_take`].
    #[must_use]
    pub fn open(&self) -> &'a [u32] {
        self.open
    }

    /// Hashes of the names of [`Self::open`], in the same order and side by side: a
    /// rendezvous over all servers reads little memory.
    #[must_use]
    pub fn hashes(&self) -> &'a [u64] {
        self.hashes
    }

    /// The server in a slot.
    #[must_use]
    pub fn server(&self, slot: u32) -> &'a Server {
        &self.servers[slot as usize]
    }

    /// Whether long prompts should be kept away from the server: they would stall the
    /// streams there for longer than their callers accept.
    #[must_use]
    pub fn is_quiet(&self, slot: u32) -> bool {
        self.server(slot).is_quiet
    }

    /// Tokens of the prompt that the server has to read, as far as it is known: the shared
    /// parts are cached where a request with the same prefix went before.
    #[must_use]
    pub fn unread(&self, slot: u32) -> u64 {
        let pick = self.pick;
        let place = pair(pick.prefix, self.server(slot).start_hash());
        if pick.prefix != 0 && self.read.has(place, self.now()) {
            return pick.prompt.own;
        }
        pick.prompt.own + pick.prompt.shared
    }

    /// Tokens of other prompts that the server still has to read.
    #[must_use]
    pub fn ahead(&self, slot: u32) -> u64 {
        self.server(slot).unread.all(self.now())
    }

    /// Time in which the server reads `tokens` of prompts (µs); 0 while that isn't known.
    #[must_use]
    pub fn reading(&self, slot: u32, tokens: u64) -> f64 {
        tokens as f64 * self.read_time * self.server(slot).slower()
    }

    /// Whether the server may be given this request as ordinary work.
    #[must_use]
    pub fn can_take(&self, slot: u32) -> bool {
        self.server(slot).health.is_open() && !self.is_excluded(slot)
    }

    /// Whether the server may be given this request as its probe.
    #[must_use]
    pub fn can_probe(&self, slot: u32) -> bool {
        let health = &self.server(slot).health;
        self.pick.may_probe && health.wants_probe(self.now()) && !self.is_excluded(slot)
    }

    /// Whether an ejected server may be given this request where no other is left: a
    /// connection that is refused again costs no time, and nothing is sent.
    #[must_use]
    pub fn can_try(&self, slot: u32) -> bool {
        self.server(slot).health.is_refusing() && !self.is_excluded(slot)
    }

    /// Estimated requests at a server for each of its slots.
    ///
    /// All routers see the same reports, so each corrects only its own share of a
    /// difference between the servers; else together they would overshoot.
    #[must_use]
    pub fn load(&self, slot: u32) -> f64 {
        let server = self.server(slot);
        let load = server.load();
        let mean = self.pool.others;
        let excess = load.others(self.now()) - mean;
        let all = f64::from(load.in_flight()) + mean + self.pool.own_share() * excess;
        all.max(0.0) / f64::from(server.slots())
    }

    /// Expected time to the first token (µs) of a server of ordinary speed at `load`
    /// requests for each slot.
    #[must_use]
    pub fn expected_first(&self, load: f64) -> f64 {
        self.pool.expected(load)
    }

    /// Whether the request was tried there, or may not go to the server or to its failure domain.
    pub(crate) fn is_excluded(&self, slot: u32) -> bool {
        if self.server(slot).is_canary != self.pick.is_canary {
            return true;
        }
        let domain = self.server(slot).domain();
        if self
            .pick
            .domains
            .is_some_and(|allowed| !allowed.contains(domain))
        {
            return true;
        }
        let mut exclude = self.pick.exclude.iter();
        exclude.any(|idx| idx.slot == slot)
    }
}

/// A prefix at a server.
pub(crate) fn pair(prefix: u64, server: u64) -> u64 {
    mix(prefix ^ server.rotate_left(1))
}

/// Chooses a server for a request.
pub trait Policy: fmt::Debug + Send {
    /// Name of the policy.
    fn name(&self) -> &'static str;

    /// The slot of the server to use, one that [`View::can_take`].
    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32>;
}

/// An index below `len`, drawn evenly; `len` must not be 0.
pub(crate) fn draw(rng: &mut dyn Rng, len: usize) -> usize {
    let wide = u64::from(rng.next_u32()) * len as u64;
    (wide >> 32) as usize
}

/// Times of the whole pool, learned from what was seen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolTimes {
    /// Time to the first token of an idle server (µs), a geometric mean.
    base: Option<f64>,
    /// Time of a whole request (µs), a geometric mean.
    service: Option<f64>,
    /// Time of a token after the first (µs), a geometric mean.
    pace: Option<f64>,
    /// Own and others' requests at a server, on average.
    own: f64,
    others: f64,
}

/// Weight of a new sample; in logarithms, so that outliers weigh little.
const GAIN: f64 = 0.02;
/// Growth of the time to the first token from an idle to a full server.
const SLOPE: f64 = 1.0;
/// Part of the service time that a server with all slots in use is expected to add,
/// and how steeply that falls off with its load.
const RISK: f64 = 0.1;
const RISK_POWER: i32 = 6;
/// Base time before any sample (µs).
const FIRST_BASE: f64 = 50_000.0;
/// Service time before any sample, in base times.
const FIRST_SERVICE: f64 = 10.0;

impl PoolTimes {
    pub(crate) fn new() -> Self {
        Self {
            base: None,
            service: None,
            pace: None,
            own: 0.0,
            others: 0.0,
        }
    }

    /// Expected time to the first token at `load` requests for each slot.
    pub(crate) fn expected(&self, load: f64) -> f64 {
        let base = self.base.unwrap_or(FIRST_BASE);
        base * (1.0 + SLOPE * load.min(1.0)) + self.queueing(load)
    }

    /// Takes a time to the first token seen at `load`, of a server `slowness` times
    /// slower than the pool.
    pub(crate) fn learn_first(&mut self, load: f64, time: f64, slowness: f64) {
        let free = (time / slowness - self.queueing(load)).max(time * 0.1);
        let base = (free / (1.0 + SLOPE * load.min(1.0))).max(1.0);
        self.base = Some(follow(self.base.unwrap_or(base), base));
    }

    /// Takes the own and the others' requests that a report shows.
    pub(crate) fn learn_load(&mut self, own: f64, others: f64) {
        self.own += GAIN * (own - self.own);
        self.others += GAIN * (others - self.others);
    }

    /// Own part of all requests at the servers.
    fn own_share(&self) -> f64 {
        let all = self.own + self.others;
        if all > 0.0 { self.own / all } else { 1.0 }
    }

    pub(crate) fn learn_service(&mut self, time: f64) {
        let time = time.max(1.0);
        self.service = Some(follow(self.service.unwrap_or(time), time));
    }

    /// Takes the time of a token; answers its ratio to the pool's.
    pub(crate) fn learn_pace(&mut self, pace: f64) -> f64 {
        let old = self.pace.unwrap_or(pace);
        self.pace = Some(follow(old, pace));
        pace / old
    }

    /// Wait at a server that has more requests than slots, and the risk of one that
    /// may soon: the load is an estimate.
    fn queueing(&self, load: f64) -> f64 {
        let base = self.base.unwrap_or(FIRST_BASE);
        let service = self.service.unwrap_or(base * FIRST_SERVICE);
        let risk = RISK * load.min(1.0).powi(RISK_POWER);
        service * (risk + (load - 1.0).max(0.0))
    }
}

/// The geometric mean after one more value.
fn follow(mean: f64, value: f64) -> f64 {
    mean * (value / mean).powf(GAIN)
}
