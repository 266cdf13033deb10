//! The pools and their backend servers, as described by the configuration, the VM list
//! and the load reports of the servers.

use std::collections::HashMap as StdHashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use papaya::HashMap;
use swiftlink_resource::{Config, PoolKind, PoolServer};
use swiftlink_routing::{
    Dispatch, ErrorKind, ExpectedWait, Fleet, FleetPolicy, ListedVm, LoadReport, PickArgs,
    RetryBudget, ServerIdx, ServerSpec, ServerView,
};
use swiftlink_types::{DomainName, Micros, PoolName, ServerInstance, ServerName};
use tokio::time::Instant;

use crate::queue::PoolQueue;

/// Times to the first token below this minimum vary with prompts and with the engines'
/// steps, not with queues at the engines. They don't reduce the slots.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(250);

/// One pool: its queue, its servers and its retry budget.
#[derive(Debug)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Queue of requests that wait for a slot of its servers.
    pub queue: Arc<PoolQueue>,
    /// Limits the retries.
    pub retries: RetryBudget,
    /// Whether its servers are model engines.
    is_model: bool,
    fleet: Mutex<Fleet>,
    addresses: ArcSwap<StdHashMap<ServerName, SocketAddr>>,
    start: Instant,
}

/// A backend server selected for a request. It is consumed by [`Target::done`],
/// [`Target::failed`] or [`Target::draining`], or it is dropped when the request ends
/// without evidence about the server.
#[derive(Debug)]
pub struct Target {
    /// Name of the server.
    pub name: ServerName,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its index in the pool.
    pub idx: ServerIdx,
    pool: Arc<Pool>,
    dispatch: Option<Dispatch>,
}

impl Pool {
    fn new(
        name: PoolName,
        is_model: bool,
        domain: DomainName,
        subset: usize,
        seed: u64,
    ) -> Arc<Self> {
        let policy = FleetPolicy {
            subset,
            seed,
            ..FleetPolicy::new(domain)
        };
        Arc::new(Self {
            queue: PoolQueue::new(name.clone()),
            name,
            retries: RetryBudget::default(),
            is_model,
            fleet: Mutex::new(Fleet::new(policy, Box::new(ExpectedWait::default()))),
            addresses: ArcSwap::default(),
            start: Instant::now(),
        })
    }

    /// Selects a server for a request; `None` when none can accept it now.
    #[must_use]
    pub fn choose(
        self: &Arc<Self>,
        prefix: u64,
        tried: &[ServerIdx],
        may_probe: bool,
    ) -> Option<Target> {
        let pick = PickArgs {
            now: self.now(),
            prefix,
            exclude: tried,
            domains: None,
            may_probe,
            ..PickArgs::default()
        };
        let mut fleet = self.lock();
        let dispatch = fleet.send(&pick, &mut rand::rng())?;
        let idx = dispatch.idx;
        let name = fleet.get(idx).map(|server| server.name().clone());
        drop(fleet);
        let name = name?;
        let address = self.addresses.load().get(&name).copied();
        let mut target = Target {
            address: address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            name,
            idx,
            pool: Arc::clone(self),
            dispatch: Some(dispatch),
        };
        if address.is_none() {
            target.end(Fleet::on_abandoned);
            return None;
        }
        Some(target)
    }

    /// Address of a server of the pool, draining or not.
    #[must_use]
    pub fn address(&self, server: &str) -> Option<SocketAddr> {
        self.addresses.load().get(server).copied()
    }

    /// Whether its servers are model engines.
    #[must_use]
    pub fn is_model(&self) -> bool {
        self.is_model
    }

    /// Number of servers that accept new work, and the time until an ejected server may
    /// be probed if there are none.
    #[must_use]
    pub fn availability(&self) -> (usize, Option<Duration>) {
        let fleet = self.lock();
        (fleet.open_len(), fleet.probe_in(self.now()))
    }

    /// The servers whose load this router polls.
    #[must_use]
    pub fn polled(&self) -> Vec<(ServerIdx, SocketAddr)> {
        let members = self.lock().members();
        let addresses = self.addresses.load();
        let mut polled = Vec::with_capacity(members.len());
        for (idx, name) in members {
            if let Some(address) = addresses.get(&name) {
                polled.push((idx, *address));
            }
        }
        polled
    }

    /// Records a server's load report.
    pub fn on_report(&self, idx: ServerIdx, report: LoadReport) {
        self.change(|fleet, now| fleet.on_report(idx, now, report));
    }

