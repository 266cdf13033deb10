//! The rights that one incarnation of this router holds on one budget.
//!
//! A request that finds rights takes them without a lock or a message. One that
//! finds none becomes a waiter; the account's claimer (see [`crate::claim`]) is
//! woken and tells all waiters what became of its claim.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_admission::{
    Grant, HolderState, Reservation, Shortfall, ShortfallAction, Waiting, shortfall,
};
use swiftlink_types::{BudgetName, Micros, Refusal, RefusalKind, Tokens};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

/// Expected time of a claim before one has been timed.
pub const FIRST_CLAIM_TIME: Duration = Duration::from_millis(20);
/// Time that a relay to another router is expected to add.
const RELAY_TIME: Duration = Duration::from_millis(5);

/// Another router that held rights when the log last told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Callers' address of the router.
    pub address: SocketAddr,
    /// Rights held, unspent as the log knew.
    pub held: Tokens,
}

/// What the last claim has told.
#[derive(Debug, Clone, Default)]
pub struct ClaimStatus {
    /// Grows with every claim answered or failed.
    pub version: u64,
    /// When it was told; `None` before the first claim.
    pub updated_at: Option<Instant>,
    /// The last try got no answer.
    pub is_failed: bool,
    /// Free in the budget (tokens).
    pub free: Tokens,
    /// Held by other incarnations (tokens).
    pub held_elsewhere: Tokens,
    /// The largest other holders.
    pub holders: Arc<[Holder]>,
}

/// Why a request got no rights here.
#[derive(Debug, Clone)]
pub struct Shortage {
    /// The refusal, unless another router serves the request.
    pub refusal: Refusal,
    /// Routers that may hold rights, best first.
    pub holders: Vec<SocketAddr>,
}

/// How a request may wait for rights.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    /// Latest useful moment.
    pub deadline: Instant,
    /// Longest wait for a claim.
    pub claim_wait: Duration,
    /// Time for which the answer to a claim stands.
    pub pause: Duration,
    /// Whether the log was heard of lately.
    pub has_log: bool,
}

/// Rights on one budget.
#[derive(Debug)]
pub struct Account {
    /// Name of the budget.
    pub budget: BudgetName,
    /// The rights.
    pub grant: Arc<Grant>,
    /// Wakes the claimer.
    pub wake: Notify,
    /// Available rights under which the claimer is woken.
    wake_threshold: AtomicU64,
    /// Expected time of a claim (µs).
    claim_time: AtomicU64,
    waiters: Mutex<Waiters>,
    /// Number of waiters, to be looked at without the lock.
    count: AtomicUsize,
    status: watch::Sender<ClaimStatus>,
}

#[derive(Debug, Default)]
struct Waiters {
    next: u64,
    costs: BTreeMap<u64, Tokens>,
}

impl Account {
    /// An account without rights.
    #[must_use]
    pub fn new(budget: BudgetName) -> Self {
        Self {
            budget,
            grant: Arc::new(Grant::new()),
            wake: Notify::new(),
            wake_threshold: AtomicU64::new(0),
            claim_time: AtomicU64::new(FIRST_CLAIM_TIME.as_micros() as u64),
            waiters: Mutex::default(),
            count: AtomicUsize::new(0),
            status: watch::Sender::new(ClaimStatus::default()),
        }
    }

    /// Takes `cost` tokens from the rights at hand.
    #[must_use]
    pub fn take(&self, cost: Tokens) -> Option<Reservation> {
        let held = self.grant.hold(cost)?;
        if self.grant.available() < self.wake_threshold.load(Ordering::Relaxed) {
            self.wake.notify_one();
        }
        Some(held)
    }

    /// Takes `cost` tokens, waiting for a claim where that is the way to get them.
    ///
    /// # Errors
    /// When no rights can be had here in time.
    pub async fn reserve(
        &self,
        cost: Tokens,
        policy: WaitPolicy,
        may_relay: bool,
    ) -> Result<Reservation, Shortage> {
        let found = self.try_reserve(cost, policy, may_relay).await;
        if found.is_err() {
            // Demand that was not met here; the claimer sizes its claims by it.
            self.grant.miss(cost);
            self.wake.notify_one();
        }
        found
    }

    /// Takes `cost` tokens for a request that got none before and that no other router
    /// has served; it is counted as unmet already.
    ///
    /// # Errors
    /// When no rights can be had here in time.
    pub async fn reserve_locally(
        &self,
        cost: Tokens,
        policy: WaitPolicy,
    ) -> Result<Reservation, Shortage> {
        self.try_reserve(cost, policy, false).await
    }

    async fn try_reserve(
        &self,
        cost: Tokens,
        policy: WaitPolicy,
        may_relay: bool,
    ) -> Result<Reservation, Shortage> {
        if let Some(held) = self.take(cost) {
            return Ok(held);
        }
        let start = Instant::now();
        let until = policy.deadline.min(start + policy.claim_wait);
        let mut updates = self.status.subscribe();
        let _waiter = self.enter(cost);
        self.wake.notify_one();
        let mut shortage_here = None;
        loop {
            let status = updates.borrow_and_update().clone();
            if let Some(held) = self.take(cost) {
                return Ok(held);
            }
            match self.decide(cost, &status, start, until, policy, may_relay) {
                Ok(()) => {}
                Err(shortage) if shortage.holders.is_empty() && self.may_free(cost) => {
                    shortage_here = Some(shortage);
                }
                Err(shortage) => return Err(shortage),
            }
            if timeout_at(until, updates.changed()).await.is_err() {
                let status = updates.borrow().clone();
                return Err(shortage_here.unwrap_or_else(|| self.timed_out(&status, may_relay)));
            }
        }
    }

