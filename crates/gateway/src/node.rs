//! The state that the parts of a running router share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;

use crate::clock::SystemClock;
use crate::dialect::Dialect;
use crate::fleet::Pools;
use crate::freshness::Freshness;
use crate::ingress::CallerDecision;
use crate::metrics::Metrics;
use crate::model::Config;
use crate::paths::Dialer;
use crate::peer_clocks::PeerClocks;
use crate::quarantine::Quarantine;
use crate::quota::QuotaTable;
use crate::quota::holders::Placement;
use crate::rollout::Reports;
use crate::settings::RouterSettings;
use crate::traffic::Traffic;
use crate::watch::{Confirmation, Replicas};

/// State that requests read and background tasks keep up to date.
#[derive(Debug)]
pub struct Node {
    /// Settings that the router was started with.
    pub settings: RouterSettings,
    /// Protocol of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// The configuration in force; `None` until one has been read.
    pub config: ArcSwapOption<Config>,
    /// Age of what is known of the configuration.
    pub freshness: Freshness,
    /// Records of the configuration and of the servers' entries, as last read.
    pub replicas: Replicas,
    /// Pools of backend servers.
    pub pools: Arc<Pools>,
    /// Opens connections to their servers.
    pub dialer: Arc<Dialer>,
    /// Local quota of the workspaces.
    pub quotas: Arc<QuotaTable>,
    /// Requests that are kept away from the backend servers.
    pub quarantine: Arc<Quarantine>,
    /// Reports of other routers on rollouts that this one may coordinate.
    pub reports: Reports,
    /// Latest readings of the monotonic clocks of other processes.
    pub peer_clocks: Arc<PeerClocks>,
    /// Random identifier that distinguishes this process from others on its VM.
    pub process: u64,
    /// Counters and histograms of the router.
    pub metrics: Metrics,
    /// Recent traffic over the VM's network link.
    pub traffic: Traffic,
    /// Whether new callers can be served, as far as the link and the callers' port decide it.
    pub decision: CallerDecision,
    /// Up to which moment the directory of backend servers has been read.
    pub list: Arc<Confirmation>,
    /// Whether the directory of backend servers has been read.
    pub has_servers: AtomicBool,
    /// Whether the router is shutting down.
    pub is_stopping: AtomicBool,
    in_flight: AtomicUsize,
    start: Instant,
}

impl Node {
    /// A node without a configuration or servers.
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
            quotas: Arc::new(
                QuotaTable::new(placement, settings.partitions, Arc::clone(&clock) as _)
                    .with_members(settings.member_partitions())
                    .with_copy_lag(settings.copy_lag),
            ),
            settings,
            dialect,
            config: ArcSwapOption::empty(),
            replicas: Replicas::default(),
            pools: Arc::new(Pools::new()),
            dialer: Arc::default(),
            reports: Reports::default(),
            peer_clocks: Arc::default(),
            process: rand::random(),
            metrics: Metrics::new(),
            traffic: Traffic::default(),
            decision: CallerDecision::new(),
            list: Arc::new(Confirmation::new(clock)),
            has_servers: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            start: Instant::now(),
        }
    }

    /// Whether this router should get new connections.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_synced = self.knows_config() && self.has_servers.load(Relaxed);
        let takes_callers = self.decision.takes_callers(self.uptime());
        is_synced && !self.is_stopping.load(Relaxed) && takes_callers
    }

    /// Time since the process began to start the router.
    #[must_use]
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether a configuration is in force and everything that the store had with it has been read
    /// once, which includes the drained failure domains.
    #[must_use]
    pub fn knows_config(&self) -> bool {
        self.config.load().is_some() && self.freshness.is_confirmed()
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Relaxed);
        InFlight(Arc::clone(self))
    }
}

/// Guard of a request in flight.
#[derive(Debug)]
pub struct InFlight(Arc<Node>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}
