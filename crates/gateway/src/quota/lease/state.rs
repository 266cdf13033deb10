//! The lease of a workspace and the demand for it, as requests access them.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use swiftlink_admission::Grant;
use swiftlink_telemetry::{Level, event};
use swiftlink_types::Tokens;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{LeaseView, Sample};
use crate::dialect::Usage;
use crate::quota::local::LocalQuota;
use crate::quota::releases::RemoteReservation;
use crate::quota::reservation::{Reservation, Source};

/// Reason for which a lease with a successor is closed.
pub(super) const REPLACED: &str = "replaced";

/// Counts how the requests of a router that isn't a holder get their tokens.
#[derive(Clone, Debug, Default)]
pub struct LeaseCounters {
    /// Requests whose tokens were reserved from a lease.
    pub leased_requests: Counter,
    /// Reservations that holders were asked for on the path of a request.
    pub queries: Counter,
    /// Leases that holders granted.
    pub leases: Counter,
    /// Tokens of the leases that requests may reserve from, reserved and spent ones included.
    pub leased_tokens: Gauge,
}

/// The leases of all workspaces.
#[derive(Debug)]
pub(in crate::quota) struct Leases {
    /// Workspaces with new demand, for the task that keeps leases.
    arrived: Mutex<Vec<Arc<LocalQuota>>>,
    waker: Notify,
    is_stopped: AtomicBool,
    /// Whether answers of holders may be late, since this router's link is busy.
    is_link_busy: AtomicBool,
    pub(in crate::quota) counters: LeaseCounters,
}

impl Leases {
    pub(in crate::quota) fn new(counters: LeaseCounters) -> Self {
        Self {
            arrived: Mutex::default(),
            waker: Notify::new(),
            is_stopped: AtomicBool::new(false),
            is_link_busy: AtomicBool::new(false),
            counters,
        }
    }

    /// Reserves the highest cost of a request from the workspace's lease, if that covers it. The
    /// request may run for `time`.
    pub(in crate::quota) fn try_reserve(
        &self,
        quota: &Arc<LocalQuota>,
        usage: Usage,
        time: Duration,
    ) -> Option<Reservation> {
        let lessee = &quota.lessee;
        lessee.count(usage.max_total(), time);
        if !lessee.is_watched.load(Relaxed) && !lessee.is_watched.swap(true, Relaxed) {
            self.lock_arrived().push(Arc::clone(quota));
            self.waker.notify_one();
        }
        let lease = lessee.current.load_full()?;
        let reservation = lease.try_reserve(usage, time);
        if lease.grant.available() < lease.terms.renew_below && !lease.is_due.swap(true, Relaxed) {
            self.waker.notify_one();
        }
        if reservation.is_some() {
            self.counters.leased_requests.inc();
        }
        reservation
    }

    /// Opens no more leases.
    pub(in crate::quota) fn stop(&self) {
        self.is_stopped.store(true, Relaxed);
    }

    /// Sets whether this router's link is busy.
    pub(in crate::quota) fn set_link_busy(&self, is_busy: bool) {
        self.is_link_busy.store(is_busy, Relaxed);
    }

    pub(super) fn is_link_busy(&self) -> bool {
        self.is_link_busy.load(Relaxed)
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Relaxed)
    }

    /// Waits until a workspace has new demand or a lease is nearly used up.
    pub(super) async fn changed(&self) {
        self.waker.notified().await;
    }

    /// Workspaces with new demand since the last call.
    pub(super) fn take_arrived(&self) -> Vec<Arc<LocalQuota>> {
        std::mem::take(&mut *self.lock_arrived())
    }

    fn lock_arrived(&self) -> MutexGuard<'_, Vec<Arc<LocalQuota>>> {
        // No panic can leave the list half changed.
        self.arrived.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The lease of one workspace, and its demand since the last sample.
#[derive(Debug, Default)]
pub(in crate::quota) struct Lessee {
    requests: AtomicU64,
    tokens: AtomicU64,
    largest: AtomicU64,
    /// Longest time that a request may run, in milliseconds.
    longest: AtomicU64,
    /// Whether the task that keeps leases knows of the demand.
    is_watched: AtomicBool,
    current: ArcSwapOption<Lease>,
}

impl Lessee {
    fn count(&self, tokens: Tokens, time: Duration) {
        self.requests.fetch_add(1, Relaxed);
        self.tokens.fetch_add(tokens, Relaxed);
        self.largest.fetch_max(tokens, Relaxed);
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.longest.fetch_max(millis, Relaxed);
    }

    pub(super) fn take_sample(&self) -> Sample {
        Sample {
            requests: self.requests.swap(0, Relaxed),
            tokens: self.tokens.swap(0, Relaxed),
            largest: self.largest.swap(0, Relaxed),
        }
    }

    /// The longest time that a request may run.
    pub(super) fn longest(&self) -> Duration {
        Duration::from_millis(self.longest.load(Relaxed))
    }

    /// Forgets the workspace until its next request.
    pub(super) fn unwatch(&self) {
        self.is_watched.store(false, Relaxed);
    }

    pub(super) fn current(&self) -> Option<Arc<Lease>> {
        self.current.load_full()
    }

