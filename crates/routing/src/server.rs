//! What a router knows of one backend server.

use swiftlink_types::{DomainName, Micros, ServerInstance, ServerName, VmName};

use crate::flow::Pace;
use crate::health::Health;
use crate::load::Load;
use crate::note::News;
use crate::slowness::Slowness;
use crate::unread::Unread;

/// Names a start of a server within a [`crate::Fleet`]; never reused for another one.
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
    /// Tokens of the answer so far, if the caller of the fleet counts them.
    pub tokens: u64,
    /// Tokens of the prompt that the server has to read.
    pub(crate) unread: u64,
    /// The same of those before it.
    pub(crate) ahead: u64,
    pub(crate) first_at: Option<Micros>,
    /// Load at the time of sending, in thousandths of the server's slots.
    pub(crate) load: u32,
}

/// State of one start of a server, as policies see it.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) instance: ServerInstance,
    pub(crate) domain: DomainName,
    pub(crate) vm: Option<VmName>,
    pub(crate) hash: u64,
    pub(crate) start_hash: u64,
    pub(crate) generation: u32,
    pub(crate) slots: u32,
    pub(crate) is_home: bool,
    pub(crate) is_member: bool,
    pub(crate) is_drained: bool,
    /// Whether it takes the requests of a trial, and no others.
    pub(crate) is_canary: bool,
    pub(crate) is_listed_out: bool,
    /// Whether operators have emptied its failure domain.
    pub(crate) is_emptied: bool,
    /// Whether it asked for rest that isn't over.
    pub(crate) is_resting: bool,
    /// Until when it asked for rest; 0 when it never did.
    pub(crate) rests_until: Micros,
    /// Until when it is cold; 0 when it never was.
    pub(crate) cold_until: Micros,
    pub(crate) was_listed: bool,
    /// When its own answer said that it is leaving.
    pub(crate) draining_at: Option<Micros>,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Slowness by the time to the first token, and by the pace of tokens after it.
    pub(crate) first: Slowness,
    pub(crate) pace: Slowness,
    /// Speed by the pauses between events.
    pub(crate) flow: Pace,
    /// How many times slower than the pool it is by that; 1 when unknown.
    pub(crate) slower: f64,
    /// Whether long prompts are kept away from it.
    pub(crate) is_quiet: bool,
    /// Prompts that it has to read.
    pub(crate) unread: Unread,
    /// What peers were not told yet.
    pub(crate) news: News,
    /// Dispatches without a first token yet, and the sum of their send times.
    pub(crate) unanswered: u32,
    pub(crate) sent_sum: u64,
}

impl Server {
    /// Its name.
    #[must_use]
    pub fn name(&self) -> &ServerName {
        &self.instance.name
    }

    /// Its name, and when it started.
    #[must_use]
    pub fn instance(&self) -> &ServerInstance {
        &self.instance
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

    /// Hash of its name and of its start: what it has read is kept by it.
    #[must_use]
    pub fn start_hash(&self) -> u64 {
        self.start_hash
    }

    /// Its load.
    #[must_use]
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// How many times slower than the pool's usual server it is, by the pauses between
    /// events; below 1 when it is faster.
    #[must_use]
    pub fn slower(&self) -> f64 {
        self.slower
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

    /// Whether it may get work: this router uses it, and nobody wants it to get none.
    pub(crate) fn may_work(&self) -> bool {
        self.is_member && !self.is_emptied && !self.is_resting && !self.is_leaving()
    }

    /// How many times slower it is than the pool, by the time to the first token at
    /// equal load or by the pace of tokens; 1 when unknown or not much slower.
    #[must_use]
    pub fn slowness(&self, now: Micros) -> f64 {
        self.first.get(now).max(self.pace.get(now))
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
        if sent.first_at.is_some() {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        self.sent_sum = self.sent_sum.saturating_sub(sent.at);
        if sent.unread > 0 {
            self.unread.remove(sent.unread);
            self.news.is_due = true;
        }
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
