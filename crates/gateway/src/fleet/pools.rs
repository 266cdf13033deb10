//! The set of all pools, and the order in which changes apply to them.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use swiftlink_rollout::{Order, Progress};
use swiftlink_types::{DomainName, Micros, PoolName, ServerName, VersionName};
use tokio::sync::Notify;

use super::{Pool, retry_burst};
use crate::admission::targets;
use crate::catalog::ServerEntry;
use crate::clock::steady_millis;
use crate::domains::Domains;
use crate::eligibility::Announcements;
use crate::limits::LimitedServers;
use crate::model::Config;
use crate::origins::Origins;
use crate::paths::Paths;
use crate::server_updates;
use crate::settings::RouterSettings;

/// All pools of this router.
#[derive(Debug)]
pub struct Pools {
    pools: ArcSwap<HashMap<PoolName, Arc<Pool>>>,
    entries: ArcSwap<HashMap<ServerName, ServerEntry>>,
    /// Rollout orders and their progress, also of pools that aren't known yet.
    rollouts: Mutex<Rollouts>,
    /// Serializes all changes, since each must see the state left by the previous one.
    update_lock: Mutex<()>,
    shared: Shared,
}

/// State shared by all pools.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) clock: Instant,
    /// Notified when there are updates for peers.
    pub(super) changed: Arc<Notify>,
    pub(super) domains: Arc<Domains>,
    /// Versions that began streams.
    pub(super) origins: Arc<Origins>,
    pub(super) announcements: Arc<Announcements>,
    /// Paths to the servers of all pools.
    pub(super) paths: Arc<Paths>,
    /// Servers that limit their rate.
    pub(super) limited: Arc<LimitedServers>,
    /// Number of routers in the fleet; 0 if not known yet.
    pub(super) routers: Arc<AtomicUsize>,
}

#[derive(Debug, Default)]
struct Rollouts {
    orders: HashMap<PoolName, Order>,
    progress: HashMap<PoolName, Progress>,
}

impl Pools {
    /// Creates an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pools: ArcSwap::default(),
            entries: ArcSwap::default(),
            rollouts: Mutex::default(),
            update_lock: Mutex::default(),
            shared: Shared {
                clock: Instant::now(),
                changed: Arc::default(),
                domains: Arc::default(),
                origins: Arc::default(),
                announcements: Arc::default(),
                paths: Arc::default(),
                limited: Arc::default(),
                routers: Arc::default(),
            },
        }
    }

    /// The signal that there are updates for peers.
    pub(crate) fn changed(&self) -> Arc<Notify> {
        Arc::clone(&self.shared.changed)
    }

    /// The servers that limit their rate.
    pub(crate) fn limited(&self) -> Arc<LimitedServers> {
        Arc::clone(&self.shared.limited)
    }

    /// The versions that began streams.
    #[must_use]
    pub fn origins(&self) -> &Arc<Origins> {
        &self.shared.origins
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

    /// The pool with this name.
    #[must_use]
    pub fn get(&self, name: &PoolName) -> Option<Arc<Pool>> {
        self.pools.load().get(name).cloned()
    }

    /// Applies the pools of a configuration. A pool that is no longer configured is kept for the
    /// requests that it has.
    pub fn set_config(&self, config: &Config, settings: &RouterSettings) {
        let _guard = self.update_lock();
        let mut pools = HashMap::clone(&self.pools.load());
        for (name, spec) in &config.pools {
            if let Some(pool) = pools.get(name) {
                pool.set_spec(Arc::clone(spec));
                pool.admission.set_targets(targets(config, name));
                continue;
            }
            let pool = Pool::new(Arc::clone(spec), settings, &self.shared);
            pool.admission.set_targets(targets(config, name));
            self.set_rollout(&pool);
            pool.set_servers(&servers_of(&self.entries.load(), name));
            pools.insert(name.clone(), Arc::new(pool));
        }
        self.pools.store(Arc::new(pools));
    }

    /// Sets the number of routers that share the fleet-wide retry budget.
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

    /// Sets the drained failure domains, whose servers get no requests.
    pub fn set_drained_domains(&self, drained: HashSet<DomainName>) {
        let _guard = self.update_lock();
        self.shared.domains.set_drained_domains(drained);
        let drained = self.shared.domains.drained();
        for pool in self.pools.load().values() {
            pool.set_drained_domains(&drained);
        }
    }

    /// Replaces the directory of servers.
    pub fn set_servers(&self, entries: HashMap<ServerName, ServerEntry>) {
        let known = self.origins().versions().pools().into_iter();
        let mut versions: HashMap<PoolName, Vec<VersionName>> =
            known.map(|pool| (pool, Vec::new())).collect();
        for entry in entries.values() {
            let versions = versions.entry(entry.pool.clone()).or_default();
            versions.push(entry.version.clone());
        }
        for (pool, versions) in versions {
            self.set_versions(&pool, versions);
        }
        self.set_selected(entries);
    }

    /// Sets the versions of all servers of a pool.
    pub(crate) fn set_versions(&self, pool: &PoolName, versions: Vec<VersionName>) {
        let now = steady_millis();
        if self.origins().versions().set(pool, versions, now) {
            self.origins().wake();
        }
    }

    /// Replaces the servers that requests may use, a selection of all.
    pub(crate) fn set_selected(&self, entries: HashMap<ServerName, ServerEntry>) {
        let _guard = self.update_lock();
        self.shared.announcements.prune();
        self.shared.paths.prune();
        let entries = Arc::new(entries);
        self.entries.store(Arc::clone(&entries));
        for (name, pool) in self.pools.load().iter() {
            pool.set_servers(&servers_of(&entries, name));
        }
    }

    /// Replaces the rollout orders.
    pub fn set_orders(&self, orders: HashMap<PoolName, Order>) {
        let _guard = self.update_lock();
        self.rollouts().orders = orders;
        for pool in self.pools.load().values() {
            if self.set_rollout(pool) {
                self.assign(pool);
            }
        }
    }

    /// Updates the progress of a pool's rollout. Returns whether it is newer than the known one.
    pub fn set_progress(&self, name: &PoolName, progress: &Progress) -> bool {
        let _guard = self.update_lock();
        let mut rollouts = self.rollouts();
        let known = rollouts.progress.get(name);
        if known.is_some_and(|known| !progress.is_after(known)) {
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

    /// Confirms that all orders submitted up to `at` are known.
    pub fn confirm_orders(&self, at: tokio::time::Instant) {
        let stamp = at.into_std().saturating_duration_since(self.shared.clock);
        let stamp = stamp.as_micros() as Micros;
        let _guard = self.update_lock();
        for pool in self.pools.load().values() {
            if pool.rollout.confirm(stamp) {
                self.assign(pool);
            }
        }
    }

    /// Updates the rollout of a pool. Returns whether this changes the assignment of its servers.
    fn set_rollout(&self, pool: &Pool) -> bool {
        let rollouts = self.rollouts();
        let has_new_order = pool.rollout.set_order(rollouts.orders.get(&pool.name));
        let progress = rollouts.progress.get(&pool.name);
        let has_advanced = progress.is_some_and(|progress| pool.rollout.set_progress(progress));
        has_new_order || has_advanced
    }

    /// Reassigns requests to a pool's servers.
    fn assign(&self, pool: &Pool) {
        pool.set_servers(&servers_of(&self.entries.load(), &pool.name));
    }

    fn rollouts(&self) -> MutexGuard<'_, Rollouts> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn update_lock(&self) -> MutexGuard<'_, ()> {
        self.update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The servers of one pool.
fn servers_of<'a>(
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
