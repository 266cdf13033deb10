//! All pools: what changes them, and in which order.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use swiftlink_rollout::{Order, Progress};
use swiftlink_types::{DomainName, Micros, PoolName, ServerName};
use tokio::sync::Notify;

use super::{Pool, retry_burst};
use crate::catalog::ServerEntry;
use crate::domains::Domains;
use crate::eligibility::Announcements;
use crate::model::Config;
use crate::server_updates;
use crate::settings::RouterSettings;

/// All pools.
#[derive(Debug)]
pub struct Pools {
    pools: ArcSwap<HashMap<PoolName, Arc<Pool>>>,
    entries: ArcSwap<HashMap<ServerName, ServerEntry>>,
    /// Roll-outs that are ordered, and how far they have come, also of pools that aren't known.
    rollouts: Mutex<Rollouts>,
    /// Held while any of them changes: each must see the others' last state.
    changing: Mutex<()>,
    shared: Shared,
}

/// What all pools share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Instant,
    /// Told when there is something that peers should know.
    pub(super) changed: Arc<Notify>,
    pub(super) domains: Arc<Domains>,
    pub(super) announcements: Arc<Announcements>,
    /// Routers of the fleet; 0 while they aren't known.
    pub(super) routers: AtomicUsize,
}

#[derive(Debug, Default)]
struct Rollouts {
    orders: HashMap<PoolName, Order>,
    progress: HashMap<PoolName, Progress>,
}

impl Pools {
    /// No pools.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pools: ArcSwap::default(),
            entries: ArcSwap::default(),
            rollouts: Mutex::default(),
            changing: Mutex::default(),
            shared: Shared {
                clock: Instant::now(),
                changed: Arc::default(),
                domains: Arc::default(),
                announcements: Arc::default(),
                routers: AtomicUsize::new(0),
            },
        }
    }

    /// Told when there is something that peers should know.
    pub(crate) fn changed(&self) -> Arc<Notify> {
        Arc::clone(&self.shared.changed)
    }

    /// The failure domains.
    #[must_use]
    pub fn domains(&self) -> &Domains {
        &self.shared.domains
    }

    /// All pools.
    pub(crate) fn all(&self) -> Vec<Arc<Pool>> {
        self.pools.load().values().cloned().collect()
    }

    /// A pool.
    #[must_use]
    pub fn get(&self, name: &PoolName) -> Option<Arc<Pool>> {
        self.pools.load().get(name).cloned()
    }

    /// Takes the pools of a configuration. One that is no longer declared stays for the
    /// requests that it has.
    pub fn set_config(&self, config: &Config, settings: &RouterSettings) {
        let _changing = self.changing();
        let mut pools = HashMap::clone(&self.pools.load());
        for (name, spec) in &config.pools {
            if let Some(pool) = pools.get(name) {
                pool.set_spec(Arc::clone(spec));
                continue;
            }
            let pool = Pool::new(Arc::clone(spec), settings, &self.shared);
            self.set_rollout(&pool);
            pool.set_servers(&members(&self.entries.load(), name));
            pools.insert(name.clone(), Arc::new(pool));
        }
        self.pools.store(Arc::new(pools));
    }

    /// Takes the number of routers that the fleet-wide retries are shared between.
    pub fn set_routers(&self, routers: usize, settings: &RouterSettings) {
        let burst = retry_burst(settings, routers);
        self.shared.routers.store(routers, Relaxed);
        for pool in self.pools.load().values() {
            pool.retries.set_burst(burst);
            let mut fleet = pool.fleet();
            fleet.set_isolation(routers <= server_updates::MAX_PEERS + 1);
            fleet.set_routers(routers);
        }
    }

    /// Takes the failure domains whose servers get no requests; all others do.
    pub fn set_emptied(&self, emptied: HashSet<DomainName>) {
        let _changing = self.changing();
        self.shared.domains.set_drained_domains(emptied);
        let emptied = self.shared.domains.drained();
        for pool in self.pools.load().values() {
            pool.set_emptied(&emptied);
        }
    }

    /// Takes all servers that there are.
    pub fn set_servers(&self, entries: HashMap<ServerName, ServerEntry>) {
        let _changing = self.changing();
        self.shared.announcements.prune();
        let entries = Arc::new(entries);
        self.entries.store(Arc::clone(&entries));
        for (name, pool) in self.pools.load().iter() {
            pool.set_servers(&members(&entries, name));
        }
    }

    /// Takes all roll-outs that are ordered.
    pub fn set_orders(&self, orders: HashMap<PoolName, Order>) {
        let _changing = self.changing();
        self.rollouts().orders = orders;
        for pool in self.pools.load().values() {
            if self.set_rollout(pool) {
                self.assign(pool);
            }
        }
    }

    /// Takes how far a pool's roll-out has come. Says whether that is new.
    pub fn set_progress(&self, name: &PoolName, progress: &Progress) -> bool {
        let _changing = self.changing();
        let mut rollouts = self.rollouts();
        let known = rollouts.progress.get(name);
        if known.is_some_and(|known| (known.order, known.stage) >= (progress.order, progress.stage))
        {
            return false;
        }
        rollouts.progress.insert(name.clone(), progress.clone());
        drop(rollouts);
        if let Some(pool) = self.get(name)
            && self.set_rollout(&pool)
        {
            self.assign(&pool);
        }
        true
    }

    /// All that operators ordered up to `at` is known.
    pub fn confirm_orders(&self, at: tokio::time::Instant) {
        let stamp = at.into_std().saturating_duration_since(self.shared.clock);
        let stamp = stamp.as_micros() as Micros;
        let _changing = self.changing();
        for pool in self.pools.load().values() {
            if pool.lane.confirm(stamp) {
                self.assign(pool);
            }
        }
    }

    /// Tells a pool of its roll-out. Says whether that changes what its servers take.
    fn set_rollout(&self, pool: &Pool) -> bool {
        let rollouts = self.rollouts();
        let is_ordered = pool.lane.set_order(rollouts.orders.get(&pool.name));
        let progress = rollouts.progress.get(&pool.name);
        let has_gone_on = progress.is_some_and(|progress| pool.lane.set_progress(progress));
        is_ordered || has_gone_on
    }

    /// What a pool's servers take changes.
    fn assign(&self, pool: &Pool) {
        pool.set_servers(&members(&self.entries.load(), &pool.name));
    }

    fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn changing(&self) -> MutexGuard<'_, ()> {
        self.changing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The servers of one pool.
fn members<'a>(
    entries: &'a HashMap<ServerName, ServerEntry>,
    pool: &PoolName,
) -> Vec<&'a ServerEntry> {
    let members = entries.values().filter(|entry| entry.pool == *pool);
    members.collect()
}

impl Default for Pools {
    fn default() -> Self {
        Self::new()
    }
}
