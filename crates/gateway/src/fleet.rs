//! The backend servers of each pool, as this router knows them.
//!
//! [`Pools`] follows the configuration and the directory; [`Pool::send`] chooses a server
//! and gives a [`Ticket`], which tells the pool's [`Fleet`] how the request ended.

mod pools;
mod ticket;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use swiftlink_rollout::Part;
use swiftlink_routing::{
    Fleet, FleetPolicy, LoadReport, PickArgs, PrefillIsolation, Prompt, RetryBudget, ServerIdx,
    ServerSpec, ServerUpdate,
};
use swiftlink_telemetry::event;
use swiftlink_types::{DomainName, Micros, PoolName, ServerName, Start, VersionName};
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::ServerEntry;
use crate::domains::Domains;
use crate::eligibility::{Announcements, Eligibility};
use crate::model::PoolSpec;
use crate::rollout::{Lane, Mark};
use crate::settings::RouterSettings;

pub use pools::Pools;
use pools::Shared;
pub use ticket::Ticket;

/// Part of the fleet-wide retries that routers use in all: each counts by itself, and
/// requests are not spread evenly over them.
const RETRY_PART: f64 = 0.6;
/// When callers may come back to a pool whose servers are all in emptied failure domains. When
/// operators take one back isn't told; work on a domain takes longer than this.
const EMPTIED_WAIT: Duration = Duration::from_secs(2);
/// Routers that the retries of one window are shared between, until more show: members are
/// read at the start and may be added, and together they must not retry too much before.
const ROUTERS: usize = 12;

/// One pool.
#[derive(Debug)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Bound on requests that are sent again.
    pub retries: RetryBudget,
    /// What its servers take by their versions.
    pub lane: Lane,
    spec: ArcSwap<PoolSpec>,
    fleet: Mutex<Fleet>,
    places: ArcSwap<HashMap<ServerName, Place>>,
    domains: Arc<Domains>,
    announcements: Arc<Announcements>,
    clock: Instant,
    /// Told when there is something that peers should know.
    changed: Arc<Notify>,
}

/// Retries that one router may have saved up, among as many routers as are known.
fn retry_burst(settings: &RouterSettings, routers: usize) -> u32 {
    let routers = routers.max(ROUTERS) as f64;
    (settings.retries.slack * RETRY_PART / routers).max(1.0) as u32
}

/// Where a server is.
#[derive(Clone, Debug)]
struct Place {
    address: SocketAddr,
    version: VersionName,
    eligibility: Eligibility,
}

/// A chosen server.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its name, and when it started.
    pub start: Start,
    /// Where it listens.
    pub address: SocketAddr,
    /// What decides whether requests may go there.
    pub eligibility: Eligibility,
}

/// What a request asks of the server that it is sent to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wish<'a> {
    /// Hash of the prompt's prefix, which other requests have too; 0: none.
    pub prefix: u64,
    /// Length of its prompt.
    pub prompt: Prompt,
    /// Time to the first event that the caller hopes for.
    pub aim: Duration,
    /// Failure domains that it may go to; all where there is nothing.
    pub domains: Option<&'a HashSet<DomainName>>,
    /// Servers that it isn't to be sent to.
    pub exclude: &'a [ServerIdx],
    /// Its route, which its answer is counted with.
    pub route: Option<&'a Arc<str>>,
    /// Whether it may be one of a roll-out's trial.
    pub may_try: bool,
}

