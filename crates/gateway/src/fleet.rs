//! The backend servers of each pool, as known to this router.
//!
//! [`Pools`] applies the configuration and the server directory. [`Pool::send`] selects a server
//! and returns a [`Ticket`], which reports the outcome of the request to the pool's [`Fleet`].

pub mod brittle;
mod leaving;
mod limited;
mod pools;
mod reach;
pub mod speeds;
mod ticket;
mod versions;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use swiftlink_rollout::{Assignment, StatsKey};
use swiftlink_routing::{
    Fleet, FleetPolicy, LoadReport, PickArgs, PrefillIsolation, Prompt, RetryBudget, ServerIdx,
    ServerSpec, ServerUpdate,
};
use swiftlink_telemetry::event;
use swiftlink_types::{DomainName, Micros, PoolName, ServerInstance, ServerName, VersionName};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::PoolAdmission;
use crate::catalog::ServerEntry;
use crate::domains::Domains;
use crate::eligibility::{Announcements, Eligibility};
use crate::limits::LimitedServers;
use crate::model::PoolSpec;
use crate::origins::Origins;
use crate::paths::{Destination, Paths, ServerId, ServerPath};
use crate::rollout::PoolRollout;
use crate::settings::RouterSettings;

use limited::Shortage;
pub use pools::Pools;
use pools::Shared;
use speeds::SpeedLog;
pub use ticket::Ticket;
use versions::send_to_any;

/// Share of the fleet-wide retry budget that routers use. Each router counts for itself, and
/// requests aren't spread evenly over routers.
const RETRY_SHARE: f64 = 0.6;
/// Retry delay for callers of a pool whose servers are all in drained failure domains. When a
/// domain returns isn't known in advance; maintenance takes longer than this.
const DRAINED_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Minimum number of routers that share the retry budget of a window. Members are only read after
/// the start and more may be added; until then the routers together must not exceed the budget.
const MIN_ROUTERS: usize = 12;

/// A pool of backend servers.
#[derive(Debug)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Limit on retries.
    pub retries: RetryBudget,
    /// Rollout of a new version of its servers.
    pub rollout: PoolRollout,
    /// Admission of its requests.
    pub admission: PoolAdmission,
    spec: ArcSwap<PoolSpec>,
    fleet: Mutex<Fleet>,
    servers: ArcSwap<HashMap<ServerName, ServerInfo>>,
    /// Versions that began streams.
    origins: Arc<Origins>,
    domains: Arc<Domains>,
    announcements: Arc<Announcements>,
    paths: Arc<Paths>,
    /// Servers of all pools that limit their rate.
    limited: Arc<LimitedServers>,
    /// Notified when there are permits for a limited server.
    granted: Notify,
    /// Number of requests so far.
    arrivals: AtomicU64,
    /// Requests that were refused for lack of permits.
    shortage: Shortage,
    speed_log: SpeedLog,
    clock: Instant,
    /// Notified when there are updates for peers.
    changed: Arc<Notify>,
    /// Number of routers in the fleet; 0 if not known yet.
    routers: Arc<AtomicUsize>,
}

/// Retries that one router may accumulate in a fleet of `routers`.
fn retry_burst(settings: &RouterSettings, routers: usize) -> u32 {
    let routers = routers.max(MIN_ROUTERS) as f64;
    (settings.retries.slack * RETRY_SHARE / routers).max(1.0) as u32
}

/// Directory data of one server.
#[derive(Clone, Debug)]
struct ServerInfo {
    address: SocketAddr,
    version: VersionName,
    eligibility: Eligibility,
    path: Arc<ServerPath>,
}

/// A server selected for a request.
#[derive(Clone, Debug)]
pub struct SelectedServer {
    /// Name and start time.
    pub instance: ServerInstance,
    /// Version of its software.
    pub version: VersionName,
    /// The server and this router's path to it.
    pub destination: Destination,
    /// Whether it may get requests, and why not.
    pub eligibility: Eligibility,
}

