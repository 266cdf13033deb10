//! A router's quota of one workspace, in memory.

mod reserve;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use swiftlink_admission::{Grant, GrantCounters};
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::account::growth::Growth;
use super::cap::{self, Cap};
use super::lease::Lessee;
use super::pending;
use crate::clock::Clock;

/// Time for which a grant of a holder shows that holders can be reached.
const GRANT_MEMORY: Duration = Duration::from_secs(10);

/// What this router may spend of one workspace's tokens.
#[derive(Debug)]
pub struct LocalQuota {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Tokens that requests may reserve at this router.
    pub grant: Arc<Grant>,
    prepaid: AtomicU64,
    /// Locked while tokens move between `locked` and the grant, so that readers see both sides of
    /// a move or none.
    caps: Mutex<CapState>,
    /// Tokens a second that callers recently asked for.
    rate: AtomicU64,
    /// A new cap is due when fewer tokens than this are available.
    low_watermark: AtomicU64,
    /// Tokens of requests that wait for quota.
    waiting: AtomicU64,
    /// Tokens of the largest request so far.
    largest: AtomicU64,
    /// Whether this router leaves the account's remaining tokens to other routers.
    withdrawn: AtomicBool,
    /// Other routers with unspent quota, as last read, in descending order.
    holders: ArcSwap<Vec<VmName>>,
    /// Tokens that others have spent, as last read; it only grows.
    others_spent: AtomicU64,
    /// Tokens a second that others use, as last read.
    others_rate: AtomicU64,
    /// How much of the account may be claimed by when, as last read.
    growth: ArcSwapOption<Growth>,
    /// Whether the last access to the account on the store failed.
    store_unavailable: AtomicBool,
    /// When the account was last read, in milliseconds since `created`; 0 before.
    read_at: AtomicU64,
    created: Instant,
    /// Notified when quota arrived or the account was read.
    changed: Notify,
    /// Tokens that the workspace had left when a holder last granted some to this router.
    granted_rest: AtomicU64,
    /// When that was, in milliseconds since `created`; 0 before.
    granted_at: AtomicU64,
    /// The lease of a router that isn't a holder, and the demand that sizes it.
    pub(super) lessee: Lessee,
    wakers: Wakers,
    clock: Arc<dyn Clock>,
}

/// Wakes the tasks that change the quota.
#[derive(Clone, Debug)]
pub(super) struct Wakers {
    /// Wakes the claim task.
    pub(super) claim: Arc<Notify>,
    /// Wakes the task that stores caps.
    pub(super) cap: Arc<Notify>,
}

/// Granted tokens that may not be used yet, and the caps that unlock them.
#[derive(Debug, Default)]
struct CapState {
    /// Tokens that are granted but that no cap covers yet.
    locked: Tokens,
    /// The cap that the store is known to have.
    stored: Option<TimedCap>,
    /// A cap that was sent to the store and not confirmed.
    sent: Option<TimedCap>,
}

/// A cap and its start, by the monotonic clock in milliseconds.
#[derive(Clone, Copy, Debug)]
struct TimedCap {
    cap: Cap,
    since: u64,
}

impl TimedCap {
    fn at(&self, now: u64) -> Tokens {
        self.cap.limit_after(Duration::from_millis(self.age(now)))
    }

    /// Time from `now` until the cap allows `tokens`.
    fn unlocks_in(&self, tokens: Tokens, now: u64) -> Option<Duration> {
        // The growth before an outage is certain is less than the rate of use, so callers that
        // wait for it would only take it from each other.
        let time = self.cap.time_until(tokens)?.max(self.cap.outage_at);
        Some(time.saturating_sub(Duration::from_millis(self.age(now))))
    }

    fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.since)
    }
}

impl CapState {
    /// The most that may be in use by `now` under either cap that the store may have.
    fn limit(&self, now: u64) -> Tokens {
        let Some(stored) = self.stored else {
            return 0;
        };
        let sent = self.sent.map_or(Tokens::MAX, |sent| sent.at(now));
        stored.at(now).min(sent)
    }
}

