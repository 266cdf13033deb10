//! Settings of the router daemon.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftlink_settings::{CheckError, Common, LinkPeer, check_peers};

/// Settings of `swiftlink-router`. Times are in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings common to all daemons.
    #[serde(flatten)]
    pub common: Common,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Address of the platform's VM list. Without it, the router learns which backend servers
    /// leave only from the resources and from the servers' own answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<SocketAddr>,
    /// Number of budget streams; must be the same in the whole fleet.
    #[serde(default = "defaults::shards")]
    pub shards: u32,
    /// Largest request body (bytes).
    #[serde(default = "defaults::body_limit")]
    pub body_limit: usize,
    /// Memory for the bodies of all requests (bytes).
    #[serde(default = "defaults::body_memory")]
    pub body_memory: usize,
    /// Time limit of a request whose caller sets no deadline.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: u64,
    /// Age over which the configuration counts as stale.
    #[serde(default = "defaults::stale_ms")]
    pub stale_ms: u64,
    /// Largest number of ledgers pinged per second to learn whether they can reach the log. In a
    /// fleet with more than twice as many, only the age of the configuration counts.
    #[serde(default = "defaults::ping_sample")]
    pub ping_sample: usize,
    /// Age over which a request key is refused.
    #[serde(default = "defaults::key_window_ms")]
    pub key_window_ms: u64,
    /// Number of dispatched keys kept in the history.
    #[serde(default = "defaults::key_memory")]
    pub key_memory: usize,
    /// Time between two marks of settled keys.
    #[serde(default = "defaults::mark_ms")]
    pub mark_ms: u64,
    /// Longest wait of a request for a claim of quota.
    #[serde(default = "defaults::claim_wait_ms")]
    pub claim_wait_ms: u64,
    /// Backoff between claims after the log answered that the budget is empty.
    #[serde(default = "defaults::claim_pause_ms")]
    pub claim_pause_ms: u64,
    /// Longest wait of a non-idempotent request for the log to decide its intent.
    #[serde(default = "defaults::intent_wait_ms")]
    pub intent_wait_ms: u64,
    /// Longest time for which a refusal waits until the log has released the reserved key.
    #[serde(default = "defaults::abandon_wait_ms")]
    pub abandon_wait_ms: u64,
    /// Longest wait for one ledger to decide a record before another is tried.
    #[serde(default = "defaults::ledger_try_ms")]
    pub ledger_try_ms: u64,
    /// Longest time for which the end of an answer waits until a ledger has stored the charge.
    #[serde(default = "defaults::settle_wait_ms")]
    pub settle_wait_ms: u64,
    /// Time after which a stored but undecided charge is also sent to another ledger.
    #[serde(default = "defaults::settle_retry_ms")]
    pub settle_retry_ms: u64,
    /// Time between polls of the backend servers' load.
    #[serde(default = "defaults::report_ms")]
    pub report_ms: u64,
    /// Time between polls of the VM list.
    #[serde(default = "defaults::vms_ms")]
    pub vms_ms: u64,
    /// Timeout of a connection to a backend server or peer.
    #[serde(default = "defaults::connect_ms")]
    pub connect_ms: u64,
    /// Period and timeout of the probes of a peer router that a relayed request waits for; after
    /// two unanswered probes in a row the peer is given up.
    #[serde(default = "defaults::peer_ms")]
    pub peer_ms: u64,
    /// Silence of an engine during an answer after which the stream is resumed.
    #[serde(default = "defaults::stall_ms")]
    pub stall_ms: u64,
    /// Time for which an engine that became unreachable during an answer is retried.
    #[serde(default = "defaults::resume_ms")]
    pub resume_ms: u64,
    /// Time for which an answer runs on after its caller disconnected, so that it can be resumed.
    #[serde(default = "defaults::orphan_ms")]
    pub orphan_ms: u64,
    /// Time after which an interrupted answer is charged in part, unless its key is charged before.
    #[serde(default = "defaults::partial_ms")]
    pub partial_ms: u64,
    /// Time limit of a graceful shutdown.
    #[serde(default = "defaults::stop_ms")]
    pub stop_ms: u64,
    /// Path of the load report of plain services; empty if they have none.
    #[serde(default = "defaults::service_load")]
    pub service_load: String,
    /// Number of backend servers of one pool that this router polls and sends requests to; the
    /// others get no work from it.
    #[serde(default = "defaults::subset")]
    pub subset: usize,
    /// All ledgers of the fleet.
    pub ledgers: Vec<LinkPeer>,
    /// Other routers, by their addresses for callers, as targets of relayed requests.
    #[serde(default)]
    pub peers: Vec<LinkPeer>,
}

