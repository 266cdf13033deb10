//! The quota that one incarnation of this router holds of one budget.
//!
//! A request that finds enough quota reserves it without a lock or a message.
//! Otherwise it becomes a waiter and wakes the account's claimer (see
//! [`crate::claim`]), which reports the outcome of its claim to all waiters.

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

/// Expected duration of a claim before the first one has completed.
pub const FIRST_CLAIM_TIME: Duration = Duration::from_millis(20);
/// Expected latency that a relay to another router adds.
const RELAY_TIME: Duration = Duration::from_millis(5);

/// Another router that held quota when the log was last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Address at which the router accepts callers.
    pub address: SocketAddr,
    /// Quota held (tokens) that was unspent as far as the log knew.
    pub held: Tokens,
}

/// Outcome of the last claim, as published to waiting requests.
#[derive(Debug, Clone, Default)]
pub struct ClaimStatus {
    /// Incremented by every claim that is answered or fails.
    pub version: u64,
    /// Time of the last update; `None` before the first claim.
    pub updated_at: Option<Instant>,
    /// Whether the last submission of a claim got no answer; `log_out` in the dump.
    pub is_failed: bool,
    /// Free tokens of the budget.
    pub free: Tokens,
    /// Tokens held by other incarnations.
    pub held_elsewhere: Tokens,
    /// The routers that hold the most.
    pub holders: Arc<[Holder]>,
}

/// Why a request could not reserve quota on this router.
#[derive(Debug, Clone)]
pub struct Shortage {
    /// Refusal to return unless another router serves the request.
    pub refusal: Refusal,
    /// Routers that may hold quota, the best candidate first.
    pub holders: Vec<SocketAddr>,
}

/// Limits on a request's wait for quota.
#[derive(Debug, Clone, Copy)]
pub struct WaitPolicy {
    /// Time after which an answer is useless to the caller.
    pub deadline: Instant,
    /// Longest wait for a claim.
    pub claim_wait: Duration,
    /// Time for which the outcome of a claim stays valid.
    pub pause: Duration,
    /// Whether the log was reachable recently.
    pub has_log: bool,
}

/// Quota of one budget, and the requests that wait for it.
#[derive(Debug)]
pub struct Account {
    /// Name of the budget.
    pub budget: BudgetName,
    /// The tokens held.
    pub grant: Arc<Grant>,
    /// Wakes the claimer.
    pub wake: Notify,
    /// Available tokens below which the claimer is woken.
    wake_threshold: AtomicU64,
    /// Expected duration of a claim (µs).
    claim_time: AtomicU64,
    waiters: Mutex<Waiters>,
    /// Number of waiters, readable without the lock.
    count: AtomicUsize,
    status: watch::Sender<ClaimStatus>,
}

#[derive(Debug, Default)]
struct Waiters {
    next: u64,
    costs: BTreeMap<u64, Tokens>,
}

impl Account {
    /// Creates an account without quota.
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

    /// Reserves `cost` tokens if they are available now.
    #[must_use]
    pub fn take(&self, cost: Tokens) -> Option<Reservation> {
        let held = self.grant.hold(cost)?;
        if self.grant.available() < self.wake_threshold.load(Ordering::Relaxed) {
            self.wake.notify_one();
        }
        Some(held)
    }

    /// Reserves `cost` tokens, and waits for a claim if one may supply them.
    ///
    /// # Errors
    /// Fails when this router can't obtain the quota in time.
    pub async fn reserve(
        &self,
        cost: Tokens,
        policy: WaitPolicy,
        may_relay: bool,
    ) -> Result<Reservation, Shortage> {
        let reserved = self.try_reserve(cost, policy, may_relay).await;
        if reserved.is_err() {
            // The claimer includes unmet demand in the size of its claims.
            self.grant.miss(cost);
            self.wake.notify_one();
        }
        reserved
    }

    /// Reserves `cost` tokens for a request that failed to get them here before and
    /// that no other router has served. Its unmet demand is already counted.
    ///
    /// # Errors
    /// Fails when this router can't obtain the quota in time.
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

    /// Whether requests in flight here have enough tokens reserved: those that they
    /// don't spend become available when they end.
    fn may_free(&self, cost: Tokens) -> bool {
        let counters = self.grant.counters();
        counters.reserved > 0 && counters.reserved + counters.available >= cost
    }

    /// Wakes the waiters after a reservation was released.
    pub fn on_released(&self) {
        if self.count.load(Ordering::Relaxed) > 0 {
            self.update_status(|_status| {});
        }
    }

    /// Decides whether a request keeps waiting.
    ///
    /// # Errors
    /// Fails when the request must be relayed or refused.
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
        let counters = self.grant.counters();
        let candidates: &[Holder] = if may_relay { &status.holders } else { &[] };
        let holder_states: Vec<_> = candidates.iter().map(holder_state).collect();
        let case = Shortfall {
            cost,
            now: micros_since(start, now),
            deadline: micros_since(start, until),
            is_log_up: policy.has_log && !status.is_failed,
            claim_time: self.claim_time(),
            free: is_fresh.then_some(status.free),
            held_elsewhere: status.held_elsewhere + counters.available + counters.reserved,
            holders: &holder_states,
        };
        match shortfall(&case) {
            ShortfallAction::Wait => Ok(()),
            ShortfallAction::Relay(index) => {
                let mut holders: Vec<_> = candidates.iter().map(|holder| holder.address).collect();
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

    /// The shortage of a request when no claim was decided in time.
    fn timed_out(&self, status: &ClaimStatus, may_relay: bool) -> Shortage {
        let detail = "the log did not decide a claim of rights in time";
        let refusal = Refusal::not_run(RefusalKind::LogUnavailable, detail);
        let candidates: &[Holder] = if may_relay { &status.holders } else { &[] };
        Shortage {
            refusal: refusal.with_retry(Duration::from_secs(1)),
            holders: candidates.iter().map(|holder| holder.address).collect(),
        }
    }

    /// Costs of the requests that wait for quota now.
    #[must_use]
    pub fn waiting(&self) -> Waiting {
        let waiters = self.lock();
        let least = waiters.costs.values().min().copied();
        Waiting {
            min_cost: least.unwrap_or(0),
            total_cost: waiters.costs.values().sum(),
        }
    }

    /// Outcome of the last claim.
    #[must_use]
    pub fn claim_status(&self) -> ClaimStatus {
        self.status.borrow().clone()
    }

    /// Changes the claim status and wakes all waiters.
    pub fn update_status(&self, change: impl FnOnce(&mut ClaimStatus)) {
        self.status.send_modify(|status| {
            change(status);
            status.version += 1;
        });
    }

    /// Sets the available tokens below which the claimer is woken.
    pub fn set_wake_threshold(&self, threshold: Tokens) {
        self.wake_threshold.store(threshold, Ordering::Relaxed);
    }

    /// Updates the expected duration of a claim with a measured one.
    pub fn record_claim_time(&self, took: Duration) {
        let old = self.claim_time.load(Ordering::Relaxed);
        let new = took.as_micros() as u64;
        // Exponentially weighted moving average over about eight claims.
        self.claim_time
            .store(old - old / 8 + new / 8, Ordering::Relaxed);
    }

    /// Expected duration of a claim.
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

/// Registers a waiting request until it is dropped.
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
