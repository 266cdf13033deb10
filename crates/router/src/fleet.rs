//! The pools and their backend servers, as the configuration, the VM list and the
//! servers themselves describe them.

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

/// Times to the first token below this differ by prompts and by the engines' steps,
/// not by queues at the engines; they don't take slots away.
const MIN_FIRST_TOKEN: Duration = Duration::from_millis(250);

/// One pool: its queue, its servers and its retries.
#[derive(Debug)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// The queue before its servers.
    pub queue: Arc<PoolQueue>,
    /// Bounds the retries.
    pub retries: RetryBudget,
    /// Its servers are model engines.
    is_model: bool,
    fleet: Mutex<Fleet>,
    addresses: ArcSwap<StdHashMap<ServerName, SocketAddr>>,
    start: Instant,
}

/// A backend server chosen for a request. Ends in one of [`Target::done`],
/// [`Target::failed`], [`Target::draining`] and its drop.
#[derive(Debug)]
pub struct Target {
    /// Name of the server.
    pub name: ServerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Names it to the pool.
    pub idx: ServerIdx,
    pool: Arc<Pool>,
    sent: Option<Dispatch>,
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

    /// Chooses a server for a request; `None` when none can take it now.
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
        let sent = fleet.send(&pick, &mut rand::rng())?;
        let idx = sent.idx;
        let name = fleet.get(idx).map(|server| server.name().clone());
        drop(fleet);
        let name = name?;
        let address = self.addresses.load().get(&name).copied();
        let mut target = Target {
            address: address.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            name,
            idx,
            pool: Arc::clone(self),
            sent: Some(sent),
        };
        if address.is_none() {
            target.end(Fleet::on_abandoned);
            return None;
        }
        Some(target)
    }

    /// Address of a server of the pool, leaving or not.
    #[must_use]
    pub fn address(&self, server: &str) -> Option<SocketAddr> {
        self.addresses.load().get(server).copied()
    }

    /// Whether its servers are model engines.
    #[must_use]
    pub fn is_model(&self) -> bool {
        self.is_model
    }

    /// Whether some server takes new work, and when one may be tried again if all
    /// are ejected.
    #[must_use]
    pub fn availability(&self) -> (usize, Option<Duration>) {
        let fleet = self.lock();
        (fleet.open_len(), fleet.probe_in(self.now()))
    }

    /// The servers whose load this router follows.
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

    /// Takes a server's load report.
    pub fn on_report(&self, idx: ServerIdx, report: LoadReport) {
        self.change(|fleet, now| fleet.on_report(idx, now, report));
    }

    /// Takes the VM list.
    pub fn set_vm_list(&self, list: &[ListedVm]) {
        self.change(|fleet, _now| fleet.set_vm_list(list));
    }

    /// What is known of the servers.
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
                is_canary: false,
                cold_until: 0,
            });
        }
        self.addresses.store(Arc::new(addresses));
        self.change(|fleet, _now| fleet.set_config(&specs));
    }

    /// Changes the fleet and sets the queue's slots to the outcome.
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

    /// A choice takes well under a microsecond, and the lock is one pool's.
    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Target {
    /// The first part of the answer came.
    pub fn first_token(&mut self) {
        let now = self.pool.now();
        let Some(sent) = self.sent.as_mut() else {
            return;
        };
        let took = Duration::from_micros(now.saturating_sub(sent.at));
        self.pool.lock().on_first_token(sent, now);
        if self.pool.is_model {
            self.pool.queue.on_first_token(took.max(MIN_FIRST_TOKEN));
        }
    }

    /// The answer came to its end.
    pub fn done(mut self) {
        self.pool.retries.on_success();
        self.end(Fleet::on_end);
    }

    /// The request failed at the server.
    pub fn failed(mut self, kind: ErrorKind) {
        self.end(|fleet, sent, now| fleet.on_error(sent, now, kind));
    }

    /// The server refused the request because it is leaving.
    pub fn draining(mut self) {
        let idx = self.idx;
        self.end(Fleet::on_abandoned);
        self.pool.change(|fleet, now| fleet.on_draining(idx, now));
    }

    fn end(&mut self, finish: impl FnOnce(&mut Fleet, Dispatch, Micros)) {
        if let Some(sent) = self.sent.take() {
            finish(&mut self.pool.lock(), sent, self.pool.now());
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
    /// No pools yet, for a router in `domain`; `seed` sets its subsets apart.
    #[must_use]
    pub fn new(domain: DomainName, subset: usize, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            pools: HashMap::new(),
            domain,
            subset,
            seed,
        })
    }

    /// The pool of this name.
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

    /// Takes a new configuration. Not to be called by two tasks at once.
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
