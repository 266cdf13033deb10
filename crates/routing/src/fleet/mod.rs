//! The servers of one pool, as one router knows them.
//!
//! - `members` maintains the set of servers and this router's subset of it.
//! - `choose` selects a server for a request.
//! - `cold` limits the requests to servers that have just started.
//! - `backoff` holds back requests from servers that ask for it.
//! - `working_set` restricts a very large pool to the servers that this router uses.
//! - `isolation` compares the servers' speeds by their streams.
//! - `speeds` samples the servers' speeds and applies those that all routers know.
//! - `peers` exchanges observations with peers.

mod backoff;
mod choose;
mod cold;
mod isolation;
mod members;
mod peers;
mod speeds;
mod working_set;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use swiftlink_types::{DomainName, Micros, ServerName};

use crate::health::ErrorKind;
use crate::load::LoadReport;
use crate::policy::{Policy, PoolStats};
use crate::recent::RecentPrefixes;
use crate::server::{Dispatch, Server, ServerIdx, ServerView};
use crate::spec::FleetPolicy;
use crate::speed::WorkEstimate;

use cold::ColdServers;
pub use cold::Warmup;
use isolation::Isolation;
pub use speeds::SpeedSummary;
use speeds::Speeds;
use working_set::WorkingSet;

/// Minimum tokens of an answer to learn its time per token.
const MIN_TOKENS: u64 = 8;
/// Loads are stored in thousandths.
const MILLI: f64 = 1_000.0;

/// Tracks a pool's servers and picks one for each request.
#[derive(Debug)]
pub struct Fleet {
    settings: FleetPolicy,
    policy: Box<dyn Policy>,
    servers: Vec<Server>,
    by_name: HashMap<ServerName, u32>,
    /// Indices of the available, warm members in the working set.
    open: Vec<u32>,
    /// Name hashes of `open`, in the same order.
    hashes: Vec<u64>,
    /// Indices of the open servers that are ejected.
    ejected: Vec<u32>,
    /// Indices of the servers that get only the requests that their version began.
    excluded: Vec<u32>,
    /// Available members that are cold.
    cold: ColdServers,
    /// Failure domains that operators have drained.
    drained_domains: HashSet<DomainName>,
    /// When the first backoff of a server ends.
    backoff_end: Option<Micros>,
    working_set: WorkingSet,
    pool: PoolStats,
    isolation: Isolation,
    speeds: Speeds,
    /// Pairs of a prefix and a server instance that were used recently.
    cached: RecentPrefixes,
}

impl Fleet {
    /// Creates a fleet without servers.
    #[must_use]
    pub fn new(settings: FleetPolicy, policy: Box<dyn Policy>) -> Self {
        Self {
            settings,
            policy,
            servers: Vec::new(),
            by_name: HashMap::new(),
            open: Vec::new(),
            hashes: Vec::new(),
            ejected: Vec::new(),
            excluded: Vec::new(),
            cold: ColdServers::default(),
            drained_domains: HashSet::new(),
            backoff_end: None,
            working_set: WorkingSet::default(),
            pool: PoolStats::new(),
            isolation: Isolation::new(),
            speeds: Speeds::default(),
            cached: RecentPrefixes::new(),
        }
    }

    /// Sets the failure domains whose servers get no work. Servers of a domain that is taken back
    /// into service may be cold, and count as such for the warm-up time from `now` on.
    pub fn set_drained_domains(&mut self, domains: &HashSet<DomainName>, now: Micros) {
        let cold_until = now + self.cold.time();
        for index in self.by_name.values() {
            let server = &mut self.servers[*index as usize];
            let is_domain_drained = domains.contains(&server.domain);
            if server.is_domain_drained && !is_domain_drained {
                server.cold_until = server.cold_until.max(cold_until);
            }
            server.is_domain_drained = is_domain_drained;
        }
        self.drained_domains.clone_from(domains);
        self.cold.advance(now);
        self.refresh();
    }

    /// Sets the capacity of cold servers; `None` if they can take as much as others.
    pub fn set_warmup(&mut self, warmup: Option<Warmup>) {
        self.cold.set_warmup(warmup);
    }

    /// Sets the number of routers that share the capacity of cold servers; 0 while it is unknown.
    pub fn set_routers(&mut self, routers: usize) {
        self.cold.set_routers(routers);
    }