    /// Whether requests in flight here hold rights enough: what they don't spend is
    /// free again at their end.
    fn may_free(&self, cost: Tokens) -> bool {
        let own = self.grant.counters();
        own.reserved > 0 && own.reserved + own.available >= cost
    }

    /// Tells those who wait that rights may have become free.
    pub fn on_released(&self) {
        if self.count.load(Ordering::Relaxed) > 0 {
            self.update_status(|_status| {});
        }
    }

    /// Whether to wait on; the error ends the request here.
    fn decide(
        &self,
        cost: Tokens,
        status: &ClaimStatus,
        start: Instant,
        until: Instant,
        policy: WaitPolicy,
        may_relay: bool,
    ) -> Result<(), Shortage> {
        let now = Instant::now();
        let is_fresh = status
            .updated_at
            .is_some_and(|at| now - at <= policy.pause || at >= start);
        let own = self.grant.counters();
        let listed: &[Holder] = if may_relay { &status.holders } else { &[] };
        let holdings: Vec<_> = listed.iter().map(holder_state).collect();
        let case = Shortfall {
            cost,
            now: micros_since(start, now),
            deadline: micros_since(start, until),
            is_log_up: policy.has_log && !status.is_failed,
            claim_time: self.claim_time(),
            free: is_fresh.then_some(status.free),
            held_elsewhere: status.held_elsewhere + own.available + own.reserved,
            holders: &holdings,
        };
        match shortfall(&case) {
            ShortfallAction::Wait => Ok(()),
            ShortfallAction::Relay(index) => {
                let mut holders: Vec<_> = listed.iter().map(|holder| holder.address).collect();
                holders.swap(0, index);
                Err(Shortage {
                    refusal: budget_busy(self.claim_time()),
                    holders,
                })
            }
            ShortfallAction::Refuse(refusal) => Err(Shortage {
                refusal,
                holders: Vec::new(),
            }),
        }
    }

    /// No claim was decided within the wait.
    fn timed_out(&self, status: &ClaimStatus, may_relay: bool) -> Shortage {
        let detail = "the log did not decide a claim of rights in time";
        let refusal = Refusal::not_run(RefusalKind::LogOut, detail);
        let listed: &[Holder] = if may_relay { &status.holders } else { &[] };
        Shortage {
            refusal: refusal.with_retry(Duration::from_secs(1)),
            holders: listed.iter().map(|holder| holder.address).collect(),
        }
    }

    /// Requests that wait for rights now.
    #[must_use]
    pub fn waiting(&self) -> Waiting {
        let waiters = self.lock();
        let least = waiters.costs.values().min().copied();
        Waiting {
            min_cost: least.unwrap_or(0),
            total_cost: waiters.costs.values().sum(),
        }
    }

    /// The last told.
    #[must_use]
    pub fn claim_status(&self) -> ClaimStatus {
        self.status.borrow().clone()
    }

    /// Tells all waiters.
    pub fn update_status(&self, change: impl FnOnce(&mut ClaimStatus)) {
        self.status.send_modify(|status| {
            change(status);
            status.version += 1;
        });
    }

    /// Sets the available rights under which the claimer is woken.
    pub fn set_wake_threshold(&self, threshold: Tokens) {
        self.wake_threshold.store(threshold, Ordering::Relaxed);
    }

    /// Notes how long a claim took.
    pub fn record_claim_time(&self, took: Duration) {
        let old = self.claim_time.load(Ordering::Relaxed);
        let new = took.as_micros() as u64;
        // An average over about eight claims.
        self.claim_time
            .store(old - old / 8 + new / 8, Ordering::Relaxed);
    }

    /// Expected time of a claim.
    #[must_use]
    pub fn claim_time(&self) -> Duration {
        Duration::from_micros(self.claim_time.load(Ordering::Relaxed))
    }

    fn enter(&self, cost: Tokens) -> Waiter<'_> {
        let mut waiters = self.lock();
        let number = waiters.next;
        waiters.next += 1;
        waiters.costs.insert(number, cost);
        self.count.fetch_add(1, Ordering::Relaxed);
        Waiter {
            account: self,
            number,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A waiting request; dropped, it waits no more.
struct Waiter<'a> {
    account: &'a Account,
    number: u64,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.account.count.fetch_sub(1, Ordering::Relaxed);
        self.account.lock().costs.remove(&self.number);
    }
}

fn holder_state(holder: &Holder) -> HolderState {
    HolderState {
        held: holder.held,
        relay_time: RELAY_TIME,
        is_reachable: true,
    }
}

fn budget_busy(retry: Duration) -> Refusal {
    let detail = "the budget's tokens are held by another router";
    let retry = retry.max(Duration::from_secs(1));
    Refusal::not_run(RefusalKind::BudgetBusy, detail).with_retry(retry)
}

fn micros_since(start: Instant, at: Instant) -> Micros {
    at.saturating_duration_since(start).as_micros() as Micros
}