    /// Replaces the lease that requests use, and returns the one before.
    pub(super) fn replace(&self, lease: Option<Arc<Lease>>) -> Option<Arc<Lease>> {
        self.current.swap(lease)
    }
}

/// Tokens that a holder reserves for several requests. Dropping it releases what wasn't spent.
#[derive(Debug)]
pub struct Lease {
    remote: RemoteReservation,
    grant: Grant,
    terms: Terms,
    opened: Instant,
    /// Whether the task that keeps leases was woken to replace it.
    is_due: AtomicBool,
    gauge: Gauge,
}

/// What a lease is opened with.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    pub(super) granted: Tokens,
    /// Number of free tokens below which the lease is replaced.
    pub(super) renew_below: Tokens,
    /// Longest time that one of its requests may run.
    pub(super) request_time: Duration,
    /// The workspace's configured budget.
    pub(super) prepaid: Tokens,
}

impl Lease {
    pub(super) fn open(remote: RemoteReservation, terms: Terms, counters: &LeaseCounters) -> Self {
        let grant = Grant::new();
        grant.credit(terms.granted);
        counters.leases.inc();
        counters.leased_tokens.inc_by(as_gauge(terms.granted));
        Self {
            remote,
            grant,
            terms,
            opened: Instant::now(),
            is_due: AtomicBool::new(false),
            gauge: counters.leased_tokens.clone(),
        }
    }

    fn try_reserve(self: &Arc<Self>, usage: Usage, time: Duration) -> Option<Reservation> {
        // The holder would count the tokens as spent before such a request has ended.
        if time > self.terms.request_time {
            return None;
        }
        let reserved = self.grant.reserve(usage.max_total())?;
        let source = Source::Lease(Arc::clone(self));
        Some(Reservation::new(source, usage, reserved))
    }

    /// Ends a request that has spent `spent` of its `reserved` tokens.
    pub(in crate::quota) fn settle(&self, reserved: Tokens, spent: Tokens) {
        self.grant.settle(reserved, spent);
    }

    pub(super) fn view(&self, prepaid: Tokens) -> LeaseView {
        LeaseView {
            free: self.grant.available(),
            renew_below: self.terms.renew_below,
            age: self.opened.elapsed(),
            is_outdated: self.terms.prepaid != prepaid,
        }
    }

    /// Takes the tokens that no request holds out of use, and returns what was spent and what
    /// running requests hold.
    fn shrink(&self) -> Standing {
        self.grant.shrink(Tokens::MAX);
        let counters = self.grant.counters();
        let kept = counters.granted.saturating_sub(counters.returned);
        Standing {
            spent: counters.charged,
            held: kept.saturating_sub(counters.charged),
        }
    }

    /// Logs that the lease is no longer used, and reports its standing to the holder. Returns what
    /// is left to report: `None` once no request uses it.
    pub(super) fn close(self: Arc<Self>, quota: &LocalQuota, reason: &str) -> Option<Closed> {
        let standing = self.shrink();
        self.gauge.dec_by(as_gauge(self.terms.granted));
        self.log_closed(quota, standing, reason);
        if standing.held == 0 {
            return None;
        }
        self.remote.report(standing.spent, standing.held);
        Some(Closed {
            lease: Arc::downgrade(&self),
            reported: standing,
            at: Instant::now(),
        })
    }

    /// Logs that the lease is closed, at level info if it has no successor.
    fn log_closed(&self, quota: &LocalQuota, standing: Standing, reason: &str) {
        let level = if reason == REPLACED {
            Level::Debug
        } else {
            Level::Info
        };
        event!(
            level,
            "lease.returned",
            workspace = quota.workspace,
            peer = self.remote.vm(),
            number = self.remote.number(),
            tokens = self.terms.granted,
            spent = standing.spent,
            held = standing.held,
            age_ms = self.opened.elapsed().as_millis(),
            reason = reason,
        );
    }

    /// Logs that the lease was opened, at level info if it has no predecessor.
    pub(super) fn log_granted(&self, quota: &LocalQuota, is_renewal: bool) {
        let level = if is_renewal {
            Level::Debug
        } else {
            Level::Info
        };
        event!(
            level,
            "lease.granted",
            workspace = quota.workspace,
            peer = self.remote.vm(),
            number = self.remote.number(),
            tokens = self.terms.granted,
        );
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.remote.end(self.grant.counters().charged);
    }
}

/// Tokens of a lease that no new request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Standing {
    spent: Tokens,
    held: Tokens,
}

/// A closed lease whose requests still run.
#[derive(Debug)]
pub(super) struct Closed {
    lease: Weak<Lease>,
    reported: Standing,
    at: Instant,
}

impl Closed {
    /// Reports what has changed since the last report, if that was `interval` ago. Returns whether
    /// requests still run.
    pub(super) fn report(&mut self, interval: Duration) -> bool {
        let Some(lease) = self.lease.upgrade() else {
            return false;
        };
        if self.at.elapsed() < interval {
            return true;
        }
        self.at = Instant::now();
        let standing = lease.shrink();
        if standing != self.reported {
            self.reported = standing;
            lease.remote.report(standing.spent, standing.held);
        }
        true
    }
}

fn as_gauge(tokens: Tokens) -> i64 {
    i64::try_from(tokens).unwrap_or(i64::MAX)
}
