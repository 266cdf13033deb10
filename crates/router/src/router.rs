//! A running router process: creates the shared state and starts the background tasks.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use anyhow::Context;
use swiftlink_shell::web::{Limits, WebServer};
use swiftlink_shell::{Admin, Shell};
use swiftlink_stream::TokenSecret;
use swiftlink_telemetry::event;
use swiftlink_types::{DomainName, VmName, wall_ms};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::charge::Settler;
use crate::claim::{ClaimContext, Claimers};
use crate::config::{self, ConfigView};
use crate::dump::NodeDump;
use crate::fleet::Pools;
use crate::freshness::Freshness;
use crate::history::RunHistory;
use crate::intent::Intents;
use crate::keys::Keys;
use crate::ledgers::Ledgers;
use crate::members::{Keeper, Memberships};
use crate::node::Node;
use crate::peers::Peers;
use crate::serve::CallerService;
use crate::settings::Settings;
use crate::{health, pings, retirement, stop, vms};

/// Smallest number of worker threads of the callers' listener.
const MIN_WORKERS: usize = 2;
/// Largest number of worker threads; router VMs are small.
const MAX_WORKERS: usize = 8;
/// Time between removals of expired keys.
const FORGET_PERIOD: Duration = Duration::from_secs(10);

/// A running router.
#[derive(Debug)]
pub struct Router {
    /// Shared state.
    pub(crate) node: Arc<Node>,
    pub(crate) web: WebServer,
    pub(crate) admin: Admin,
    /// Stops the background tasks that keep the state up to date.
    pub(crate) upkeep: CancellationToken,
    /// Stops the claimers before unused quota is returned.
    pub(crate) claims: CancellationToken,
}

/// Runs a router until the shell signals a stop.
///
/// # Errors
/// When an address can't be bound.
pub async fn run(settings: Settings, shell: Shell) -> anyhow::Result<()> {
    let stopped = shell.stopped();
    let router = Router::open(settings, &shell)?;
    event!(info, "router.serving", listen = router.address());
    stopped.await;
    stop::stop(router).await;
    Ok(())
}

impl Router {
    /// Binds the callers' address and starts all tasks. The address is bound first, which proves
    /// that no earlier incarnation still runs at it.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn open(settings: Settings, shell: &Shell) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(settings.listen)
            .with_context(|| format!("binding the callers' address {}", settings.listen))?;
        let address = listener.local_addr().context("callers' address")?;
        let upkeep = CancellationToken::new();
        let claims = CancellationToken::new();
        let node = build(settings, address, shell, &upkeep, &claims);
        let node = Arc::new(node);
        start_upkeep(&node, &upkeep);
        let dump = Arc::new(NodeDump::new(Arc::clone(&node)));
        let admin = Admin::bind(node.settings.common.admin, dump)?;
        let service = CallerService {
            node: Arc::clone(&node),
        };
        let limits = limits(node.settings.body_memory);
        let web = WebServer::bind(listener, limits, Arc::new(service))
            .context("starting the callers' listener")?;
        Ok(Self {
            node,
            web,
            admin,
            upkeep,
            claims,
        })
    }

    /// Bound address of the callers' listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.node.address
    }
}

fn limits(body_memory: usize) -> Limits {
    let cores = std::thread::available_parallelism().map_or(MIN_WORKERS, usize::from);
    Limits {
        workers: cores.clamp(MIN_WORKERS, MAX_WORKERS),
        body_memory,
        ..Limits::default()
    }
}