impl Pool {
    fn new(spec: Arc<PoolSpec>, settings: &RouterSettings, shared: &Shared) -> Self {
        let mut policy = FleetPolicy::new(settings.domain.clone());
        policy.seed = xxh3_64(settings.vm.as_str().as_bytes());
        let share = settings.retries.ratio * RETRY_PART;
        let mut fleet = Fleet::new(policy, Box::new(PrefillIsolation::default()));
        fleet.set_max_gap(spec.pause);
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
            lane: Lane::new(settings.rollouts),
            spec: ArcSwap::new(spec),
            fleet: Mutex::new(fleet),
            places: ArcSwap::default(),
            domains: Arc::clone(&shared.domains),
            announcements: Arc::clone(&shared.announcements),
            clock: shared.clock,
            changed: Arc::clone(&shared.changed),
        }
    }

    /// Counts a request that may have to be sent again.
    pub(crate) fn on_request(&self) {
        self.retries.on_request(self.now());
    }

    /// What peers should know and were not told yet.
    pub(crate) fn take_notes(&self) -> Vec<ServerUpdate> {
        self.fleet().take_updates()
    }

    /// Takes what a peer tells of a server.
    pub(crate) fn on_note(&self, peer: u64, note: &ServerUpdate) {
        let now = self.now();
        self.with_speeds(|fleet| fleet.on_peer_update(peer, now, note));
    }

    /// Changes the fleet, and logs when long prompts are kept away from other servers then.
    fn with_speeds(&self, change: impl FnOnce(&mut Fleet)) {
        let mut fleet = self.fleet();
        let before = fleet.isolated_len();
        change(&mut fleet);
        let after = fleet.isolated_len();
        let stall = fleet.stall();
        drop(fleet);
        if before != after {
            event!(
                info,
                "pool.quiet_servers",
                pool = self.name,
                servers = after,
                before = before,
                stall_ms = stall.as_millis(),
            );
        }
    }

    /// What is declared of it.
    #[must_use]
    pub fn spec(&self) -> Arc<PoolSpec> {
        self.spec.load_full()
    }

    /// Chooses a server for a request, and counts the request as sent. `None` when no server
    /// can take it.
    #[must_use]
    pub fn send(self: &Arc<Self>, wish: &Wish<'_>) -> Option<(Chosen, Ticket)> {
        let now = self.now();
        let is_canary = wish.may_try && self.lane.is_canary(rand::random());
        let mut pick = PickArgs {
            now,
            is_canary,
            prefix: wish.prefix,
            prompt: wish.prompt,
            ttft_target: wish.aim.as_micros() as Micros,
            exclude: wish.exclude,
            domains: wish.domains,
            may_probe: true,
        };
        let mut fleet = self.fleet();
        let mut sent = fleet.send(&pick, &mut rand::rng());
        if sent.is_none() && is_canary {
            pick.is_canary = false;
            sent = fleet.send(&pick, &mut rand::rng());
        }
        let sent = sent?;
        let start = fleet.get(sent.idx)?.instance().clone();
        let place = self.places.load().get(&start.name).cloned();
        drop(fleet);
        self.changed.notify_one();
        let idx = sent.idx;
        let mark = self.mark(wish.route, place.as_ref());
        let ticket = Ticket {
            pool: Arc::clone(self),
            sent: Some(sent),
            idx,
            mark,
            is_answered: false,
        };
        let Place {
            address,
            eligibility,
            ..
        } = place?;
        let chosen = Chosen {
            start,
            address,
            eligibility,
        };
        Some((chosen, ticket))
    }

    fn mark(&self, route: Option<&Arc<str>>, place: Option<&Place>) -> Option<Mark> {
        self.lane.mark(route?, &place?.version)
    }

    /// Servers of a version that may get work, and all others.
    pub(crate) fn count(&self, version: &VersionName) -> (usize, usize) {
        let places = self.places.load();
        let new = places.values().filter(|place| place.version == *version);
        let new = new
            .filter(|place| !place.eligibility.announcement.is_draining())
            .count();
        let old = places.values().filter(|place| place.version != *version);
        (new, old.count())
    }

    /// Requests of this router that run at servers of other versions.
    #[must_use]
    pub fn running_elsewhere(&self, version: &VersionName) -> u64 {
        let places = self.places.load();
        let fleet = self.fleet();
        let others = places.iter().filter(|(_, place)| place.version != *version);
        let servers = others.filter_map(|(name, _)| fleet.get(fleet.find(name)?));
        servers
            .map(|server| u64::from(server.load().in_flight()))
            .sum()
    }

    fn set_spec(&self, spec: Arc<PoolSpec>) {
        let mut fleet = self.fleet();
        fleet.set_max_gap(spec.pause);
        fleet.set_warmup(spec.warmup);
        drop(fleet);
        self.spec.store(spec);
    }

    /// Servers that may get work.
    #[must_use]
    pub fn open(&self) -> usize {
        self.fleet().open_len()
    }

    /// Servers that are cold and may get work.
    #[must_use]
    pub fn cold(&self) -> usize {
        self.fleet().cold_len()
    }

    /// When a server may take work again, where none does since all are cold, rest or are in emptied
    /// failure domains. `None` where some are open: when one of those has room isn't known.
    #[must_use]
    pub fn back_in(&self) -> Option<Duration> {
        let fleet = self.fleet();
        if fleet.open_len() > fleet.cold_len() {
            return None;
        }
        let now = self.now();
        let waits = [fleet.warm_in(now), fleet.backoff_left(now)];
        let first = waits.into_iter().flatten().min();
        first.or_else(|| fleet.has_drained_domain().then_some(EMPTIED_WAIT))
    }

    /// A server's answer says how much longer it is cold.
    pub fn on_cold(&self, idx: ServerIdx, left: Duration) {
        let now = self.now();
        self.fleet().on_cold(idx, now, left.as_micros() as Micros);
    }

    /// A server's answer says that it leaves.
    pub fn on_leaving(&self, idx: ServerIdx, server: &Chosen) {
        if !server.eligibility.announcement.set_draining() {
            return;
        }
        event!(info, "server.leaving", server = server.start.name);
        self.fleet().mark_drained(idx);
    }

    /// A server's answer asks for so long a rest.
    pub fn on_rest(&self, idx: ServerIdx, server: &Chosen, time: Duration) {
        let before = server.eligibility.announcement.backoff_left();
        server.eligibility.announcement.back_off(time);
        if before.is_zero() {
            let name = &server.start.name;
            event!(info, "server.resting", server = name, ms = time.as_millis());
        }
        let now = self.now();
        let until = now.saturating_add(time.as_micros() as Micros);
        self.fleet().on_backoff(idx, now, until);
    }

    fn set_emptied(&self, emptied: &HashSet<DomainName>) {
        let now = self.now();
        self.fleet().set_drained_domains(emptied, now);
    }

    /// A server's report of its load.
    pub fn on_report(&self, idx: ServerIdx, report: LoadReport) {
        let now = self.now();
        self.fleet().on_report(idx, now, report);
    }

    fn set_servers(&self, entries: &[&ServerEntry]) {
        let mut specs = Vec::with_capacity(entries.len());
        let mut places = HashMap::with_capacity(entries.len());
        let now = self.now();
        let parts = self.lane.assign(entries, now);
        for (entry, part) in entries.iter().zip(parts) {
            let announcement = self.announcements.of(&entry.start);
            specs.push(ServerSpec {
                instance: entry.start.clone(),
                domain: entry.domain.clone(),
                vm: None,
                slots: entry.slots,
                drain: entry.draining || announcement.is_draining() || part == Part::Held,
                is_canary: part == Part::Trial,
                cold_until: cold_until(now, entry.warmup),
            });
            let place = Place {
                address: entry.address,
                version: entry.version.clone(),
                eligibility: Eligibility {
                    domain: self.domains.get(&entry.domain),
                    announcement,
                    gate: self.lane.gate(&entry.version),
                },
            };
            places.insert(entry.start.name.clone(), place);
        }
        // Whoever chooses a server finds the place of that start.
        let mut fleet = self.fleet();
        fleet.set_config(&specs);
        rest_on(&mut fleet, &places, now);
        self.places.store(Arc::new(places));
    }

    fn now(&self) -> Micros {
        Micros::try_from(self.clock.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        // The fleet's methods leave it whole, also when one of them panics.
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Servers that asked for rest go on resting when their entries have come back.
fn rest_on(fleet: &mut Fleet, places: &HashMap<ServerName, Place>, now: Micros) {
    for (name, place) in places {
        let left = place.eligibility.announcement.backoff_left();
        if left.is_zero() {
            continue;
        }
        if let Some(idx) = fleet.find(name) {
            fleet.on_backoff(idx, now, now + left.as_micros() as Micros);
        }
    }
}

/// Until when a server is cold that is so for `left` longer; 0 when it is warm.
fn cold_until(now: Micros, left: Duration) -> Micros {
    if left.is_zero() {
        return 0;
    }
    now + left.as_micros() as Micros
}
