//! What the parts of a running router share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};

use arc_swap::ArcSwapOption;

use crate::clock::SystemClock;
use crate::dialect::Dialect;
use crate::fleet::Pools;
use crate::freshness::Freshness;
use crate::headroom::Traffic;
use crate::metrics::Metrics;
use crate::model::Config;
use crate::peer_clocks::PeerClocks;
use crate::quarantine::Quarantine;
use crate::rights::Books;
use crate::rights::holders::Placement;
use crate::rollout::Reports;
use crate::settings::RouterSettings;
use crate::watch::Copies;

/// State that requests read, and the tasks that keep it up to date write.
#[derive(Debug)]
pub struct Node {
    /// What the router was told at its start.
    pub settings: RouterSettings,
    /// What callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// The configuration in force; `None` until one was read.
    pub config: ArcSwapOption<Config>,
    /// How old that knowledge is.
    pub freshness: Freshness,
    /// What was read of the configuration and of the servers' entries.
    pub copies: Copies,
    /// The backend servers.
    pub pools: Arc<Pools>,
    /// Rights of the workspaces.
    pub books: Arc<Books>,
    /// Requests that are kept away from the servers.
    pub quarantine: Arc<Quarantine>,
    /// What other routers told of roll-outs that this one may lead.
    pub reports: Reports,
    /// When other processes were last seen.
    pub peer_clocks: Arc<PeerClocks>,
    /// Tells this process from others on its VM.
    pub process: u64,
    /// What the router counts.
    pub metrics: Metrics,
    /// What passed over the VM's link lately.
    pub traffic: Traffic,
    /// Whether the VM's link has no room for more callers.
    pub is_full: AtomicBool,
    /// Whether the directory of backend servers was read.
    pub has_servers: AtomicBool,
    /// Whether the router was told to stop.
    pub is_stopping: AtomicBool,
    in_flight: AtomicUsize,
}

impl Node {
    /// A node that knows nothing yet.
    #[must_use]
    pub fn new(settings: RouterSettings, dialect: Arc<dyn Dialect>) -> Self {
        let placement = Placement::unknown(settings.vm.clone());
        let clock = Arc::new(SystemClock::open());
        Self {
            quarantine: Arc::new(Quarantine::new(
                settings.vm.clone(),
                Arc::clone(&clock) as _,
            )),
            freshness: Freshness::new(Arc::clone(&clock) as _),
            books: Arc::new(
                Books::new(placement, settings.parts, clock).with_members(settings.members_parts()),
            ),
            settings,
            dialect,
            config: ArcSwapOption::empty(),
            copies: Copies::default(),
            pools: Arc::new(Pools::new()),
            reports: Reports::default(),
            peer_clocks: Arc::default(),
            process: rand::random(),
            metrics: Metrics::new(),
            traffic: Traffic::default(),
            is_full: AtomicBool::new(false),
            has_servers: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Whether new connections should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let knows = self.knows_config() && self.has_servers.load(Relaxed);
        knows && !self.is_stopping.load(Relaxed) && !self.is_full.load(Relaxed)
    }

    /// Whether a configuration is in force, and all that the store had beside it was told once:
    /// which failure domains are emptied stands there too.
    #[must_use]
    pub fn knows_config(&self) -> bool {
        self.config.load().is_some() && self.freshness.is_confirmed()
    }

    /// Requests that are being served.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Relaxed)
    }

    /// Counts a request as being served while the guard lives.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Relaxed);
        InFlight(Arc::clone(self))
    }
}

/// A request that is being served.
#[derive(Debug)]
pub struct InFlight(Arc<Node>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}
