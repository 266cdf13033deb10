//! Starts a router and holds its running parts.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use swiftlink_link::Server;
use swiftlink_shell::Shell;
use swiftlink_shell::web::{Limits, WebServer};
use swiftlink_telemetry::event;
use tokio::sync::watch as channel;
use tokio::task::JoinSet;

use crate::admission::{self, Aggregates};
use crate::catalog::Catalog;
use crate::dialect::Dialect;
use crate::ingress::{self, DomainReports, Ingress, LinkState, Port};
use crate::limits::{Allocators, Coordinator, Requester};
use crate::metrics::{MeteredStore, MetricsService};
use crate::node::Node;
use crate::origins::{self, Lookup, Recorders, VersionRecords};
use crate::paths::{self, TunnelServer};
use crate::peer_handler::PeerHandler;
use crate::peers::{self, Peers};
use crate::quarantine::{self, gossip};
use crate::quota::{Claims, LastSeen, PeerClient, PeerReservations, Reserver};
use crate::ready::Readiness;
use crate::serve::CallerService;
use crate::settings::RouterSettings;
use crate::store::{Feed, Store};
use crate::watch::PeerFeeds;
use crate::{rollout, server_updates, stop, watch};

/// How long a connection may be idle. Callers reuse connections for up to four fifths of
/// the limit in the configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// How long reading the head of a request may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// One in so many of the connections that a router may have is a tunnel for other routers.
const TUNNEL_SHARE: usize = 4;
/// How long a caller may accept no data before its connection is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// What a deployment provides.
#[derive(Clone, Debug)]
pub struct Adapter {
    /// Protocol of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Storage of durable records.
    pub store: Arc<dyn Store>,
    /// Encoding of the records in the store.
    pub catalog: Arc<dyn Catalog>,
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    pub(crate) node: Arc<Node>,
    pub(crate) callers: WebServer,
    pub(crate) readiness: WebServer,
    pub(crate) metrics: Option<WebServer>,
    pub(crate) claims: Claims,
    pub(crate) reserver: Arc<Reserver>,
    pub(crate) tunnels: Arc<TunnelServer>,
    pub(crate) tasks: JoinSet<()>,
}

/// Runs a router until its shell is stopped.
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
    /// Binds the addresses and starts all tasks.
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
        let store: Arc<dyn Store> = Arc::new(MeteredStore {
            store: adapter.store,
            node: Arc::clone(&node),
        });
        let mut tasks = JoinSet::new();
        let peers = Arc::new(
            Peers::new(
                node.settings.vm.clone(),
                node.settings.domain.clone(),
                Arc::clone(node.quotas.clock()),
                Arc::clone(&node.peer_clocks),
            )
            .with_partitions(node.settings.member_partitions(), node.settings.bootstrap),
        );
        let dialer = &node.dialer;
        dialer.helpers().set_tunnels(Arc::clone(&peers) as _);
        tasks.spawn(paths::run(Arc::clone(dialer), Arc::clone(&node.pools)));
        let tunnels = Arc::new(TunnelServer::new(
            Arc::clone(&node.pools),
            Arc::clone(dialer),
            node.settings.connections / TUNNEL_SHARE,
        ));
        let feeds = Arc::clone(&peers) as Arc<dyn PeerFeeds>;
        watch::spawn(&mut tasks, &node, &store, &adapter.catalog, &feeds);
        let links = spawn_peers(&mut tasks, &node, &store, &peers, &tunnels)?;
        if node.settings.rollouts.is_some() {
            let reader = watch::Reader::new(Feed::Rollouts, Arc::clone(&store));
            let follower = rollout::Follower::new(Arc::clone(&node));
            tasks.spawn(watch::follow(
                reader,
                follower,
                Some(feed_relay(&node, &peers)),
            ));
            tasks.spawn(rollout::run(
                Arc::clone(&node),
                Arc::clone(&peers),
                Arc::clone(&store),
                Arc::clone(&adapter.catalog),
            ));
        }
        let peer_client = Arc::clone(&peers) as Arc<dyn PeerClient>;
        let reserver = Reserver::new(
            Arc::clone(&node.quotas),
            peer_client,
            node.process,
            node.metrics.leases(),
        );
        tasks.spawn(Arc::clone(&reserver).run());
        let vm = &node.settings.vm;
        let last_seen = Arc::clone(&peers) as Arc<dyn LastSeen>;
        let claims = Claims::spawn(&node.quotas, &store, last_seen, vm, node.process);
        let ingress = Ingress::new(node.settings.link);
        let recorders = Arc::clone(&peers) as Arc<dyn Recorders>;
        let origins = Arc::clone(node.pools.origins());
        tasks.spawn(origins::run(
            Arc::clone(&origins),
            Arc::clone(&node.pools),
            Arc::clone(&recorders),
        ));
        let clock = Arc::clone(node.quotas.clock());
        let records = Arc::new(VersionRecords::new(clock));
        tasks.spawn(origins::run_records(
            Arc::clone(&records),
            Arc::clone(&origins),
            Arc::clone(&recorders),
            Arc::clone(&store),
            Arc::clone(&node.list) as _,
        ));
        let service = Arc::new(CallerService {
            node: Arc::clone(&node),
            reserver: Arc::clone(&reserver),
            lookup: Lookup {
                origins,
                recorders,
                records,
                list: Arc::clone(&node.list) as _,
            },
        });
        let callers =
            WebServer::bind(callers, limits, service).context("starting the callers' listener")?;
        let port = Port {
            gate: callers.gate(),
            intake: callers.intake(),
            meter: callers.meter(),
            memory: callers.memory(),
        };
        tasks.spawn(ingress::count_connections(Arc::clone(&node), port.clone()));
        spawn_ingress(&mut tasks, &node, &ingress, port, peers, links);
        let limits = probe_limits();
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
            reserver,
            tunnels,
            tasks,
        })
    }

    /// Bound address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Bound address for readiness probes.
    #[must_use]
    pub fn readiness(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Bound address of the metrics endpoint.
    #[must_use]
    pub fn metrics(&self) -> Option<SocketAddr> {
        self.metrics.as_ref().map(WebServer::address)
    }

    /// The state that the parts of the router share.
    #[must_use]
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Shuts down gracefully, within the grace period of the settings.
    pub async fn stop(self) {
        stop::stop(self).await;
    }
}

