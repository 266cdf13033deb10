//! A running router process.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use swiftlink_link::Server;
use swiftlink_shell::Shell;
use swiftlink_shell::web::{Limits, WebServer};
use swiftlink_telemetry::event;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::answer::PeerHandler;
use crate::catalog::Catalog;
use crate::dialect::Dialect;
use crate::metrics::{Counted, Exposition};
use crate::node::Node;
use crate::peers::{self, Peers};
use crate::quarantine::{self, gossip};
use crate::ready::{self, Readiness};
use crate::rights::{Calls, Claims, Remote, Reservations};
use crate::serve::Surface;
use crate::settings::RouterSettings;
use crate::store::{Feed, Store};
use crate::watch::Others;
use crate::{notes, rollout, stop, watch};

/// How long a connection may be idle. Callers reuse connections for up to four fifths of
/// the limit in the configuration.
const IDLE: Duration = Duration::from_secs(90);
/// How long the head of a request may take.
const HEAD: Duration = Duration::from_secs(10);
/// How often reservations that should have been released are looked for.
const EXPIRE_PERIOD: Duration = Duration::from_secs(5);
/// How long a caller may take no data.
const STALL: Duration = Duration::from_secs(10);

/// What a deployment brings.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// What callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// Where what must last lives.
    pub store: Arc<dyn Store>,
    /// How it is written down there.
    pub catalog: Arc<dyn Catalog>,
}

/// A router while it runs.
#[derive(Debug)]
pub struct Router {
    pub(crate) node: Arc<Node>,
    pub(crate) callers: WebServer,
    pub(crate) readiness: WebServer,
    pub(crate) metrics: Option<WebServer>,
    pub(crate) claims: Claims,
    pub(crate) remote: Arc<Remote>,
    pub(crate) tasks: JoinSet<()>,
}

/// Runs a router until its shell is told to stop.
///
/// # Errors
/// When an address can't be bound.
pub async fn run(settings: RouterSettings, adapter: Adapter, shell: Shell) -> anyhow::Result<()> {
    let stopped = shell.stopped();
    let router = Router::open(settings, adapter)?;
    event!(
        info,
        "router.serving",
        callers = router.callers.address(),
        readiness = router.readiness.address(),
    );
    stopped.await;
    router.stop().await;
    Ok(())
}

impl Router {
    /// Binds the addresses and starts everything.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn open(settings: RouterSettings, adapter: Adapter) -> anyhow::Result<Self> {
        let callers = TcpListener::bind(settings.callers)
            .with_context(|| format!("binding the callers' address {}", settings.callers))?;
        let readiness = TcpListener::bind(settings.readiness)
            .with_context(|| format!("binding the readiness address {}", settings.readiness))?;
        let limits = limits(&settings);
        let node = Arc::new(Node::new(settings, adapter.dialect));
        let store: Arc<dyn Store> = Arc::new(Counted {
            store: adapter.store,
            node: Arc::clone(&node),
        });
        let mut tasks = JoinSet::new();
        let peers = Arc::new(
            Peers::new(
                node.settings.vm.clone(),
                node.settings.domain.clone(),
                Arc::clone(node.books.clock()),
                Arc::clone(&node.peer_clocks),
            )
            .with_parts(node.settings.members_parts(), node.settings.bootstrap),
        );
        let others = Arc::clone(&peers) as Arc<dyn Others>;
        watch::spawn(&mut tasks, &node, &store, &adapter.catalog, &others);
        spawn_peers(&mut tasks, &node, &store, &peers)?;
        if node.settings.rollouts.is_some() {
            let reader = watch::Reader::new(Feed::Rollouts, Arc::clone(&store));
            let follower = rollout::Follower::new(Arc::clone(&node));
            tasks.spawn(watch::follow(reader, follower, Some(relay(&node, &peers))));
            tasks.spawn(rollout::run(
                Arc::clone(&node),
                Arc::clone(&peers),
                Arc::clone(&store),
                Arc::clone(&adapter.catalog),
            ));
        }
        let calls = Arc::clone(&peers) as Arc<dyn Calls>;
        let remote = Remote::new(Arc::clone(&node.books), calls, node.process);
        tasks.spawn(Arc::clone(&remote).run());
        let vm = &node.settings.vm;
        let claims = Claims::spawn(&node.books, &store, peers, vm, node.process);
        let surface = Arc::new(Surface {
            node: Arc::clone(&node),
            remote: Arc::clone(&remote),
        });
        let callers =
            WebServer::bind(callers, limits, surface).context("starting the callers' listener")?;
        if let Some(rate) = node.settings.link {
            tasks.spawn(ready::watch_link(Arc::clone(&node), callers.gate(), rate));
        }
        let limits = Limits {
            workers: 1,
            connections: 16,
            ..Limits::default()
        };
        let ready = Arc::new(Readiness(Arc::clone(&node)));
        let readiness =
            WebServer::bind(readiness, limits, ready).context("starting the readiness listener")?;
        let metrics = bind_metrics(&node)?;
        Ok(Self {
            node,
            callers,
            readiness,
            metrics,
            claims,
            remote,
            tasks,
        })
    }

    /// Where callers connect, as bound.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where the balancer asks, as bound.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Where metrics are served, as bound.
    #[must_use]
    pub fn metrics(&self) -> Option<SocketAddr> {
        self.metrics.as_ref().map(WebServer::address)
    }

    /// What its parts share.
    #[must_use]
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops in an orderly way, within the grace of the settings.
    pub async fn stop(self) {
        stop::stop(self).await;
    }
}