    /// Applies the VM list.
    pub fn set_vm_list(&self, list: &[ListedVm]) {
        self.change(|fleet, _now| fleet.set_vm_list(list));
    }

    /// Snapshot of the state of all servers.
    #[must_use]
    pub fn views(&self) -> Vec<ServerView> {
        self.lock().views(self.now())
    }

    fn configure(&self, servers: &[PoolServer]) {
        let mut specs = Vec::with_capacity(servers.len());
        let mut addresses = StdHashMap::new();
        for server in servers {
            let spec = &server.spec;
            addresses.insert(server.name.clone(), spec.address);
            specs.push(ServerSpec {
                instance: ServerInstance::from(server.name.clone()),
                domain: spec.domain.clone(),
                vm: spec.vm.clone(),
                slots: spec.slots,
                drain: spec.drain,
                version: None,
                is_excluded: false,
                is_canary: false,
                cold_until: 0,
            });
        }
        self.addresses.store(Arc::new(addresses));
        self.change(|fleet, _now| fleet.set_config(&specs));
    }

    /// Applies `change` to the fleet and updates the queue's slots if their number
    /// changed.
    fn change(&self, change: impl FnOnce(&mut Fleet, Micros)) {
        let mut fleet = self.lock();
        let before = fleet.slots();
        change(&mut fleet, self.now());
        let after = fleet.slots();
        drop(fleet);
        if after != before {
            self.queue.set_slots(after);
        }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Contention is low: a selection takes well under a microsecond, and each pool has
    /// its own lock.
    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Target {
    /// Records that the first part of the answer was received.
    pub fn first_token(&mut self) {
        let now = self.pool.now();
        let Some(dispatch) = self.dispatch.as_mut() else {
            return;
        };
        let took = Duration::from_micros(now.saturating_sub(dispatch.at));
        self.pool.lock().on_first_token(dispatch, now);
        if self.pool.is_model {
            self.pool.queue.on_first_token(took.max(MIN_FIRST_TOKEN));
        }
    }

    /// Records that the answer was completed.
    pub fn done(mut self) {
        self.pool.retries.on_success();
        self.end(Fleet::on_end);
    }

    /// Records that the request failed at the server.
    pub fn failed(mut self, kind: ErrorKind) {
        self.end(|fleet, dispatch, now| fleet.on_error(dispatch, now, kind));
    }

    /// Records that the server refused the request because it is draining.
    pub fn draining(mut self) {
        let idx = self.idx;
        self.end(Fleet::on_abandoned);
        self.pool.change(|fleet, now| fleet.on_draining(idx, now));
    }

    fn end(&mut self, finish: impl FnOnce(&mut Fleet, Dispatch, Micros)) {
        if let Some(dispatch) = self.dispatch.take() {
            finish(&mut self.pool.lock(), dispatch, self.pool.now());
        }
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.end(Fleet::on_abandoned);
    }
}

/// All pools by name.
#[derive(Debug)]
pub struct Pools {
    pools: HashMap<PoolName, Arc<Pool>>,
    domain: DomainName,
    subset: usize,
    seed: u64,
}

impl Pools {
    /// Creates an empty set of pools for a router in `domain`. `seed` makes its server
    /// subsets differ from those of other routers.
    #[must_use]
    pub fn new(domain: DomainName, subset: usize, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            pools: HashMap::new(),
            domain,
            subset,
            seed,
        })
    }

    /// The pool named `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<Arc<Pool>> {
        self.pools.pin().get(name).map(Arc::clone)
    }

    /// All pools.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Pool>> {
        self.pools.pin().values().map(Arc::clone).collect()
    }

    fn open(&self, name: &PoolName, is_model: bool) -> Arc<Pool> {
        let domain = self.domain.clone();
        Pool::new(name.clone(), is_model, domain, self.subset, self.seed)
    }

    /// Applies a new configuration. Must not be called concurrently.
    pub fn configure(&self, config: &Config) {
        let pools = self.pools.pin();
        for (name, spec) in &config.pools {
            let is_model = spec.kind == PoolKind::Model;
            let known = pools.get(name).filter(|pool| pool.is_model == is_model);
            let pool = match known {
                Some(pool) => Arc::clone(pool),
                None => self.open(name, is_model),
            };
            pool.configure(config.servers_of(name.as_str()));
            pools.insert(name.clone(), pool);
        }
        pools.retain(|name, _| config.pools.contains_key(name));
    }
}