/// Requirements of a request on its server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerCriteria<'a> {
    /// Hash of the prompt prefix shared with other requests; 0 if there is none.
    pub prefix: u64,
    /// Length of its prompt.
    pub prompt: Prompt,
    /// Target time to first event.
    pub latency_target: Duration,
    /// Failure domains that are allowed; `None` for all.
    pub domains: Option<&'a HashSet<DomainName>>,
    /// Servers that must not be selected.
    pub exclude: &'a [ServerIdx],
    /// Route under which its response is counted.
    pub route: Option<&'a Arc<str>>,
    /// Version that the request must run on, since it began the response; `None` for any.
    pub version: Option<&'a VersionName>,
    /// Whether the response is a stream that its caller may resume.
    pub is_resumable: bool,
    /// Whether it may go to a canary server.
    pub may_canary: bool,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
}

impl Pool {
    fn new(spec: Arc<PoolSpec>, settings: &RouterSettings, shared: &Shared) -> Self {
        let mut policy = FleetPolicy::new(settings.domain.clone());
        policy.seed = xxh3_64(settings.vm.as_str().as_bytes());
        let share = settings.retries.ratio * RETRY_SHARE;
        let mut fleet = Fleet::new(policy, Box::new(PrefillIsolation::default()));
        fleet.set_max_gap(spec.max_gap);
        fleet.set_warmup(spec.warmup);
        fleet.set_drained_domains(&shared.domains.drained(), 0);
        fleet.set_routers(shared.routers.load(Relaxed));
        Self {
            name: spec.name.clone(),
            retries: RetryBudget::with_window(
                share,
                retry_burst(settings, 0),
                settings.retries.window,
            ),
            rollout: PoolRollout::new(settings.rollouts),
            admission: PoolAdmission::new(spec.name.clone(), settings.admission),
            spec: ArcSwap::new(spec),
            fleet: Mutex::new(fleet),
            servers: ArcSwap::default(),
            origins: Arc::clone(&shared.origins),
            domains: Arc::clone(&shared.domains),
            announcements: Arc::clone(&shared.announcements),
            paths: Arc::clone(&shared.paths),
            limited: Arc::clone(&shared.limited),
            granted: Notify::new(),
            arrivals: AtomicU64::new(0),
            shortage: Shortage::default(),
            speed_log: SpeedLog::default(),
            clock: shared.clock,
            changed: Arc::clone(&shared.changed),
            routers: Arc::clone(&shared.routers),
        }
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn on_request(&self) {
        self.arrivals.fetch_add(1, Relaxed);
        self.retries.on_request(self.now());
    }

    /// Takes the updates about servers that peers haven't received yet.
    pub(crate) fn take_updates(&self) -> Vec<ServerUpdate> {
        self.fleet().take_updates()
    }

    /// Applies a peer's update about a server.
    pub(crate) fn on_peer_update(&self, peer: u64, update: &ServerUpdate) {
        let now = self.now();
        self.change_fleet(|fleet| fleet.on_peer_update(peer, now, update));
    }

    /// Changes the fleet, and logs if this changes the number of servers that long prompts are kept
    /// away from.
    fn change_fleet(&self, change: impl FnOnce(&mut Fleet)) {
        let mut fleet = self.fleet();
        let before = fleet.isolated_len();
        change(&mut fleet);
        let after = fleet.isolated_len();
        let stall = fleet.stall();
        drop(fleet);
        if before != after {
            event!(
                info,
                "pool.isolated_servers",
                pool = self.name,
                servers = after,
                before = before,
                stall_ms = stall.as_millis(),
            );
        }
    }

    /// The configured specification.
    #[must_use]
    pub fn spec(&self) -> Arc<PoolSpec> {
        self.spec.load_full()
    }

    /// Selects a server for a request and counts the request as sent. Returns `None` if no server
    /// can take it.
    #[must_use]
    pub fn send(
        self: &Arc<Self>,
        criteria: &ServerCriteria<'_>,
    ) -> Option<(SelectedServer, Ticket)> {
        let now = self.now();
        if self.is_reserved(now, criteria.priority) {
            return None;
        }
        let may_canary = criteria.may_canary && criteria.version.is_none();
        let is_canary = may_canary && self.rollout.is_canary(rand::random());
        let barred = self.barred_versions(criteria);
        let pick = PickArgs {
            now,
            version: criteria.version,
            barred: &barred,
            is_canary,
            prefix: criteria.prefix,
            prompt: criteria.prompt,
            ttft_target: criteria.latency_target.as_micros() as Micros,
            exclude: criteria.exclude,
            domains: criteria.domains,
            may_probe: true,
        };
        let mut fleet = self.fleet();
        let dispatch = send_to_any(&mut fleet, pick)?;
        let instance = fleet.get(dispatch.idx)?.instance().clone();
        let mut info = self.servers.load().get(&instance.name).cloned();
        if let Some(info) = info.as_mut().filter(|_| criteria.version.is_some()) {
            // A version goes on with what it began, also if it gets no other requests.
            info.eligibility.gate = Arc::default();
        }
        let permit = info
            .as_ref()
            .and_then(|info| limited::take_permit(&mut fleet, dispatch.idx, info));
        drop(fleet);
        self.changed.notify_one();
        let idx = dispatch.idx;
        let response_key = self.response_key(criteria.route, info.as_ref());
        let ticket = Ticket {
            pool: Arc::clone(self),
            dispatch: Some(dispatch),
            idx,
            response_key,
            has_response: false,
            permit,
        };
        Some((self.selected(instance, info?), ticket))
    }

    fn selected(&self, instance: ServerInstance, info: ServerInfo) -> SelectedServer {
        let id = ServerId {
            pool: self.name.clone(),
            instance: instance.clone(),
        };
        SelectedServer {
            instance,
            version: info.version,
            destination: Destination {
                id,
                address: info.address,
                path: info.path,
            },
            eligibility: info.eligibility,
        }
    }

    fn response_key(
        &self,
        route: Option<&Arc<str>>,
        info: Option<&ServerInfo>,
    ) -> Option<StatsKey> {
        self.rollout.response_key(route?, &info?.version)
    }

    /// Number of servers of a version that aren't draining, and number of servers of other
    /// versions.
    pub(crate) fn count_servers(&self, version: &VersionName) -> (usize, usize) {
        let servers = self.servers.load();
        let new = servers.values().filter(|info| info.version == *version);
        let new = new
            .filter(|info| !info.eligibility.announcement.is_draining())
            .count();
        let old = servers.values().filter(|info| info.version != *version);
        (new, old.count())
    }

    /// Requests of this router that run on servers of other versions.
    #[must_use]
    pub fn running_on_others(&self, version: &VersionName) -> u64 {
        let servers = self.servers.load();
        let fleet = self.fleet();
        let others = servers.iter().filter(|(_, info)| info.version != *version);
        let servers = others.filter_map(|(name, _)| fleet.get(fleet.find(name)?));
        servers
            .map(|server| u64::from(server.load().in_flight()))
            .sum()
    }

    fn set_spec(&self, spec: Arc<PoolSpec>) {
        let mut fleet = self.fleet();
        fleet.set_max_gap(spec.max_gap);
        fleet.set_warmup(spec.warmup);
        drop(fleet);
        self.spec.store(spec);
    }

    /// Number of servers that may get requests.
    #[must_use]
    pub fn open_len(&self) -> usize {
        self.fleet().open_len()
    }

    /// Number of those that are ejected for errors.
    #[must_use]
    pub fn ejected_len(&self) -> usize {
        self.fleet().ejected_len()
    }

    /// Number of servers that may get requests and are still warming up.
    #[must_use]
    pub fn cold_len(&self) -> usize {
        self.fleet().cold_len()
    }

    /// Time until a server may get requests again, if none does because all are warming up, backing
    /// off, limited or in drained failure domains. Returns `None` if some may get requests: when one of
    /// those has capacity isn't known. `priority` is that of the refused request.
    #[must_use]
    pub fn retry_after(&self, priority: u8) -> Option<Duration> {
        let fleet = self.fleet();
        if fleet.open_len() > fleet.cold_len() {
            return None;
        }
        let now = self.now();
        let waits = [fleet.warm_in(now), fleet.backoff_left(now)];
        let has_drained_domain = fleet.has_drained_domain();
        drop(fleet);
        let waits = waits.into_iter().chain([self.permit_wait(now, priority)]);
        let first = waits.flatten().min();
        first.or_else(|| has_drained_domain.then_some(DRAINED_RETRY_DELAY))
    }

    /// Applies the remaining warm-up time that a server's response announces.
    pub fn on_cold(&self, idx: ServerIdx, left: Duration) {
        let now = self.now();
        self.fleet().on_cold(idx, now, left.as_micros() as Micros);
    }

    /// Handles a response that announces that its server is draining.
    pub fn on_draining(&self, idx: ServerIdx, server: &SelectedServer) {
        if !server.eligibility.announcement.set_draining() {
            return;
        }
        event!(info, "server.draining", server = server.instance.name);
        self.fleet().mark_drained(idx);
    }

    /// Handles a response that asks for backoff.
    pub fn on_backoff(&self, idx: ServerIdx, server: &SelectedServer, time: Duration) {
        let before = server.eligibility.announcement.backoff_left();
        server.eligibility.announcement.back_off(time);
        if before.is_zero() {
            let name = &server.instance.name;
            event!(info, "server.backoff", server = name, ms = time.as_millis());
        }
        let now = self.now();
        let until = now.saturating_add(time.as_micros() as Micros);
        self.fleet().on_backoff(idx, now, until);
    }

    fn set_drained_domains(&self, drained: &HashSet<DomainName>) {
        let now = self.now();
        self.fleet().set_drained_domains(drained, now);
    }

    /// Applies a server's load report.
    pub fn on_report(&self, idx: ServerIdx, report: LoadReport) {
        let now = self.now();
        self.admission.on_load_report();
        self.fleet().on_report(idx, now, report);
    }

    fn set_servers(&self, entries: &[&ServerEntry]) {
        let mut specs = Vec::with_capacity(entries.len());
        let mut servers = HashMap::with_capacity(entries.len());
        let now = self.now();
        let assignments = self.rollout.assign(entries, now);
        for (entry, assignment) in entries.iter().zip(assignments) {
            let announcement = self.announcements.of(&entry.instance);
            if entry.draining {
                announcement.set_leaving();
            }
            specs.push(ServerSpec {
                instance: entry.instance.clone(),
                domain: entry.domain.clone(),
                vm: None,
                slots: entry.slots,
                drain: entry.draining || announcement.is_draining(),
                version: Some(entry.version.clone()),
                is_excluded: assignment == Assignment::Excluded,
                is_canary: assignment == Assignment::Canary,
                cold_until: cold_until(now, entry.warmup),
            });
            let info = ServerInfo {
                address: entry.address,
                version: entry.version.clone(),
                path: self.paths.of(&entry.instance),
                eligibility: Eligibility {
                    domain: self.domains.get(&entry.domain),
                    announcement,
                    gate: self.rollout.gate(&entry.version),
                },
            };
            servers.insert(entry.instance.name.clone(), info);
        }
        // The fleet is locked until the entries are stored, so that a selected server always has
        // the entry of its instance.
        let mut fleet = self.fleet();
        fleet.set_config(&specs);
        restore_backoff(&mut fleet, &servers, now);
        limited::restore_throttles(&mut fleet, &servers);
        self.servers.store(Arc::new(servers));
    }

    fn now(&self) -> Micros {
        Micros::try_from(self.clock.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        // The fleet's methods keep it consistent even if one of them panics.
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Restores the backoff of servers whose entries were removed and came back.
fn restore_backoff(fleet: &mut Fleet, servers: &HashMap<ServerName, ServerInfo>, now: Micros) {
    for (name, info) in servers {
        let left = info.eligibility.announcement.backoff_left();
        if left.is_zero() {
            continue;
        }
        if let Some(idx) = fleet.find(name) {
            fleet.on_backoff(idx, now, now + left.as_micros() as Micros);
        }
    }
}

/// Time until which a server is warming up; 0 if `left` is zero.
fn cold_until(now: Micros, left: Duration) -> Micros {
    if left.is_zero() {
        return 0;
    }
    now + left.as_micros() as Micros
}
