//! Input and output of a routing policy.

use std::collections::HashSet;
use std::fmt;

use rand::Rng;
use swiftlink_types::{DomainName, Micros, VersionName};

use crate::expected::mix;
use crate::recent::RecentPrefixes;
use crate::server::{Server, ServerIdx};

/// Length of a prompt, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens that belong to this request only.
    pub own: u64,
    /// Tokens of the leading part that other requests have in common.
    pub shared: u64,
}

/// What a policy knows of the request that needs a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickArgs<'a> {
    /// The time now.
    pub now: Micros,
    /// Hash of the prompt's prefix; 0 when there is none.
    pub prefix: u64,
    /// Length of the prompt; zero when unknown.
    pub prompt: Prompt,
    /// Target for the time to the first event.
    pub ttft_target: Micros,
    /// Servers that were tried for this request.
    pub exclude: &'a [ServerIdx],
    /// Failure domains that the request may go to; `None` allows all.
    pub domains: Option<&'a HashSet<DomainName>>,
    /// Version of the software that the request must run on, whatever a rollout says of it.
    pub version: Option<&'a VersionName>,
    /// Versions that the request must not run on.
    pub barred: &'a [VersionName],
    /// Whether it is a canary request, which goes to canary servers only.
    pub is_canary: bool,
    /// Whether the request may be the probe of an ejected server; false for one that may run at
    /// most once.
    pub may_probe: bool,
}

/// The servers of a pool, for one pick.
#[derive(Debug)]
pub struct View<'a> {
    pub(crate) servers: &'a [Server],
    pub(crate) open: &'a [u32],
    pub(crate) hashes: &'a [u64],
    /// Shares of the prefixes, in the order of `open`; empty while they are equal.
    pub(crate) shares: &'a [f64],
    pub(crate) max_share: f64,
    pub(crate) args: &'a PickArgs<'a>,
    pub(crate) pool: &'a PoolStats,
    pub(crate) seed: u64,
    /// Pairs of a prefix and a server that were used recently; see [`cache_key`].
    pub(crate) cached: &'a RecentPrefixes,
    /// Prefill time per token of a server of ordinary speed (µs); 0 when unknown.
    pub(crate) per_token: f64,
}