/// Default values.
mod defaults {
    pub(super) fn shards() -> u32 {
        4
    }
    pub(super) fn body_limit() -> usize {
        1 << 20
    }
    pub(super) fn body_memory() -> usize {
        64 << 20
    }
    pub(super) fn deadline_ms() -> u64 {
        120_000
    }
    pub(super) fn stale_ms() -> u64 {
        5_000
    }
    pub(super) fn ping_sample() -> usize {
        32
    }
    pub(super) fn key_window_ms() -> u64 {
        600_000
    }
    pub(super) fn key_memory() -> usize {
        1 << 17
    }
    pub(super) fn mark_ms() -> u64 {
        30_000
    }
    pub(super) fn claim_wait_ms() -> u64 {
        1_000
    }
    pub(super) fn claim_pause_ms() -> u64 {
        100
    }
    pub(super) fn intent_wait_ms() -> u64 {
        2_000
    }
    pub(super) fn abandon_wait_ms() -> u64 {
        200
    }
    pub(super) fn ledger_try_ms() -> u64 {
        400
    }
    pub(super) fn settle_wait_ms() -> u64 {
        2_000
    }
    pub(super) fn settle_retry_ms() -> u64 {
        2_000
    }
    pub(super) fn report_ms() -> u64 {
        1_500
    }
    pub(super) fn vms_ms() -> u64 {
        1_000
    }
    pub(super) fn connect_ms() -> u64 {
        500
    }
    pub(super) fn peer_ms() -> u64 {
        1_000
    }
    pub(super) fn stall_ms() -> u64 {
        5_000
    }
    pub(super) fn resume_ms() -> u64 {
        5_000
    }
    pub(super) fn orphan_ms() -> u64 {
        60_000
    }
    pub(super) fn partial_ms() -> u64 {
        60_000
    }
    pub(super) fn stop_ms() -> u64 {
        30_000
    }
    pub(super) fn service_load() -> String {
        String::new()
    }
    pub(super) fn subset() -> usize {
        32
    }
}

/// Largest number of budget streams.
const MAX_SHARDS: u32 = 4_096;

impl swiftlink_settings::Settings for Settings {
    fn common(&self) -> &Common {
        &self.common
    }

    fn check(&self) -> Result<(), CheckError> {
        if self.shards == 0 || self.shards > MAX_SHARDS {
            let detail = format!("must be from 1 to {MAX_SHARDS}");
            return Err(CheckError::new("shards", detail));
        }
        if self.ledgers.is_empty() {
            return Err(CheckError::new("ledgers", "needs at least one ledger"));
        }
        check_peers("ledgers", &self.ledgers)?;
        check_peers("peers", &self.peers)?;
        for (key, value) in self.positive_times() {
            if value == 0 {
                return Err(CheckError::new(key, "must be more than 0"));
            }
        }
        if self.body_limit == 0 {
            return Err(CheckError::new("body_limit", "must be more than 0"));
        }
        if self.body_memory == 0 {
            return Err(CheckError::new("body_memory", "must be more than 0"));
        }
        if self.key_memory == 0 {
            return Err(CheckError::new("key_memory", "must be more than 0"));
        }
        if self.ping_sample == 0 {
            return Err(CheckError::new("ping_sample", "must be more than 0"));
        }
        if self.subset == 0 {
            return Err(CheckError::new("subset", "must be more than 0"));
        }
        Ok(())
    }
}

impl Settings {
    fn positive_times(&self) -> [(&'static str, u64); 12] {
        [
            ("deadline_ms", self.deadline_ms),
            ("stale_ms", self.stale_ms),
            ("key_window_ms", self.key_window_ms),
            ("mark_ms", self.mark_ms),
            ("claim_wait_ms", self.claim_wait_ms),
            ("intent_wait_ms", self.intent_wait_ms),
            ("ledger_try_ms", self.ledger_try_ms),
            ("settle_retry_ms", self.settle_retry_ms),
            ("report_ms", self.report_ms),
            ("vms_ms", self.vms_ms),
            ("connect_ms", self.connect_ms),
            ("peer_ms", self.peer_ms),
        ]
    }

    /// Age over which the configuration counts as stale.
    #[must_use]
    pub fn stale(&self) -> Duration {
        Duration::from_millis(self.stale_ms)
    }

    /// Longest wait for one ledger to decide a record.
    #[must_use]
    pub fn ledger_try(&self) -> Duration {
        Duration::from_millis(self.ledger_try_ms)
    }

    /// Timeout of a connection to a backend server or peer.
    #[must_use]
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_ms)
    }
}
