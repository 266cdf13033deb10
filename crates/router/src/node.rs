//! What the parts of a router share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use swiftlink_stream::TokenSecret;
use swiftlink_telemetry::Metrics;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::charge::Settler;
use crate::claim::Claimers;
use crate::config::ConfigView;
use crate::fleet::Pools;
use crate::intent::Intents;
use crate::keys::Keys;
use crate::ledgers::Ledgers;
use crate::members::Memberships;
use crate::past::PastRuns;
use crate::peers::Peers;
use crate::reader::ReadOptions;
use crate::settings::Settings;
use swiftlink_gateway::upstream::SendOptions;

/// Shared state of one router process. The request path reads it without locks,
/// but for the short ones of a pool's queue and fleet.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Callers' address, as bound.
    pub address: SocketAddr,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// Links to the ledgers.
    pub ledgers: Arc<Ledgers>,
    /// Memberships of the budget streams.
    pub members: Arc<Memberships>,
    /// Starts the claimers of accounts.
    pub claimers: Claimers,
    /// Request keys in use.
    pub keys: Arc<Keys>,
    /// Request keys dispatched before.
    pub past: Arc<PastRuns>,
    /// Peer routers that requests were relayed to.
    pub peers: Arc<Peers>,
    /// Hands charges to ledgers.
    pub settler: Arc<Settler>,
    /// Intents of non-idempotent requests.
    pub intents: Arc<Intents>,
    /// Pools and their backend servers.
    pub pools: Arc<Pools>,
    /// Signs resume tokens.
    pub secret: TokenSecret,
    /// Runtime for work that outlives a caller's connection.
    pub runtime: Handle,
    /// Work on `runtime` that a stop waits for.
    pub tasks: TaskTracker,
    /// Charges of cut answers that were put off.
    pub late: TaskTracker,
    /// Cancelled once no request is in flight any more: what was put off is done now.
    pub closing: CancellationToken,
    /// Set once no new request is taken.
    pub stopping: AtomicBool,
}

impl Node {
    /// Whether no new request is taken.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether an operator states that this router's VM is gone for good.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.config.load().is_retired(&self.settings.common.vm)
    }

    /// Whether a newer configuration may exist; true before the first.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.config.is_stale()
    }

    /// How a request to a backend server may use connections, when `left` is left
    /// until its deadline.
    #[must_use]
    pub fn send_options(&self, left: Duration, fresh: bool) -> SendOptions {
        SendOptions {
            connect: self.settings.connect().min(left),
            head: left,
            fresh,
        }
    }

    /// Limits of reading an engine's answer.
    #[must_use]
    pub fn read_options(&self) -> ReadOptions {
        let stall = Duration::from_millis(self.settings.stall_ms);
        ReadOptions {
            stall,
            resume: Duration::from_millis(self.settings.resume_ms),
            send: self.send_options(stall, false),
        }
    }
}