/// Token counts of a router's quota of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// Tokens that the account grants to this router, spent ones included.
    pub granted: Tokens,
    /// Tokens spent.
    pub charged: Tokens,
    /// Tokens that running requests hold.
    pub reserved: Tokens,
    /// Granted tokens that no stored cap covers yet; they can't be used.
    pub locked: Tokens,
    /// Age of the stored cap in milliseconds; `None` before the first one.
    pub cap_age: Option<u64>,
}

/// Why a request gets no quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaError {
    /// The tokens that remain in the whole fleet don't cover the request.
    Exhausted {
        /// Tokens that remain.
        remaining: Tokens,
    },
    /// The tokens that remain cover the request, but not those that all routers together may claim
    /// by now.
    Limited {
        /// Time until they may claim enough.
        retry_after: Duration,
    },
    /// Other routers hold the remaining tokens.
    HeldElsewhere,
    /// The store is unreachable, and the tokens held here don't cover the request.
    StoreUnavailable,
}

impl QuotaError {
    /// Time until the request may be granted, if the reason says so.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Limited { retry_after } => Some(retry_after),
            Self::Exhausted { .. } | Self::HeldElsewhere | Self::StoreUnavailable => None,
        }
    }

    /// Whether no other router has the tokens either.
    pub(super) fn is_fleet_wide(self) -> bool {
        matches!(self, Self::Exhausted { .. } | Self::Limited { .. })
    }
}

impl LocalQuota {
    pub(super) fn new(workspace: WorkspaceName, wakers: Wakers, clock: Arc<dyn Clock>) -> Self {
        Self {
            workspace,
            grant: Arc::new(Grant::new()),
            prepaid: AtomicU64::new(0),
            caps: Mutex::default(),
            rate: AtomicU64::new(0),
            low_watermark: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            largest: AtomicU64::new(0),
            withdrawn: AtomicBool::new(false),
            holders: ArcSwap::default(),
            others_spent: AtomicU64::new(0),
            others_rate: AtomicU64::new(0),
            growth: ArcSwapOption::empty(),
            store_unavailable: AtomicBool::new(false),
            read_at: AtomicU64::new(0),
            created: Instant::now(),
            changed: Notify::new(),
            granted_rest: AtomicU64::new(0),
            granted_at: AtomicU64::new(0),
            lessee: Lessee::default(),
            wakers,
            clock,
        }
    }

    /// Token counts at this moment.
    #[must_use]
    pub fn balance(&self) -> Balance {
        let caps = self.caps();
        self.balance_with(&caps)
    }

    fn balance_with(&self, caps: &CapState) -> Balance {
        let counters = self.grant.counters();
        Balance {
            granted: used(&counters) + caps.locked,
            charged: counters.charged,
            reserved: counters.reserved,
            locked: caps.locked,
            cap_age: caps.stored.map(|cap| cap.age(self.clock.steady())),
        }
    }

    /// Raises the quota to what the account grants, and returns the tokens held before. The
    /// additional tokens stay locked until a cap covers them.
    pub(super) fn accept(&self, granted: Tokens) -> Tokens {
        let mut caps = self.caps();
        let held = self.balance_with(&caps).granted;
        if granted > held {
            caps.locked += granted - held;
            self.unlock_with(&mut caps);
            self.wakers.cap.notify_one();
        }
        held
    }

    /// Takes up to `amount` tokens out of use, so that they can be returned to the account.
    /// Returns the number of tokens taken.
    pub(super) fn give_back(&self, amount: Tokens) -> Tokens {
        let mut caps = self.caps();
        let locked = amount.min(caps.locked);
        caps.locked -= locked;
        locked + self.grant.shrink(amount - locked)
    }

    /// Takes all tokens that no request holds out of use permanently.
    pub(super) fn close(&self) {
        let mut caps = self.caps();
        caps.locked = 0;
        caps.stored = None;
        self.grant.shrink(Tokens::MAX);
    }

