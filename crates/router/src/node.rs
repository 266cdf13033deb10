//! State that the tasks of a router share.

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
use crate::history::RunHistory;
use crate::intent::Intents;
use crate::keys::Keys;
use crate::ledgers::Ledgers;
use crate::members::Memberships;
use crate::peers::Peers;
use crate::reader::ReadOptions;
use crate::settings::Settings;
use swiftlink_gateway::upstream::SendOptions;

/// Shared state of one router process. On the request path only a pool's queue and its
/// fleet take locks, and hold them briefly.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Bound address of the listener for callers.
    pub address: SocketAddr,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// The current configuration.
    pub config: Arc<ConfigView>,
    /// Connections to the ledgers.
    pub ledgers: Arc<Ledgers>,
    /// Memberships of the budget streams.
    pub members: Arc<Memberships>,
    /// Starts the claimers of accounts.
    pub claimers: Claimers,
    /// Request keys in use.
    pub keys: Arc<Keys>,
    /// Request keys that this router has dispatched, with the result of each run.
    pub history: Arc<RunHistory>,
    /// Liveness of the peer routers that requests are relayed to.
    pub peers: Arc<Peers>,
    /// Submits charges to the ledgers.
    pub settler: Arc<Settler>,
    /// Intents of non-idempotent requests.
    pub intents: Arc<Intents>,
    /// Pools and their backend servers.
    pub pools: Arc<Pools>,
    /// Signs resume tokens.
    pub secret: TokenSecret,
    /// Runtime for tasks that outlive a caller's connection.
    pub runtime: Handle,
    /// Tasks on `runtime` that a shutdown waits for.
    pub tasks: TaskTracker,
    /// Deferred charges of interrupted answers.
    pub deferred: TaskTracker,
    /// Cancelled once no request is in flight: deferred charges are then submitted at once.
    pub closing: CancellationToken,
    /// Set once new requests are refused.
    pub stopping: AtomicBool,
}

impl Node {
    /// Whether new requests are refused.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether an operator has declared this router's VM gone.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.config.load().is_retired(&self.settings.common.vm)
    }

    /// Whether a newer configuration may exist; true before the first one has arrived.
    #[must_use]
    pub fn is_stale(&self) -> bool {
        self.config.is_stale()
    }

    /// Returns the connection options of a request to a backend server that has `left` until
    /// its deadline.
    #[must_use]
    pub fn send_options(&self, left: Duration, fresh: bool) -> SendOptions {
        SendOptions {
            connect: self.settings.connect(),
            response: left,
            fresh,
            may_abort: false,
        }
    }

    /// Returns the time limits for reading an engine's answer.
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
