//! State of one backend server as a router knows it.

use swiftlink_types::{DomainName, Micros, ServerInstance, ServerName, VersionName, VmName};

use crate::backlog::PrefillBacklog;
use crate::health::Health;
use crate::load::Load;
use crate::slowness::Slowness;
use crate::speed::{SampleSums, SharedSpeed, WorkEstimate};
use crate::timing::EventGap;
use crate::update::PendingUpdate;

/// Identifies a server instance within a [`crate::Fleet`]; never reused for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerIdx {
    pub(crate) index: u32,
    pub(crate) generation: u32,
}

impl ServerIdx {
    /// Position in the fleet's table; for policies.
    #[must_use]
    pub fn index(self) -> usize {
        self.index as usize
    }
}

/// One request sent to a server. Has to be ended by exactly one of the fleet's `on_end`, `on_error`
/// and `on_abandoned`.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dispatch has to be ended"]
pub struct Dispatch {
    /// The server.
    pub idx: ServerIdx,
    /// When it was sent.
    pub at: Micros,
    /// Tokens of the answer so far, if the caller of the fleet counts them.
    pub tokens: u64,
    /// Prompt tokens of this request that the server has to prefill.
    pub(crate) prefill: u64,
    /// The server's prefill backlog in front of it (tokens).
    pub(crate) backlog: u64,
    /// Estimate of the tokens that the server has to prefill for this request, given that other
    /// routers may have sent it the shared part.
    pub(crate) work: WorkEstimate,
    pub(crate) first_at: Option<Micros>,
    /// Load at the time of sending, in thousandths of the server's slots.
    pub(crate) load: u32,
}

impl Dispatch {
    /// Prompt tokens of this request that the server has to prefill, as far as is known.
    #[must_use]
    pub fn prefill_tokens(&self) -> u64 {
        self.prefill
    }
}

/// State of one server instance, as policies see it.
#[derive(Clone, Debug)]
pub struct Server {
    pub(crate) instance: ServerInstance,
    pub(crate) domain: DomainName,
    pub(crate) vm: Option<VmName>,
    /// Hash of its name.
    pub(crate) hash: u64,
    pub(crate) instance_hash: u64,
    pub(crate) generation: u32,
    pub(crate) slots: u32,
    pub(crate) is_local: bool,
    /// Whether it is in the subset that this router uses.
    pub(crate) is_member: bool,
    /// Whether it gets no new requests: its configuration drains it, or it announced that it is
    /// draining.
    pub(crate) is_drained: bool,
    /// Version of its software.
    pub(crate) version: Option<VersionName>,
    /// Whether a rollout excludes its version.
    pub(crate) is_excluded: bool,
    /// Whether it takes canary requests, and no others.
    pub(crate) is_canary: bool,
    /// Whether its VM is leaving, or has disappeared from the VM list.
    pub(crate) is_vm_leaving: bool,
    /// Whether operators have drained its failure domain.
    pub(crate) is_domain_drained: bool,
    /// Whether it asked for a backoff that isn't over.
    pub(crate) is_backed_off: bool,
    /// Whether it limits its rate and this router may send it nothing for now.
    pub(crate) is_throttled: bool,
    /// Whether it crashes if it has to refuse requests.
    pub(crate) is_brittle: bool,
    /// End of the longest backoff that it asked for; 0 when it never did.
    pub(crate) backoff_until: Micros,
    /// When it becomes warm; 0 when it never was cold.
    pub(crate) cold_until: Micros,
    /// Whether its VM has been in the VM list.
    pub(crate) was_listed: bool,
    /// When its own answer said that it is draining.
    pub(crate) draining_at: Option<Micros>,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Slowness by the time to the first token, and by the time per token after it.
    pub(crate) ttft: Slowness,
    pub(crate) inter_token: Slowness,
    /// Speed by the gaps between events.
    pub(crate) event_gap: EventGap,
    /// Its gap between events relative to the pool's median; 1 when unknown.
    pub(crate) gap_ratio: f64,
    /// Its speed as all routers know it.
    pub(crate) shared_speed: Option<SharedSpeed>,
    /// Samples of its speed that haven't been reported.
    pub(crate) samples: SampleSums,
    /// Whether it is isolated from long prompts.
    pub(crate) is_isolated: bool,
    /// Prompt tokens that it has still to process.
    pub(crate) backlog: PrefillBacklog,
    /// Observations that peers don't have yet.
    pub(crate) pending: PendingUpdate,
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