    /// Removes the workspace from the next cap if the router holds no quota of it, and returns
    /// whether it did. The same step invalidates the current cap: tokens that arrive before the
    /// next cap is stored must not be used under the current one.
    pub(super) fn leave_cap(&self) -> bool {
        let mut caps = self.caps();
        let leaves = self.balance_with(&caps).granted == 0;
        if leaves {
            caps.stored = None;
        }
        leaves
    }

    /// Makes a cap that starts at `now`, in milliseconds of the monotonic clock. `lag` is the
    /// recent time to store one. Until [`Self::cap_stored`], spending stays within both this cap
    /// and the one before.
    pub(super) fn make_cap(&self, now: u64, lag: Duration) -> Cap {
        let mut caps = self.caps();
        let free = self.grant.available();
        let unspent = free + caps.locked;
        let rate = self.rate();
        let wanted = cap::base(unspent, rate, lag) + self.waiting.load(Relaxed);
        caps.locked += self.grant.shrink(free.saturating_sub(wanted));
        let more = wanted.saturating_sub(free).min(caps.locked);
        let committed = wanted.min(unspent) + self.grant.counters().reserved;
        let max_growth = cap::max_growth(self.prepaid(), self.share(), committed);
        self.low_watermark.store(wanted / 2, Relaxed);
        let cap = Cap {
            base: used(&self.grant.counters()) + more,
            ..cap::plan_growth(unspent, rate, max_growth)
        };
        caps.sent = Some(TimedCap { cap, since: now });
        cap
    }

    /// Records that the store has the cap made last.
    pub(super) fn cap_stored(&self) {
        let mut caps = self.caps();
        if let Some(sent) = caps.sent.take() {
            caps.stored = Some(sent);
        }
        self.unlock_with(&mut caps);
        drop(caps);
        self.changed.notify_waiters();
    }

    /// Time until the caps allow `cost` of the tokens held here if the store stays unreachable;
    /// `None` where too few are held.
    pub(super) fn unlocks_in(&self, cost: Tokens) -> Option<Duration> {
        let caps = self.caps();
        let counters = self.grant.counters();
        let missing = cost.saturating_sub(counters.available);
        if missing > caps.locked {
            return None;
        }
        let target = used(&counters) + missing;
        let now = self.clock.steady();
        let stored = caps.stored?.unlocks_in(target, now)?;
        match &caps.sent {
            Some(sent) => Some(stored.max(sent.unlocks_in(target, now)?)),
            None => Some(stored),
        }
    }

    /// Unlocks the tokens that the caps allow by now.
    fn unlock_with(&self, caps: &mut CapState) {
        let limit = caps.limit(self.clock.steady());
        let allowed = limit.saturating_sub(used(&self.grant.counters()));
        let unlocked = allowed.min(caps.locked);
        caps.locked -= unlocked;
        if unlocked > 0 {
            self.grant.credit(unlocked);
        }
    }

    fn caps(&self) -> MutexGuard<'_, CapState> {
        // The state is consistent between any two statements, so a poisoned lock is safe to use.
        self.caps.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this router has or may want a share of the account, and so must read it.
    /// `is_holder`: whether it should hold a share even while it doesn't use it.
    pub(super) fn is_active(&self, is_holder: bool) -> bool {
        let has_demand = self.rate() > 0 || self.waiting.load(Relaxed) > 0;
        has_demand || is_holder || self.balance().granted > 0
    }

    /// Tokens a second that callers recently asked for.
    #[must_use]
    pub fn rate(&self) -> u64 {
        self.rate.load(Relaxed)
    }

    pub(super) fn set_rate(&self, rate: u64) {
        self.rate.store(rate, Relaxed);
    }

    /// Other routers with unspent quota, in descending order.
    #[must_use]
    pub fn holders(&self) -> Arc<Vec<VmName>> {
        self.holders.load_full()
    }

    /// This router's fraction of the rate of use of all routers.
    fn share(&self) -> f64 {
        let own = self.rate() as f64;
        let all = own + self.others_rate.load(Relaxed) as f64;
        if all > 0.0 { own / all } else { 0.0 }
    }

    pub(super) fn set_prepaid(&self, prepaid: Tokens) {
        self.prepaid.store(prepaid, Relaxed);
    }