impl<'a> View<'a> {
    /// What is known of the request.
    #[must_use]
    pub fn args(&self) -> &PickArgs<'a> {
        self.args
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.args.now
    }

    /// Seed that differs between routers.
    #[must_use]
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Indices of the servers that are members of the subset and available. They may be ejected or
    /// excluded: see [`Self::can_take`].
    #[must_use]
    pub fn open(&self) -> &'a [u32] {
        self.open
    }

    /// Name hashes of [`Self::open`], in the same order and contiguous, so that rendezvous hashing
    /// over all servers reads little memory.
    #[must_use]
    pub fn hashes(&self) -> &'a [u64] {
        self.hashes
    }

    /// The server at an index.
    #[must_use]
    pub fn server(&self, index: u32) -> &'a Server {
        &self.servers[index as usize]
    }

    /// Whether the server is isolated from long prompts, whose prefill would stall its streams for
    /// longer than their callers accept.
    #[must_use]
    pub fn is_isolated(&self, index: u32) -> bool {
        self.server(index).is_isolated
    }

    /// Estimated prompt tokens that the server has to prefill: the shared part is cached where a
    /// request with the same prefix went recently.
    #[must_use]
    pub fn prefill_tokens(&self, index: u32) -> u64 {
        let args = self.args;
        let key = cache_key(args.prefix, self.server(index).instance_hash());
        if args.prefix != 0 && self.cached.contains(key, self.now()) {
            return args.prompt.own;
        }
        args.prompt.own + args.prompt.shared
    }

    /// Prefill backlog of the server: tokens of other prompts that it has still to process.
    #[must_use]
    pub fn backlog(&self, index: u32) -> u64 {
        self.server(index).backlog.total(self.now())
    }

    /// Time to prefill `tokens` at the server (µs); 0 while the speed is unknown.
    #[must_use]
    pub fn prefill_time(&self, index: u32, tokens: u64) -> f64 {
        let server = self.server(index);
        let transient = server.load.transient_factor(self.now());
        let ratio = if self.has_shares() {
            server.time_ratio()
        } else {
            server.gap_ratio()
        };
        tokens as f64 * self.per_token * ratio * transient
    }

    /// Time to prefill `tokens` at a server of ordinary speed (µs); 0 while the speed is unknown.
    #[must_use]
    pub fn ordinary_time(&self, tokens: f64) -> f64 {
        tokens * self.per_token
    }

    /// Time until the server has processed the prompts in front of this one (µs), as far as this
    /// router knows them.
    #[must_use]
    pub fn time_until_free(&self, index: u32) -> f64 {
        self.prefill_time(index, self.backlog(index))
    }

    /// Whether all routers know that the servers differ in speed.
    #[must_use]
    pub fn has_shares(&self) -> bool {
        !self.shares.is_empty()
    }

    /// Rank of the server at a position of [`Self::open`] for the request's prefix, by rendezvous
    /// hashing weighted by the servers' shares. The highest is the prefix's home.
    #[must_use]
    pub fn rendezvous_rank(&self, position: usize) -> u64 {
        let hash = mix(self.hashes[position] ^ self.args.prefix);
        let Some(share) = self.shares.get(position) else {
            return hash;
        };
        weighted_rank(hash, *share)
    }

    /// Whether the server can take this request as regular work.
    #[must_use]
    pub fn can_take(&self, index: u32) -> bool {
        let server = self.server(index);
        server.health.is_open()
            && !self.is_excluded(index)
            && (!server.is_brittle || server.has_free_slot(self.now()))
    }

    /// Whether the server can take this request as its probe.
    #[must_use]
    pub fn can_probe(&self, index: u32) -> bool {
        let health = &self.server(index).health;
        self.args.may_probe && health.wants_probe(self.now()) && !self.is_excluded(index)
    }

    /// Whether to try an ejected server again when no other is left: a refused connection costs no
    /// time, and nothing is sent. Servers of barred versions may be left.
    #[must_use]
    pub fn can_reconnect(&self, index: u32) -> bool {
        let is_last = self.args.barred.is_empty() && !self.is_excluded(index);
        is_last && self.server(index).health.is_refusing()
    }

    /// Estimated requests per slot of a server.
    ///
    /// All routers see the same reports, so each corrects only its own share of an imbalance
    /// between the servers; otherwise they would overshoot together.
    #[must_use]
    pub fn load(&self, index: u32) -> f64 {
        let server = self.server(index);
        let load = server.load();
        let mean = self.pool.others;
        let excess = load.others(self.now()) - mean;
        let all = f64::from(load.in_flight()) + mean + self.pool.own_share() * excess;
        all.max(0.0) / f64::from(server.slots())
    }

    /// Expected time to the first token (µs) of a server of ordinary speed at `load` requests per
    /// slot.
    #[must_use]
    pub fn expected_ttft(&self, load: f64) -> f64 {
        self.pool.expected(load)
    }

    /// Whether the request was tried there, or may not go to the server, its version or its failure
    /// domain.
    pub(crate) fn is_excluded(&self, index: u32) -> bool {
        let server = self.server(index);
        let is_other_version = match self.args.version {
            Some(version) => server.version.as_ref() != Some(version),
            None => server.is_canary != self.args.is_canary,
        };
        let barred = self.args.barred;
        let is_barred = |version| barred.contains(version);
        if is_other_version || server.version.as_ref().is_some_and(is_barred) {
            return true;
        }
        let domain = server.domain();
        if self
            .args
            .domains
            .is_some_and(|allowed| !allowed.contains(domain))
        {
            return true;
        }
        let mut exclude = self.args.exclude.iter();
        exclude.any(|idx| idx.index == index)
    }
}

/// Rank by weighted rendezvous hashing: the highest of several belongs to each with a probability
/// in proportion to its share. The bits of positive floating-point numbers have their order.
fn weighted_rank(hash: u64, share: f64) -> u64 {
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    (share / -unit.ln()).to_bits()
}

/// Key of a prefix cached at a server instance.
pub(crate) fn cache_key(prefix: u64, server: u64) -> u64 {
    mix(prefix ^ server.rotate_left(1))
}

/// Chooses a server for a request.
pub trait Policy: fmt::Debug + Send {
    /// Name of the policy.
    fn name(&self) -> &'static str;