/// Starts the tasks that watch the callers' port and exchange reports on it.
fn spawn_ingress(
    tasks: &mut JoinSet<()>,
    node: &Arc<Node>,
    ingress: &Arc<Ingress>,
    port: Port,
    peers: Arc<Peers>,
    links: Arc<DomainReports>,
) {
    let (sender, states) = channel::channel(LinkState::default());
    let watch = ingress::watch_port(Arc::clone(ingress), Arc::clone(node), port, sender);
    tasks.spawn(watch);
    let vm = node.settings.vm.clone();
    let exchange = ingress::exchange(Arc::clone(ingress), peers, links, vm, node.process, states);
    tasks.spawn(exchange);
}

/// Relays feeds between this router and its peers.
fn feed_relay(node: &Arc<Node>, peers: &Arc<Peers>) -> watch::Relay {
    watch::Relay {
        node: Arc::clone(node),
        peers: Arc::clone(peers) as Arc<dyn PeerFeeds>,
    }
}

/// Starts the metrics endpoint if the settings have an address for it.
fn bind_metrics(node: &Arc<Node>) -> anyhow::Result<Option<WebServer>> {
    let Some(address) = node.settings.metrics else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address)
        .with_context(|| format!("binding the metrics address {address}"))?;
    let limits = probe_limits();
    let service = Arc::new(MetricsService(Arc::clone(node)));
    WebServer::bind(listener, limits, service)
        .context("starting the metrics listener")
        .map(Some)
}

/// Starts the tasks that discover other routers, register this one and serve the peers' requests.
fn spawn_peers(
    tasks: &mut JoinSet<()>,
    node: &Arc<Node>,
    store: &Arc<dyn Store>,
    peers: &Arc<Peers>,
    tunnels: &Arc<TunnelServer>,
) -> anyhow::Result<Arc<DomainReports>> {
    let settings = &node.settings;
    let listener = TcpListener::bind(settings.peers)
        .with_context(|| format!("binding the routers' address {}", settings.peers))?;
    let address = listener
        .local_addr()
        .context("reading the address that other routers reach")?;
    let started = node.quotas.clock().read().wall;
    let member = peers::member(settings, address, node.process, started);
    let register = peers::register(
        Arc::clone(store),
        Arc::clone(peers),
        settings.member_partition(&settings.domain),
        settings.vm.clone(),
        member,
    );
    tasks.spawn(register);
    for partition in settings.member_partitions() {
        let reader = watch::Reader::new(Feed::Members(partition), Arc::clone(store));
        let follower = peers::Follower::new(peers, node, partition);
        tasks.spawn(watch::follow(
            reader,
            follower,
            Some(feed_relay(node, peers)),
        ));
    }
    tasks.spawn(server_updates::run(Arc::clone(node), Arc::clone(peers)));
    let quarantine = &node.quarantine;
    tasks.spawn(quarantine::detect_crashes(
        Arc::clone(quarantine),
        Arc::clone(&node.dialer),
    ));
    let gossip = gossip::run(
        Arc::clone(quarantine),
        Arc::clone(peers),
        Arc::clone(store),
        settings.member_partition(&settings.domain),
    );
    tasks.spawn(gossip);
    let reservations = Arc::new(PeerReservations::default());
    tasks.spawn(Arc::clone(&reservations).expire_until_aborted());
    let permits = spawn_limits(tasks, node, peers);
    let links = Arc::<DomainReports>::default();
    let aggregates = Arc::new(Aggregates::default());
    tasks.spawn(admission::run(
        Arc::clone(node),
        Arc::clone(peers),
        Arc::clone(&aggregates),
    ));
    let handler = Arc::new(PeerHandler {
        node: Arc::clone(node),
        reservations,
        permits,
        links: Arc::clone(&links),
        aggregates,
        tunnels: Arc::clone(tunnels),
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
    Ok(links)
}

/// Starts the task that asks for permits for servers that limit their rate.
fn spawn_limits(tasks: &mut JoinSet<()>, node: &Arc<Node>, peers: &Arc<Peers>) -> Arc<Coordinator> {
    let peers = Arc::clone(peers) as Arc<dyn Allocators>;
    let coordinator = Arc::new(Coordinator::new(Arc::clone(&peers)));
    let requester = Requester {
        servers: node.pools.limited(),
        coordinator: Arc::clone(&coordinator),
        peers,
    };
    tasks.spawn(requester.run());
    coordinator
}

/// Limits of the listeners for probes. These come in one piece, so that a client that has sent none has
/// to make room for the next one at once.
fn probe_limits() -> Limits {
    Limits {
        workers: 1,
        connections: 16,
        grace: Duration::ZERO,
        ..Limits::default()
    }
}

fn limits(settings: &RouterSettings) -> Limits {
    Limits {
        workers: settings.workers,
        connections: settings.connections,
        idle: IDLE_TIMEOUT,
        head: HEAD_TIMEOUT,
        stall: STALL_TIMEOUT,
        receive_buffer: settings.receive_buffer,
        body_memory: settings.body_memory,
        ..Limits::default()
    }
}
