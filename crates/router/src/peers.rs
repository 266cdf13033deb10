//! Liveness of the peer routers that relayed requests wait for.
//!
//! The head of an unstreamed answer arrives only at its end, so a long wait says nothing
//! about the peer's health. While a request waits for a peer, the peer is probed. After two
//! failed probes in a row it counts as silent (a frozen process or a network partition) and
//! is given up. The kernel of a frozen process still accepts connections, so only an answer
//! counts as a sign of life.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use swiftlink_telemetry::event;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::engine;
use swiftlink_gateway::upstream::{SendOptions, send};

/// Path of a probe. Any answer, whatever its status, is a sign of life.
const PROBE_PATH: &str = "/health";
/// Unanswered probes in a row after which a peer counts as silent.
const MAX_MISSES: u32 = 2;
/// Backoff after a failed connection to a peer.
const CONNECT_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a silent peer is still probed when no request waits for it.
const SILENT_RETENTION: Duration = Duration::from_secs(30);

/// Peers that requests wait for, and peers that are silent or unreachable.
#[derive(Debug)]
pub struct Peers {
    runtime: Handle,
    tasks: TaskTracker,
    period: Duration,
    stop: CancellationToken,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    /// Time of the last failed connection to each unreachable peer.
    unreachable: Mutex<HashMap<SocketAddr, Instant>>,
}

#[derive(Debug)]
struct Peer {
    /// Number of requests that wait for it.
    waiters: usize,
    silent: watch::Sender<bool>,
}

impl Peers {
    /// Probes each peer in use every `period`, with `period` as the timeout. The probes run on
    /// `runtime` until `stop`, tracked by `tasks`.
    #[must_use]
    pub fn new(
        runtime: Handle,
        tasks: TaskTracker,
        period: Duration,
        stop: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            runtime,
            tasks,
            period,
            stop,
            peers: Mutex::default(),
            unreachable: Mutex::default(),
        })
    }

    /// Probes the peer at `address` until the returned handle is dropped.
    #[must_use]
    pub fn watch(self: &Arc<Self>, address: SocketAddr) -> PeerWatch {
        let mut peers = self.lock();
        let is_new = !peers.contains_key(&address);
        let peer = peers.entry(address).or_insert_with(|| Peer {
            waiters: 0,
            silent: watch::Sender::new(false),
        });
        peer.waiters += 1;
        let silent = peer.silent.subscribe();
        if is_new {
            let work = Arc::clone(self).probe(address, peer.silent.clone());
            self.tasks.spawn_on(work, &self.runtime);
        }
        PeerWatch {
            peers: Arc::clone(self),
            address,
            silent,
        }
    }

    /// Notes a failed connection to the peer. Requests that already wait for it continue: a router
    /// that is shutting down accepts no new connections but completes its requests in flight.
    pub fn on_connect_failure(&self, address: SocketAddr) {
        let mut unreachable = self
            .unreachable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unreachable.retain(|_, at| at.elapsed() < CONNECT_BACKOFF);
        unreachable.insert(address, Instant::now());
    }

    /// Whether the peer is neither silent nor in backoff after a failed connection.
    #[must_use]
    pub fn is_up(&self, address: SocketAddr) -> bool {
        let is_silent = |peer: &Peer| *peer.silent.borrow();
        if self.lock().get(&address).is_some_and(is_silent) {
            return false;
        }
        let unreachable = self
            .unreachable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unreachable
            .get(&address)
            .is_none_or(|at| at.elapsed() >= CONNECT_BACKOFF)
    }

    /// Probes the peer until no request waits for it.
    async fn probe(self: Arc<Self>, address: SocketAddr, silent: watch::Sender<bool>) {
        let mut misses = 0;
        let mut answered = Instant::now();
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = sleep(self.period) => {}
            }
            let is_silent = *silent.borrow();
            if (!is_silent || answered.elapsed() > SILENT_RETENTION) && self.remove_unused(address)
            {
                return;
            }
            if self.is_alive(address).await {
                misses = 0;
                answered = Instant::now();
            } else {
                misses += 1;
            }
            let now_silent = misses >= MAX_MISSES;
            if now_silent != is_silent {
                event!(info, "peer.silent", peer = address, silent = now_silent);
                silent.send_replace(now_silent);
            }
        }
    }

    /// Removes the peer if no request waits for it; returns whether it is removed.
    fn remove_unused(&self, address: SocketAddr) -> bool {
        let mut peers = self.lock();
        let is_removed = peers.get(&address).is_none_or(|peer| peer.waiters == 0);
        if is_removed {
            peers.remove(&address);
        }
        is_removed
    }

    async fn is_alive(&self, address: SocketAddr) -> bool {
        let request = engine::plain(address, Method::GET, PROBE_PATH, Bytes::new());
        let options = SendOptions {
            connect: self.period,
            response: self.period,
            // The peer may be closing an idle connection of an earlier request.
            fresh: true,
            may_abort: false,
        };
        send(address, request, options).await.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of one request that waits for a probed peer.
#[derive(Debug)]
pub struct PeerWatch {
    peers: Arc<Peers>,
    address: SocketAddr,
    silent: watch::Receiver<bool>,
}

impl PeerWatch {
    /// Whether the peer counts as silent now.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Resolves once the peer counts as silent.
    pub async fn until_silent(&mut self) {
        if self.silent.wait_for(|silent| *silent).await.is_err() {
            // Probing has ended because this process is shutting down.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for PeerWatch {
    fn drop(&mut self) {
        if let Some(peer) = self.peers.lock().get_mut(&self.address) {
            peer.waiters = peer.waiters.saturating_sub(1);
        }
    }
}