    /// Index of the chosen server, one that [`View::can_take`]; `None` when there is none.
    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32>;

    /// Whether the server is the home of the last request's prefix, so that its shared part is
    /// probably cached there.
    fn is_home(&self, _index: u32) -> bool {
        false
    }
}

/// A uniformly random index below `len`, which must not be 0.
pub(crate) fn draw(rng: &mut dyn Rng, len: usize) -> usize {
    let wide = u64::from(rng.next_u32()) * len as u64;
    (wide >> 32) as usize
}

/// Latencies and load of the whole pool, estimated from all servers' samples.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolStats {
    /// Time to the first token of an idle server (µs), a geometric mean.
    base: Option<f64>,
    /// Time of a whole request (µs), a geometric mean.
    service: Option<f64>,
    /// Time per token after the first (µs), a geometric mean.
    inter_token: Option<f64>,
    /// Mean requests at a server: this router's, and those of other routers.
    own: f64,
    others: f64,
}

/// Weight of a new sample. Times are averaged as logarithms, so outliers weigh little.
const EWMA_WEIGHT: f64 = 0.02;
/// Relative growth of the time to the first token from an idle to a full server.
const LOAD_SLOPE: f64 = 1.0;
/// Fraction of the service time that a server with all slots in use is expected to add, and the
/// power with which it falls off at lower load.
const QUEUE_RISK: f64 = 0.1;
const QUEUE_RISK_POWER: i32 = 6;
/// Base time before any sample (µs).
const INITIAL_BASE: f64 = 50_000.0;
/// Service time before any sample, as a multiple of the base time.
const INITIAL_SERVICE: f64 = 10.0;

impl PoolStats {
    pub(crate) fn new() -> Self {
        Self {
            base: None,
            service: None,
            inter_token: None,
            own: 0.0,
            others: 0.0,
        }
    }

    /// Expected time to the first token (µs) at `load` requests per slot.
    pub(crate) fn expected(&self, load: f64) -> f64 {
        let base = self.base.unwrap_or(INITIAL_BASE);
        base * (1.0 + LOAD_SLOPE * load.min(1.0)) + self.queueing(load)
    }

    /// Learns from a time to the first token at `load`, of a server `slowness` times slower than
    /// the pool.
    pub(crate) fn learn_ttft(&mut self, load: f64, time: f64, slowness: f64) {
        let free = (time / slowness - self.queueing(load)).max(time * 0.1);
        let base = (free / (1.0 + LOAD_SLOPE * load.min(1.0))).max(1.0);
        self.base = Some(geometric_ewma(self.base.unwrap_or(base), base));
    }

    /// Learns from the own and the others' requests that a report shows.
    pub(crate) fn learn_load(&mut self, own: f64, others: f64) {
        self.own += EWMA_WEIGHT * (own - self.own);
        self.others += EWMA_WEIGHT * (others - self.others);
    }

    /// This router's share of all requests at the servers.
    fn own_share(&self) -> f64 {
        let all = self.own + self.others;
        if all > 0.0 { self.own / all } else { 1.0 }
    }

    pub(crate) fn learn_service(&mut self, time: f64) {
        let time = time.max(1.0);
        self.service = Some(geometric_ewma(self.service.unwrap_or(time), time));
    }

    /// Learns from a time per token; returns its ratio to the pool's.
    pub(crate) fn learn_inter_token(&mut self, inter_token: f64) -> f64 {
        let old = self.inter_token.unwrap_or(inter_token);
        self.inter_token = Some(geometric_ewma(old, inter_token));
        inter_token / old
    }

    /// Wait at a server with more requests than slots, plus the risk of a wait at one that may have
    /// more soon: the load is an estimate.
    fn queueing(&self, load: f64) -> f64 {
        let base = self.base.unwrap_or(INITIAL_BASE);
        let service = self.service.unwrap_or(base * INITIAL_SERVICE);
        let risk = QUEUE_RISK * load.min(1.0).powi(QUEUE_RISK_POWER);
        service * (risk + (load - 1.0).max(0.0))
    }
}

/// Geometric mean updated with one more value.
fn geometric_ewma(mean: f64, value: f64) -> f64 {
    mean * (value / mean).powf(EWMA_WEIGHT)
}