/// Where feeds are kept for others, and who may tell this router of them.
fn relay(node: &Arc<Node>, peers: &Arc<Peers>) -> watch::Relay {
    watch::Relay {
        node: Arc::clone(node),
        others: Arc::clone(peers) as Arc<dyn Others>,
    }
}

/// Starts the listener for metrics, where the settings have an address for it.
fn bind_metrics(node: &Arc<Node>) -> anyhow::Result<Option<WebServer>> {
    let Some(address) = node.settings.metrics else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address)
        .with_context(|| format!("binding the metrics address {address}"))?;
    let limits = Limits {
        workers: 1,
        connections: 16,
        ..Limits::default()
    };
    let service = Arc::new(Exposition(Arc::clone(node)));
    WebServer::bind(listener, limits, service)
        .context("starting the metrics listener")
        .map(Some)
}

/// Starts what finds other routers, tells them of this one and answers them.
fn spawn_peers(
    tasks: &mut JoinSet<()>,
    node: &Arc<Node>,
    store: &Arc<dyn Store>,
    peers: &Arc<Peers>,
) -> anyhow::Result<()> {
    let settings = &node.settings;
    let listener = TcpListener::bind(settings.peers)
        .with_context(|| format!("binding the routers' address {}", settings.peers))?;
    let address = listener
        .local_addr()
        .context("reading the address that other routers reach")?;
    let started = node.books.clock().read().wall;
    let member = peers::member(settings, address, node.process, started);
    let registered = peers::register(
        Arc::clone(store),
        Arc::clone(peers),
        settings.members_part(&settings.domain),
        settings.vm.clone(),
        member,
    );
    tasks.spawn(registered);
    for part in settings.members_parts() {
        let reader = watch::Reader::new(Feed::Members(part), Arc::clone(store));
        let follower = peers::Follower::new(peers, node, part);
        tasks.spawn(watch::follow(reader, follower, Some(relay(node, peers))));
    }
    tasks.spawn(notes::run(Arc::clone(node), Arc::clone(peers)));
    let quarantine = &node.quarantine;
    tasks.spawn(quarantine::detect_crashes(Arc::clone(quarantine)));
    let told = gossip::run(
        Arc::clone(quarantine),
        Arc::clone(peers),
        Arc::clone(store),
        settings.members_part(&settings.domain),
    );
    tasks.spawn(told);
    let reservations = Arc::new(Reservations::default());
    tasks.spawn(expire(Arc::clone(&reservations)));
    let handler = Arc::new(PeerHandler {
        node: Arc::clone(node),
        reservations,
    });
    let name = settings.vm.to_string();
    let peers = Arc::clone(peers);
    tasks.spawn(async move {
        let Some(secret) = peers.secret().await else {
            return;
        };
        match Server::bind(listener, &name, secret, handler) {
            // Serves until the task is aborted.
            Ok(_server) => std::future::pending().await,
            Err(error) => event!(error, "peer.not_serving", error = error),
        }
    });
    Ok(())
}

/// Ends reservations that other routers have not released, until the task is aborted.
async fn expire(reservations: Arc<Reservations>) {
    loop {
        sleep(EXPIRE_PERIOD).await;
        let tokens = reservations.expire();
        if tokens > 0 {
            event!(warn, "rights.expired", tokens = tokens);
        }
    }
}

fn limits(settings: &RouterSettings) -> Limits {
    Limits {
        workers: settings.workers,
        connections: settings.connections,
        idle: IDLE,
        head: HEAD,
        stall: STALL,
        ..Limits::default()
    }
}
