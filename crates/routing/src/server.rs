//! What a router knows of one backend server.

use swiftlink_types::{DomainName, Micros, ServerName, VmName};

use crate::health::Health;
use crate::load::Load;

/// Names a server within a [`crate::Fleet`]; never reused for another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIdx {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

impl ServerIdx {
    /// Position in the fleet's table; for policies.
    #[must_use]
    pub fn slot(self) -> usize {
        self.slot as usize
    }
}

/// One dispatch in progress. Ends in exactly one of the fleet's `on_end`,
/// `on_error` and `on_unused`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dispatch has to be ended"]
pub struct Sent {
    /// The server.
    pub idx: ServerIdx,
    /// When it was sent.
    pub at: Micros,
    pub(crate) has_first: bool,
    /// Load at the time of sending, in thousandths of the server's slots.
    pub(crate) load: u32,
}

/// Half-life of a slowness that no request confirms (µs).
const SLOW_HALF: f64 = 20e6;
/// Limits of the slowness.
const SLOW_RANGE: (f64, f64) = (0.3, 50.0);
/// Weight of a sample that shows a server faster, and one that shows it slower. A wait
/// in the server's own queue looks like slowness, so it takes a run of slow answers.
const SLOW_GAIN: (f64, f64) = (0.4, 0.15);
/// Slowness below which servers count as alike.
const SLOW_LEAST: f64 = 1.5;
/// Its logarithm, rounded down.
const SLOW_LEAST_LN: f64 = 0.405;

/// State of one server, as policies see it.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) name: ServerName,
    pub(crate) domain: DomainName,
    pub(crate) vm: Option<VmName>,
    pub(crate) hash: u64,
    pub(crate) generation: u32,
    pub(crate) slots: u32,
    pub(crate) is_home: bool,
    pub(crate) is_member: bool,
    pub(crate) is_drained: bool,
    pub(crate) is_listed_out: bool,
    pub(crate) was_listed: bool,
    /// When its own answer said that it is leaving.
    pub(crate) draining_at: Option<Micros>,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Logarithm of the time to the first token against the pool's at equal load.
    pub(crate) slowness: f64,
    pub(crate) slow_at: Micros,
    /// Dispatches without a first token yet, and the sum of their send times.
    pub(crate) unanswered: u32,
    pub(crate) sent_sum: u64,
}

impl Server {
    /// Its name.
    #[must_use]
    pub fn name(&self) -> &ServerName {
        &self.name
    }

    /// Its failure domain.
    #[must_use]
    pub fn domain(&self) -> &DomainName {
        &self.domain
    }

    /// Whether it is in the router's own failure domain.
    #[must_use]
    pub fn is_home(&self) -> bool {
        self.is_home
    }

    /// Requests that it runs at once.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots.max(1)
    }

    /// Hash of its name, for rendezvous hashing; the same at every router.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Its load.
    #[must_use]
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Its health.
    #[must_use]
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Whether it is leaving, by any of the three signals: its resource, the VM
    /// list, its own answers.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_drained || self.is_listed_out || self.draining_at.is_some()
    }

    /// How many times slower it is than the pool at equal load; 1 when unknown or
    /// not much slower.
    #[must_use]
    pub fn slowness(&self, now: Micros) -> f64 {
        // The decay only lowers it: most servers end here.
        if self.slowness < SLOW_LEAST_LN {
            return 1.0;
        }
        let slowness = self.raw_slowness(now);
        if slowness < SLOW_LEAST { 1.0 } else { slowness }
    }

    pub(crate) fn raw_slowness(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.slow_at) as f64;
        (self.slowness * (-age / SLOW_HALF).exp2()).exp()
    }

    /// Mean age of the dispatches that have no first token yet (µs).
    #[must_use]
    pub fn unanswered_age(&self, now: Micros) -> Option<Micros> {
        if self.unanswered == 0 {
            return None;
        }
        let mean = self.sent_sum / u64::from(self.unanswered);
        Some(now.saturating_sub(mean))
    }

    pub(crate) fn on_sent(&mut self, now: Micros) {
        self.load.on_sent(now);
        self.health.on_sent();
        self.unanswered += 1;
        self.sent_sum += now;
    }

    /// The dispatch has its first token or will never have one.
    pub(crate) fn answered(&mut self, sent: &Sent) {
        if sent.has_first {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        self.sent_sum = self.sent_sum.saturating_sub(sent.at);
    }

    /// Takes the ratio of a time seen to the one the pool would have shown.
    pub(crate) fn learn_slowness(&mut self, now: Micros, ratio: f64) {
        let old = self.raw_slowness(now).ln();
        let seen = ratio.clamp(SLOW_RANGE.0, SLOW_RANGE.1).ln();
        let gain = if seen < old { SLOW_GAIN.0 } else { SLOW_GAIN.1 };
        self.slowness = old + gain * (seen - old);
        self.slow_at = now;
    }
}

/// One line of the fleet's dump.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub idx: ServerIdx,
    /// Its name.
    pub name: ServerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is in the subset that this router uses.
    pub member: bool,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Running and waiting requests, as last reported.
    pub reported: u32,
    /// Estimated requests at the server now.
    pub load: f64,
    /// Times slower than the pool.
    pub slowness: f64,
    /// Share of errors among recent results.
    pub error_share: f64,
    /// Ejected until then.
    pub ejected_until: Option<Micros>,
}