    /// A server said that it stays cold for `left`.
    pub fn on_cold(&mut self, idx: ServerIdx, now: Micros, left: Micros) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.cold_until = server.cold_until.max(now + left);
        self.cold.advance(now);
        self.refresh();
    }

    /// Whether some servers get no work because their failure domains are drained.
    #[must_use]
    pub fn has_drained_domain(&self) -> bool {
        let mut servers = self.by_name.values();
        servers.any(|index| self.servers[*index as usize].is_domain_drained)
    }

    /// Number of cold servers that may get work.
    #[must_use]
    pub fn cold_len(&self) -> usize {
        self.cold.len()
    }

    /// Time until a cold server becomes warm; `None` without one.
    #[must_use]
    pub fn warm_in(&self, now: Micros) -> Option<Duration> {
        let until = self.cold.next_warm()?;
        Some(Duration::from_micros(until.saturating_sub(now)))
    }

    /// Counts a request as sent to the server. `None` when the server is gone.
    pub fn on_sent(&mut self, idx: ServerIdx, now: Micros) -> Option<Dispatch> {
        let server = self.get_mut(idx)?;
        let load = server.load.estimate(now) / f64::from(server.slots());
        server.on_sent(now);
        Some(Dispatch {
            idx,
            at: now,
            tokens: 0,
            prefill: 0,
            backlog: 0,
            work: WorkEstimate::default(),
            first_at: None,
            load: (load * MILLI) as u32,
        })
    }

    /// The first token (or byte) of the answer arrived.
    pub fn on_first_token(&mut self, dispatch: &mut Dispatch, now: Micros) {
        if dispatch.first_at.is_some() {
            return;
        }
        let time = now.saturating_sub(dispatch.at).max(1) as f64;
        let load = f64::from(dispatch.load) / MILLI;
        let expected = self.pool.expected(load);
        let Some(server) = self.get_mut(dispatch.idx) else {
            return;
        };
        server.on_answered(dispatch);
        dispatch.first_at = Some(now);
        server.ttft.learn(now, time / expected);
        let slowness = server.slowness(now);
        self.pool.learn_ttft(load, time, slowness.max(1.0));
        let time_ratio = self
            .get(dispatch.idx)
            .map_or(1.0, |server| self.time_ratio(server));
        self.isolation
            .learn_prefill(dispatch, time as Micros, time_ratio);
        self.sample_speed(dispatch, time as Micros);
    }

    /// The answer is complete.
    pub fn on_end(&mut self, dispatch: Dispatch, now: Micros) {
        let time = now.saturating_sub(dispatch.at) as f64;
        self.pool.learn_service(time);
        self.learn_inter_token(&dispatch, now);
        let Some(server) = self.get_mut(dispatch.idx) else {
            return;
        };
        server.on_answered(&dispatch);
        server.load.on_done(now);
        let was_open = server.health.is_open();
        server.health.on_success();
        if !was_open {
            self.refresh_ejected();
        }
    }

    /// The dispatch failed.
    pub fn on_error(&mut self, dispatch: Dispatch, now: Micros, kind: ErrorKind) {
        let policy = self.settings.health;
        let may_eject = kind.is_absent() || self.may_eject();
        let Some(server) = self.get_mut(dispatch.idx) else {
            return;
        };
        server.on_answered(&dispatch);
        server.load.on_done(now);
        server.health.on_error(now, kind, &policy, may_eject);
        if !server.health.is_open() {
            self.refresh_ejected();
        }
    }

    /// Ends the ejection of a server whose errors were those of the path to it.
    pub fn readmit(&mut self, idx: ServerIdx) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.health.readmit();
        self.refresh_ejected();
    }

    /// The dispatch ended without evidence about the server: the caller left, or the server refused
    /// because it is draining.
    pub fn on_abandoned(&mut self, dispatch: Dispatch, now: Micros) {
        let Some(server) = self.get_mut(dispatch.idx) else {
            return;
        };
        server.on_answered(&dispatch);
        server.load.on_done(now);
        server.health.on_abandoned();
    }

    /// A load report of the server arrived.
    pub fn on_report(&mut self, idx: ServerIdx, now: Micros, report: LoadReport) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        let Some((own, others)) = server.load.on_report(now, report) else {
            return;
        };
        if report.slots > 0 {
            server.slots = report.slots;
        }
        let made_at = server.load.made_at();
        let was_draining = server.is_draining();
        if report.draining {
            server.draining_at.get_or_insert(made_at);
        } else if server.draining_at.is_some_and(|since| made_at > since) {
            server.draining_at = None;
        }
        let utilization = (own + others) / f64::from(server.slots());
        let mut changed = server.is_draining() != was_draining;
        self.pool.learn_load(own, others);
        changed |= self.working_set.on_load(now, utilization);
        if changed {
            self.refresh();
        }
    }

    /// The server's own answer says that it is draining. Only a newer report revokes that.
    pub fn on_draining(&mut self, idx: ServerIdx, now: Micros) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.draining_at = Some(now);
        self.refresh();
    }

    /// The index of a server by name.
    #[must_use]
    pub fn find(&self, name: &ServerName) -> Option<ServerIdx> {
        let index = self.by_name.get(name)?;
        Some(self.idx(*index))
    }

    /// A server, while it is configured.
    #[must_use]
    pub fn get(&self, idx: ServerIdx) -> Option<&Server> {
        let server = self.servers.get(idx.index())?;
        let is_current = server.generation == idx.generation;
        is_current.then_some(server)
    }

    /// Servers that this router uses and should poll for load reports. Draining ones are included:
    /// a report may revoke that.
    #[must_use]
    pub fn members(&self) -> Vec<(ServerIdx, ServerName)> {
        let indices = self.by_name.values().copied();
        let mut members: Vec<_> = indices
            .filter(|index| self.servers[*index as usize].is_member)
            .map(|index| (self.idx(index), self.servers[index as usize].name().clone()))
            .collect();
        members.sort_by_key(|(idx, _)| *idx);
        members
    }

    /// Total slots of all open servers.
    #[must_use]
    pub fn slots(&self) -> usize {
        let servers = self.open.iter().map(|index| &self.servers[*index as usize]);
        servers.map(|server| server.slots() as usize).sum()
    }

    /// Number of servers that may get work: available members, including cold ones.
    #[must_use]
    pub fn open_len(&self) -> usize {
        self.open.len() + self.cold.len()
    }

    /// Whether one of the warm servers that may get work matches.
    pub fn any_open(&self, matches: impl Fn(&ServerName) -> bool) -> bool {
        let mut servers = self.open.iter();
        servers.any(|index| matches(self.servers[*index as usize].name()))
    }

    /// Number of available servers that are ejected.
    #[must_use]
    pub fn ejected_len(&self) -> usize {
        self.ejected.len()
    }

    /// End of a server's ejection; `None` if it isn't ejected.
    #[must_use]
    pub fn ejected_until(&self, idx: ServerIdx) -> Option<Micros> {
        self.get(idx)?.health.ejected_until()
    }

    /// Time until an ejected server may be probed, if all open ones are ejected.
    #[must_use]
    pub fn probe_in(&self, now: Micros) -> Option<Duration> {
        if self.ejected.len() < self.open.len() {
            return None;
        }
        let servers = self
            .ejected
            .iter()
            .map(|index| &self.servers[*index as usize]);
        let until = servers
            .filter_map(|server| server.health.ejected_until())
            .min()?;
        Some(Duration::from_micros(until.saturating_sub(now)))
    }

    /// Name of the policy.
    #[must_use]
    pub fn policy(&self) -> &'static str {
        self.policy.name()
    }

    /// Summary of each configured server, ordered by name.
    #[must_use]
    pub fn views(&self, now: Micros) -> Vec<ServerView> {
        let mut views: Vec<ServerView> = self
            .by_name
            .values()
            .map(|index| self.view(*index, now))
            .collect();
        views.sort_by(|one, two| one.name.cmp(&two.name));
        views
    }

    fn view(&self, index: u32, now: Micros) -> ServerView {
        let server = &self.servers[index as usize];
        ServerView {
            idx: self.idx(index),
            name: server.name().clone(),
            domain: server.domain.clone(),
            draining: server.is_draining(),
            member: server.is_member,
            in_flight: server.load.in_flight(),
            reported: server.load.reported(),
            load: server.load.estimate(now),
            slowness: server.slowness(now),
            error_share: server.health.error_share(),
            ejected_until: server.health.ejected_until(),
        }
    }

    fn idx(&self, index: u32) -> ServerIdx {
        let generation = self.servers[index as usize].generation;
        ServerIdx { index, generation }
    }

    fn get_mut(&mut self, idx: ServerIdx) -> Option<&mut Server> {
        let server = self.servers.get_mut(idx.index())?;
        let is_current = server.generation == idx.generation;
        is_current.then_some(server)
    }

    /// Learns from the time per token of a long enough answer. Unlike the time to the first token,
    /// it includes no wait in the server's queue.
    fn learn_inter_token(&mut self, dispatch: &Dispatch, now: Micros) {
        let Some(first_at) = dispatch.first_at else {
            return;
        };
        if dispatch.tokens < MIN_TOKENS {
            return;
        }
        let time = now.saturating_sub(first_at).max(1) as f64;
        let time_per_token = time / dispatch.tokens as f64;
        let ratio = self.pool.learn_inter_token(time_per_token);
        if let Some(server) = self.get_mut(dispatch.idx) {
            server.inter_token.learn(now, ratio);
        }
    }

    /// Whether one more server may be ejected for errors that overload also causes.
    fn may_eject(&self) -> bool {
        let ejected = self.ejected.len() as f64 + 1.0;
        ejected <= self.open.len() as f64 * self.settings.health.max_ejected
    }

    fn refresh(&mut self) {
        let mut open: Vec<u32> = self.by_name.values().copied().collect();
        let excluded = open.extract_if(.., |index| self.servers[*index as usize].is_excluded);
        self.excluded = excluded.collect();
        open.retain(|index| self.servers[*index as usize].is_available());
        open.sort_unstable();
        self.cold.extract(&mut open, &self.servers);
        self.working_set.restrict(&mut open, &self.servers);
        let hashes = open.iter().map(|index| self.servers[*index as usize].hash);
        self.hashes = hashes.collect();
        self.open = open;
        self.refresh_shares();
        self.refresh_ejected();
    }

    fn refresh_ejected(&mut self) {
        let open = self.open.iter().copied();
        let ejected = open.filter(|index| !self.servers[*index as usize].health.is_open());
        self.ejected = ejected.collect();
    }
}
