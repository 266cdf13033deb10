//! The servers of a pool that limit their rate.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use swiftlink_routing::{Fleet, ServerIdx};
use swiftlink_types::{Micros, ServerInstance, ServerName};
use tokio::time::timeout;

use super::{Pool, SelectedServer, ServerInfo};
use crate::clock::steady_millis;
use crate::dialect::RateNotice;
use crate::eligibility::{Announcement, Permit};
use crate::limits::{LimitChange, LimitedServer};

/// Longest wait of a request for a permit: an allocator answers in a millisecond or two.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20);
/// Longest retry delay for callers of a pool whose servers all limit their rate: what the limits
/// are then isn't known.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(5);
/// Number of priorities that are told apart; less urgent ones count as the last.
const PRIORITIES: usize = 10;

/// Requests that were refused since all servers of the pool limit their rate.
#[derive(Debug, Default)]
pub(super) struct Shortage {
    /// When the request that was refused last may expect a permit.
    next_permit: AtomicU64,
    /// Until when permits are left to requests of each priority, of which some were refused.
    reserved_until: [AtomicU64; PRIORITIES],
}

impl Shortage {
    /// Refuses a request of this priority while the router gets `rate` permits a second. Returns
    /// the time until it may expect one. Each refused request gets a time of its own, and the next
    /// permit is left to its priority and more urgent ones.
    pub(super) fn refuse(&self, now: Micros, priority: u8, rate: f64) -> Duration {
        let interval = (1e6 / rate) as Micros;
        let max_wait = MAX_PERMIT_WAIT.as_micros() as Micros;
        let reserved = &self.reserved_until[usize::from(priority).min(PRIORITIES - 1)];
        reserved.fetch_max(now + interval.min(max_wait), Relaxed);
        let next = |before: Micros| (before.max(now) + interval).min(now + max_wait);
        let before = self
            .next_permit
            .fetch_update(Relaxed, Relaxed, |before| Some(next(before)));
        let at = next(before.unwrap_or_else(|before| before));
        Duration::from_micros(at.saturating_sub(now))
    }

    /// Whether the next permit is left to more urgent requests.
    pub(super) fn is_reserved(&self, now: Micros, priority: u8) -> bool {
        if self.next_permit.load(Relaxed) == 0 {
            return false;
        }
        let more_urgent = self.reserved_until.iter().take(priority.into());
        more_urgent
            .into_iter()
            .any(|until| until.load(Relaxed) > now)
    }
}

impl Pool {
    /// Handles what a response says about the server's limit.
    pub fn on_rate_notice(
        self: &Arc<Self>,
        idx: ServerIdx,
        server: &SelectedServer,
        notice: RateNotice,
    ) {
        let announcement = &server.eligibility.announcement;
        let change = announcement.throttle.observe(notice, steady_millis());
        if change == LimitChange::None {
            return;
        }
        let limited = LimitedServer {
            pool: Arc::clone(self),
            instance: server.instance.clone(),
            announcement: Arc::clone(announcement),
        };
        limited.log(change);
        if let LimitChange::Limited(_) = change {
            self.fleet().set_throttled(idx, true);
            self.limited.insert(limited);
        }
    }

    /// Makes a limited server available if there is a permit for it, and unavailable otherwise.
    pub fn sync_throttle(&self, server: &LimitedServer) {
        let is_throttled = !server.announcement.throttle.may_send(steady_millis());
        let mut fleet = self.fleet();
        let idx = fleet.find(&server.instance.name);
        let Some(idx) = idx.filter(|idx| is_instance(&fleet, *idx, &server.instance)) else {
            return;
        };
        fleet.set_throttled(idx, is_throttled);
        drop(fleet);
        if !is_throttled {
            self.granted.notify_waiters();
        }
    }

    /// Waits for a permit if no server can take a request and a limited one may soon. Returns
    /// whether there may be one now.
    pub(crate) async fn wait_for_permit(&self) -> bool {
        let may_query = |now| {
            let mut announcements = self.announcements_of_servers().into_iter();
            announcements.any(|announcement| announcement.throttle.may_query(now))
        };
        if !may_query(steady_millis()) {
            return false;
        }
        let granted = self.granted.notified();
        self.limited.want();
        timeout(PERMIT_TIMEOUT, granted).await.is_ok()
    }

    /// Number of requests to the pool so far.
    #[must_use]
    pub fn arrivals(&self) -> u64 {
        self.arrivals.load(Relaxed)
    }

    /// Number of servers that limit their rate.
    #[must_use]
    pub fn limited_len(&self) -> usize {
        self.limited_servers().len()
    }

    /// What the servers that limit their rate have announced.
    #[must_use]
    pub fn limited_servers(&self) -> Vec<Arc<Announcement>> {
        let mut announcements = self.announcements_of_servers();
        announcements.retain(|announcement| announcement.throttle.is_limited());
        announcements
    }

    /// Makes all limited servers available for which there are permits, and no others.
    pub fn sync_throttles(&self) {
        let servers = self.servers.load();
        restore_throttles(&mut self.fleet(), &servers);
    }

    /// What all servers have announced.
    fn announcements_of_servers(&self) -> Vec<Arc<Announcement>> {
        let servers = self.servers.load();
        let infos = servers.values();
        infos
            .map(|info| Arc::clone(&info.eligibility.announcement))
            .collect()
    }

    /// Whether permits are left to more urgent requests and no other server can take this one.
    pub(super) fn is_reserved(&self, now: Micros, priority: u8) -> bool {
        if !self.shortage.is_reserved(now, priority) {
            return false;
        }
        let servers = self.servers.load();
        let is_unlimited = |name: &ServerName| {
            let info = servers.get(name);
            info.is_some_and(|info| !info.eligibility.announcement.throttle.is_limited())
        };
        !self.fleet().any_open(is_unlimited)
    }

    /// Time until this router may expect a permit for a request that is refused now; `None` if no
    /// server limits its rate.
    pub(super) fn permit_wait(&self, now: Micros, priority: u8) -> Option<Duration> {
        let announcements = self.announcements_of_servers();
        let rates = announcements
            .iter()
            .filter_map(|announcement| announcement.throttle.expected_rate());
        let rate: f64 = rates.sum();
        (rate > 0.0).then(|| self.shortage.refuse(now, priority, rate))
    }
}

/// Throttles the servers that limit their rate and whose entries were removed and came back.
pub(super) fn restore_throttles(fleet: &mut Fleet, servers: &HashMap<ServerName, ServerInfo>) {
    for (name, info) in servers {
        let throttle = &info.eligibility.announcement.throttle;
        if !throttle.is_limited() {
            continue;
        }
        if let Some(idx) = fleet.find(name) {
            fleet.set_throttled(idx, !throttle.may_send(steady_millis()));
        }
    }
}

/// Takes a permit for a request to a server that limits its rate. Without a further permit the
/// server gets no requests until there is one.
pub(super) fn take_permit(fleet: &mut Fleet, idx: ServerIdx, info: &ServerInfo) -> Option<Permit> {
    let announcement = &info.eligibility.announcement;
    if !announcement.throttle.is_limited() {
        return None;
    }
    let permit = announcement.take_permit();
    if !announcement.throttle.may_send(steady_millis()) {
        fleet.set_throttled(idx, true);
    }
    permit
}

/// Whether the server at `idx` is this instance.
fn is_instance(fleet: &Fleet, idx: ServerIdx, instance: &ServerInstance) -> bool {
    let server = fleet.get(idx);
    server.is_some_and(|server| server.instance() == instance)
}