    /// Tokens that the workspace may spend in total.
    #[must_use]
    pub fn prepaid(&self) -> Tokens {
        self.prepaid.load(Relaxed)
    }

    /// The most tokens that may remain in the whole fleet: others may have spent more since the
    /// account was read, but not less.
    #[must_use]
    pub fn remaining(&self) -> Tokens {
        let charged = self.grant.counters().charged;
        self.prepaid()
            .saturating_sub(self.others_spent.load(Relaxed) + charged)
    }

    /// Why no router can grant `cost` tokens now; `None` if one may.
    pub(super) fn refusal(&self, cost: Tokens) -> Option<QuotaError> {
        let remaining = self.remaining();
        if remaining < cost {
            return Some(QuotaError::Exhausted { remaining });
        }
        let prepaid = self.prepaid();
        let tokens = prepaid - remaining + cost;
        let growth = self.growth.load();
        let growth = growth.as_ref()?;
        let retry_after = growth.time_until(tokens, prepaid, Instant::now());
        if retry_after.is_zero() {
            return None;
        }
        Some(if self.store_unavailable.load(Relaxed) {
            QuotaError::StoreUnavailable
        } else {
            QuotaError::Limited { retry_after }
        })
    }

    /// Updates how much of the account may be claimed by when.
    pub(super) fn set_growth(&self, growth: Growth) {
        self.growth.store(Some(Arc::new(growth)));
    }

    /// Milliseconds since the account was last read, or since this value was created.
    #[must_use]
    pub fn read_age_ms(&self) -> u64 {
        self.age_ms().saturating_sub(self.read_at.load(Relaxed))
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that a holder granted tokens while the workspace had `rest` left.
    pub(super) fn on_granted(&self, rest: Tokens) {
        self.granted_rest.store(rest, Relaxed);
        self.granted_at.store(self.age_ms().max(1), Relaxed);
    }

    /// Whether a holder can be expected to grant `cost` tokens.
    pub(super) fn is_ample(&self, cost: Tokens) -> bool {
        let at = self.granted_at.load(Relaxed);
        let age = Duration::from_millis(self.age_ms().saturating_sub(at));
        let rest = self.granted_rest.load(Relaxed).min(self.remaining());
        at > 0 && age <= GRANT_MEMORY && pending::is_ample(rest, self.prepaid(), cost)
    }

    /// Records whether the account on the store could be accessed.
    pub(super) fn set_store_unavailable(&self, unavailable: bool) {
        self.store_unavailable.store(unavailable, Relaxed);
    }

    /// Tokens of waiting requests, if the tokens held here don't cover them even when all are
    /// unlocked; otherwise 0. Limited to the largest request, so that others return no more than
    /// that at a time.
    pub(super) fn need(&self) -> Tokens {
        let locked = self.caps().locked;
        let held = self.grant.available() + locked;
        let waiting = self.waiting.load(Relaxed);
        if waiting > held {
            waiting.min(self.largest())
        } else {
            0
        }
    }

    /// Tokens of the largest request so far.
    pub(super) fn largest(&self) -> Tokens {
        self.largest.load(Relaxed)
    }

    /// Sets whether this router leaves the account's remaining tokens to other routers.
    pub(super) fn set_withdrawn(&self, withdrawn: bool) {
        self.withdrawn.store(withdrawn, Relaxed);
    }

    /// Whether this router leaves the account's remaining tokens to other routers.
    pub(super) fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Relaxed)
    }

    /// Updates what the account says of other routers: the tokens that they have spent, their
    /// rate of use, and those with unspent quota in descending order.
    pub(super) fn on_account_read(&self, spent: Tokens, rate: u64, holders: Vec<VmName>) {
        self.others_rate.store(rate, Relaxed);
        self.holders.store(Arc::new(holders));
        self.others_spent.store(spent, Relaxed);
        self.read_at.store(self.age_ms(), Relaxed);
        self.changed.notify_waiters();
    }
}

/// Tokens that are spent, reserved or available: the sum that a cap limits.
fn used(counters: &GrantCounters) -> Tokens {
    counters.granted.saturating_sub(counters.returned)
}
