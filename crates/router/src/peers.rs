//! Whether a peer router that a relayed request waits for is still alive.
//!
//! The head of a whole answer comes at its end, so a long wait tells nothing of the
//! peer. While a request waits for a peer, the peer is asked for a sign of life; one
//! that gives none, twice in a row, is given up: a frozen process, a cut network. The
//! kernel of a frozen process still takes connections, so only an answer counts.

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

/// Path of a probe. Any answer is a sign of life.
const PROBE: &str = "/health";
/// Probes without an answer after which a peer counts as silent.
const MISSES: u32 = 2;
/// Time for which a peer that could not be reached is not tried again.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time for which a silent peer that nobody waits for is asked on.
const SILENT_TIME: Duration = Duration::from_secs(30);

/// The peers that requests wait for, and those that were found silent.
#[derive(Debug)]
pub struct Peers {
    runtime: Handle,
    tasks: TaskTracker,
    period: Duration,
    stop: CancellationToken,
    list: Mutex<HashMap<SocketAddr, Peer>>,
    /// Peers that could not be reached, and when.
    down: Mutex<HashMap<SocketAddr, Instant>>,
}

#[derive(Debug)]
struct Peer {
    /// Requests that wait for it.
    users: usize,
    silent: watch::Sender<bool>,
}

impl Peers {
    /// Asks each peer in use every `period` and gives it as long for its answer; the
    /// work runs on `runtime` until `stop` and is joined by `tasks`.
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
            list: Mutex::default(),
            down: Mutex::default(),
        })
    }

    /// Watches the peer at `address` for as long as the answer is kept.
    #[must_use]
    pub fn watch(self: &Arc<Self>, address: SocketAddr) -> Watched {
        let mut list = self.lock();
        let is_new = !list.contains_key(&address);
        let peer = list.entry(address).or_insert_with(|| Peer {
            users: 0,
            silent: watch::Sender::new(false),
        });
        peer.users += 1;
        let silent = peer.silent.subscribe();
        if is_new {
            let work = Arc::clone(self).probe(address, peer.silent.clone());
            self.tasks.spawn_on(work, &self.runtime);
        }
        Watched {
            peers: Arc::clone(self),
            address,
            silent,
        }
    }

    /// Notes that no connection to the peer could be made. Requests that wait for it go
    /// on: a router that stops takes no new connection and ends what it has begun.
    pub fn note_down(&self, address: SocketAddr) {
        let mut down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        down.retain(|_, at| at.elapsed() < DOWN_TIME);
        down.insert(address, Instant::now());
    }

    /// Whether nothing speaks against the peer: it is neither silent nor was it out of
    /// reach a moment ago.
    #[must_use]
    pub fn is_up(&self, address: SocketAddr) -> bool {
        let is_silent = |peer: &Peer| *peer.silent.borrow();
        if self.lock().get(&address).is_some_and(is_silent) {
            return false;
        }
        let down = self.down.lock().unwrap_or_else(PoisonError::into_inner);
        down.get(&address)
            .is_none_or(|at| at.elapsed() >= DOWN_TIME)
    }

    /// Probes the peer until nobody waits for it any more.
    async fn probe(self: Arc<Self>, address: SocketAddr, silent: watch::Sender<bool>) {
        let mut misses = 0;
        let mut heard = Instant::now();
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = sleep(self.period) => {}
            }
            let is_silent = *silent.borrow();
            if (!is_silent || heard.elapsed() > SILENT_TIME) && self.leave(address) {
                return;
            }
            if self.is_alive(address).await {
                misses = 0;
                heard = Instant::now();
            } else {
                misses += 1;
            }
            let now_silent = misses >= MISSES;
            if now_silent != is_silent {
                event!(info, "peer.silent", peer = address, silent = now_silent);
                silent.send_replace(now_silent);
            }
        }
    }

    /// Forgets the peer if nobody waits for it.
    fn leave(&self, address: SocketAddr) -> bool {
        let mut list = self.lock();
        let is_left = list.get(&address).is_none_or(|peer| peer.users == 0);
        if is_left {
            list.remove(&address);
        }
        is_left
    }

    async fn is_alive(&self, address: SocketAddr) -> bool {
        let request = engine::plain(address, Method::GET, PROBE, Bytes::new());
        let options = SendOptions {
            connect: self.period,
            head: self.period,
            // Some other request's idle connection may be on its way to the end.
            fresh: true,
        };
        send(address, request, options).await.is_ok()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A peer that is watched for one request.
#[derive(Debug)]
pub struct Watched {
    peers: Arc<Peers>,
    address: SocketAddr,
    silent: watch::Receiver<bool>,
}

impl Watched {
    /// Whether the peer is known to be silent.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        *self.silent.borrow()
    }

    /// Resolves once the peer is silent.
    pub async fn silenced(&mut self) {
        if self.silent.wait_for(|silent| *silent).await.is_err() {
            // Nobody asks any more: this process is stopping.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        if let Some(peer) = self.peers.lock().get_mut(&self.address) {
            peer.users = peer.users.saturating_sub(1);
        }
    }
}
