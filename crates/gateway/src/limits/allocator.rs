//! Decides how many permits a router gets for a limited server. No I/O; times are in milliseconds of
//! any monotonic clock.

use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::ServerInstance;

/// Fraction of the limit that a backup allocator permits while others may still ask the first one.
/// With permits that are valid for `1 + 1.5 / r` seconds, both together permit
/// `1.1 (5 r + 1.5)` requests in any 4 s, beyond two stocks of `1 + r / 4` and `1 + r / 40`.
const BACKUP_FRACTION: f64 = 0.1;
/// Permits in stock beyond one, in seconds of the limit: routers ask at intervals.
const STOCK_SECS: f64 = 0.25;
/// Requests for permits of one server that an allocator wants to get each second, beyond
/// [`QUERIES_PER_PERMIT`].
const MIN_QUERY_RATE: f64 = 10.0;
/// Requests for permits per permit issued, of a server with a high limit.
const QUERIES_PER_PERMIT: f64 = 0.75;
/// How long a router that asked counts as one of the sharers.
const SHARER_TIMEOUT_MS: u64 = 5_000;
/// Responses without a limit end it once none has named it for as long as this many permitted
/// requests take: some responses of a limited server may lack it.
const QUIET_REQUESTS: f64 = 4.0;
/// Bounds of that time.
const QUIET_MIN_MS: f64 = 2_000.0;
const QUIET_MAX_MS: f64 = 10_000.0;
/// A server that no router asked about for this long is forgotten.
const RETENTION_MS: u64 = 120_000;

/// The place of an allocator in the order of a server's allocators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It issues permits at the full rate.
    First,
    /// It issues permits at a fraction of the rate.
    Backup,
}

impl Role {
    fn fraction(self) -> f64 {
        match self {
            Self::First => 1.0,
            Self::Backup => BACKUP_FRACTION,
        }
    }
}

/// What a router knows of a server's limit by the server's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The limit that was named last (requests a second).
    pub rate: f64,
    /// Time since then.
    pub named: Duration,
    /// Time since the last response that named none.
    pub unnamed: Option<Duration>,
}

/// A router's request for permits.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The limited server.
    pub server: &'a ServerInstance,
    /// The router that asks.
    pub peer: &'a str,
    /// What it knows of the limit.
    pub observation: Observation,
    /// Number of permits that it asks for.
    pub want: u32,
}

/// The answer to a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// Number of permits.
    pub count: u32,
    /// The limit in force (requests a second); `None` if there is none.
    pub rate: Option<f64>,
    /// When to ask again.
    pub retry: Duration,
    /// Number of routers that ask for permits.
    pub sharers: u32,
}

/// Issues the permits of all servers that this router is an allocator of.
#[derive(Debug, Default)]
pub struct Allocator {
    buckets: HashMap<ServerInstance, Bucket>,
}

/// Token bucket of one server.
#[derive(Debug)]
struct Bucket {
    role: Role,
    rate: f64,
    named_at: u64,
    unnamed_at: Option<u64>,
    tokens: f64,
    filled_at: u64,
    /// When each router last asked.
    sharers: HashMap<String, u64>,
}

impl Bucket {
    /// Starts without permits, since another allocator may have issued all until now.
    fn new(now: u64, role: Role, observation: &Observation) -> Self {
        Self {
            role,
            rate: observation.rate,
            named_at: now.saturating_sub(observation.named.as_millis() as u64),
            unnamed_at: None,
            tokens: 0.0,
            filled_at: now,
            sharers: HashMap::new(),
        }
    }

    /// Adds the permits that have become due, at the rate and role so far.
    fn refill(&mut self, now: u64) {
        let secs = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        let rate = self.rate * self.role.fraction();
        let stock = 1.0 + rate * STOCK_SECS;
        self.tokens = (self.tokens + rate * secs).min(stock);
        self.filled_at = now;
    }

    fn observe(&mut self, now: u64, observation: &Observation) {
        let named_at = now.saturating_sub(observation.named.as_millis() as u64);
        if named_at >= self.named_at {
            (self.named_at, self.rate) = (named_at, observation.rate);
        }
        if let Some(unnamed) = observation.unnamed {
            let unnamed_at = now.saturating_sub(unnamed.as_millis() as u64);
            self.unnamed_at = self.unnamed_at.max(Some(unnamed_at));
        }
    }

    /// Whether the server has stopped naming its limit.
    fn is_over(&self) -> bool {
        let quiet = QUIET_REQUESTS / self.rate * 1_000.0;
        let quiet = quiet.clamp(QUIET_MIN_MS, QUIET_MAX_MS) as u64;
        self.unnamed_at
            .is_some_and(|unnamed_at| unnamed_at >= self.named_at + quiet)
    }

    /// Whole permits, up to `want`.
    fn take(&mut self, want: u32) -> u32 {
        let count = (self.tokens as u32).min(want);
        self.tokens -= f64::from(count);
        count
    }

    /// Counts the routers that share the permits, `peer` included.
    fn count_sharers(&mut self, now: u64, peer: &str) -> u32 {
        self.sharers.insert(peer.to_owned(), now);
        self.sharers
            .retain(|_, asked_at| now.saturating_sub(*asked_at) <= SHARER_TIMEOUT_MS);
        self.sharers.len() as u32
    }
}

impl Allocator {
    /// Answers a router that asks at `now`.
    pub fn allocate(&mut self, now: u64, role: Role, query: &Query<'_>) -> Allocation {
        let is_new = !self.buckets.contains_key(query.server);
        if is_new {
            self.buckets
                .retain(|_, bucket| now.saturating_sub(bucket.filled_at) <= RETENTION_MS);
        }
        let bucket = self
            .buckets
            .entry(query.server.clone())
            .or_insert_with(|| Bucket::new(now, role, &query.observation));
        bucket.refill(now);
        bucket.role = role;
        bucket.observe(now, &query.observation);
        // A limit that fell or a role that changed leaves no stock of before.
        bucket.refill(now);
        let sharers = bucket.count_sharers(now, query.peer);
        if bucket.is_over() {
            return Allocation {
                count: 0,
                rate: None,
                retry: Duration::ZERO,
                sharers,
            };
        }
        let query_rate = MIN_QUERY_RATE + QUERIES_PER_PERMIT * bucket.rate;
        Allocation {
            count: bucket.take(query.want),
            rate: Some(bucket.rate),
            retry: Duration::from_secs_f64(f64::from(sharers) / query_rate),
            sharers,
        }
    }

    /// Number of servers that permits are issued for.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there is no such server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