    /// Its name and start time.
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
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// Requests that it runs concurrently.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots.max(1)
    }

    /// Hash of its name, for rendezvous hashing; the same at every router.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Hash of its name and start time. Identifies its prefix cache, which a restart clears.
    #[must_use]
    pub fn instance_hash(&self) -> u64 {
        self.instance_hash
    }

    /// Its load.
    #[must_use]
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Its gap between events relative to the pool's median: how many times slower it is, below 1
    /// when it is faster.
    #[must_use]
    pub fn gap_ratio(&self) -> f64 {
        self.gap_ratio
    }

    /// Time that work takes there relative to an ordinary server: the ratio that all routers know,
    /// or its gap ratio if it is unknown or that of an ordinary server.
    pub(crate) fn time_ratio(&self) -> f64 {
        match self.shared_speed {
            Some(speed) if speed.ratio != 1.0 => speed.ratio,
            _ => self.gap_ratio,
        }
    }

    /// Its share of the prefixes relative to an ordinary server's; 1 when unknown.
    pub(crate) fn share(&self) -> f64 {
        self.shared_speed.map_or(1.0, |speed| speed.share)
    }

    /// Its health.
    #[must_use]
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Whether it is draining, by any of three signals: its [`ServerSpec`](crate::ServerSpec), the
    /// VM list, its own answers.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_drained || self.is_vm_leaving || self.draining_at.is_some()
    }

    /// Whether it may get work: it may get that of its own version, and no rollout excludes it.
    pub(crate) fn is_available(&self) -> bool {
        !self.is_excluded && self.is_available_to_own()
    }

    /// Whether it may get requests that its version began: it is a member of this router's subset,
    /// and neither draining, backed off, throttled nor in a drained failure domain.
    pub(crate) fn is_available_to_own(&self) -> bool {
        let is_held_back = self.is_backed_off || self.is_throttled;
        self.is_member && !self.is_domain_drained && !is_held_back && !self.is_draining()
    }

    /// Whether it runs fewer requests than it has slots, as far as this router knows.
    #[must_use]
    pub fn has_free_slot(&self, now: Micros) -> bool {
        self.load.latest(now) < self.slots()
    }

    /// How many times slower it is than the pool, by the time to the first token at equal load or
    /// by the time per token; 1 when unknown or not much slower.
    #[must_use]
    pub fn slowness(&self, now: Micros) -> f64 {
        self.ttft.get(now).max(self.inter_token.get(now))
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
    pub(crate) fn on_answered(&mut self, dispatch: &Dispatch) {
        if dispatch.first_at.is_some() {
            return;
        }
        self.unanswered = self.unanswered.saturating_sub(1);
        self.sent_sum = self.sent_sum.saturating_sub(dispatch.at);
        if dispatch.prefill > 0 {
            self.backlog.remove(dispatch.prefill);
            self.pending.is_due = true;
        }
    }
}

/// Summary of one server, for dumps.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub idx: ServerIdx,
    /// Its name.
    pub name: ServerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it is in the subset that this router uses.
    pub member: bool,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Running and queued requests in the last report.
    pub reported: u32,
    /// Estimated requests at the server now.
    pub load: f64,
    /// How many times slower than the pool it is.
    pub slowness: f64,
    /// Share of errors among recent results.
    pub error_share: f64,
    /// End of its ejection, if it is ejected.
    pub ejected_until: Option<Micros>,
}