fn build(
    settings: Settings,
    address: SocketAddr,
    shell: &Shell,
    upkeep: &CancellationToken,
    claims: &CancellationToken,
) -> Node {
    let ms = Duration::from_millis;
    let tasks = TaskTracker::new();
    let runtime = shell.handle().clone();
    let ledgers = Arc::new(Ledgers::spawn(&settings));
    let domain = DomainName::from(settings.common.domain.as_str());
    let seed = subset_seed(&settings.common.vm);
    let pools = Pools::new(domain, settings.subset, seed);
    let freshness = Freshness::new(pings::rule(settings.stale()), ledgers.near().len());
    let config = ConfigView::new(Arc::clone(&pools), freshness);
    let context = ClaimContext {
        ledgers: Arc::clone(&ledgers),
        config: Arc::clone(&config),
        metrics: shell.metrics.clone(),
        wait: ms(settings.claim_wait_ms),
        pause: ms(settings.claim_pause_ms),
        stop: claims.clone(),
    };
    let claimers = Claimers {
        context: Arc::new(context),
        runtime: runtime.clone(),
        tasks: tasks.clone(),
    };
    let intents = Intents::new(
        Arc::clone(&ledgers),
        runtime.clone(),
        tasks.clone(),
        ms(settings.intent_wait_ms),
        upkeep.clone(),
    );
    let history = RunHistory::new(settings.key_memory);
    let peers = Peers::new(
        runtime.clone(),
        tasks.clone(),
        ms(settings.peer_ms),
        upkeep.clone(),
    );
    let settler = Settler::new(
        Arc::clone(&ledgers),
        Arc::clone(&history),
        runtime.clone(),
        shell.metrics.clone(),
        &settings,
    );
    Node {
        address,
        metrics: shell.metrics.clone(),
        config,
        ledgers,
        members: Memberships::new(settings.shards),
        claimers,
        keys: Keys::new(settings.key_window_ms, 0),
        history,
        peers,
        settler,
        intents,
        pools,
        secret: TokenSecret::new(settings.common.secret.expose().as_bytes()),
        runtime,
        tasks,
        deferred: TaskTracker::new(),
        closing: CancellationToken::new(),
        stopping: AtomicBool::new(false),
        settings,
    }
}

fn start_upkeep(node: &Arc<Node>, stop: &CancellationToken) {
    let settings = &node.settings;
    let ms = Duration::from_millis;
    let spawn_on = &node.runtime;
    let follow = config::follow(
        Arc::clone(&node.config),
        Arc::clone(&node.ledgers),
        settings.stale(),
        stop.clone(),
    );
    node.tasks.spawn_on(follow, spawn_on);
    let ping = pings::ping(
        Arc::clone(&node.config),
        Arc::clone(&node.ledgers),
        settings.ping_sample,
        stop.clone(),
    );
    node.tasks.spawn_on(ping, spawn_on);
    let keeper = Keeper {
        vm: VmName::from(settings.common.vm.as_str()),
        domain: Arc::from(settings.common.domain.as_str()),
        address: node.address,
        mark: ms(settings.mark_ms),
        ledgers: Arc::clone(&node.ledgers),
        keys: Arc::clone(&node.keys),
        members: Arc::clone(&node.members),
        stop: stop.clone(),
    };
    for shard in 0..settings.shards {
        node.tasks.spawn_on(keeper.clone().keep(shard), spawn_on);
    }
    let wake = wake_claimers(Arc::clone(node), stop.clone());
    node.tasks.spawn_on(wake, spawn_on);
    let load = vms::poll_load(
        ms(settings.report_ms),
        Arc::from(settings.service_load.as_str()),
        Arc::clone(&node.pools),
        stop.clone(),
    );
    node.tasks.spawn_on(load, spawn_on);
    if let Some(address) = settings.vms {
        let pools = Arc::clone(&node.pools);
        let list = vms::poll_list(address, ms(settings.vms_ms), pools, stop.clone());
        node.tasks.spawn_on(list, spawn_on);
    }
    let health = health::watch(Arc::clone(node), stop.clone());
    node.tasks.spawn_on(health, spawn_on);
    let declared = retirement::watch(Arc::clone(node), stop.clone());
    node.tasks.spawn_on(declared, spawn_on);
    let forget = remove_expired_keys(Arc::clone(node), stop.clone());
    node.tasks.spawn_on(forget, spawn_on);
}

/// Wakes the claimers of all budgets in use on each new configuration.
async fn wake_claimers(node: Arc<Node>, stop: CancellationToken) {
    let mut versions = node.config.watch();
    // A version may have been published before this task started.
    versions.mark_changed();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            changed = versions.changed() => if changed.is_err() { return },
        }
        for membership in node.members.all() {
            for account in membership.accounts() {
                account.wake.notify_one();
            }
        }
    }
}

async fn remove_expired_keys(node: Arc<Node>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(FORGET_PERIOD) => {}
        }
        // Every router refuses keys older than twice the window.
        let window = node.settings.key_window_ms.saturating_mul(2);
        let floor = wall_ms().saturating_sub(window);
        node.intents.forget(floor);
        node.history.forget(floor);
    }
}

/// Derives the seed from the VM name, so that routers on different VMs choose different subsets.
fn subset_seed(vm: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    vm.hash(&mut hasher);
    hasher.finish()
}
