//! A router's rights on each workspace, in memory.

mod reserve;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use swiftlink_admission::{Grant, GrantCounters};
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::cap::{self, Cap};
use crate::clock::Clock;

/// One workspace's rights at this router.
#[derive(Debug)]
pub struct LocalQuota {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What may be spent here.
    pub grant: Arc<Grant>,
    prepaid: AtomicU64,
    /// Held while rights move in or out, so that both sides of a move are seen or none.
    moves: Mutex<Moves>,
    /// Tokens a second that callers lately asked for.
    rate: AtomicU64,
    /// Below so many free tokens a new cap is due.
    low: AtomicU64,
    /// Tokens of requests that wait for rights.
    waiting: AtomicU64,
    /// Tokens of the largest request so far.
    largest: AtomicU64,
    /// Whether what is left of the account is left to other routers.
    withdrawn: AtomicBool,
    /// Other routers with unspent rights, as last read; the one with most first.
    holders: ArcSwap<Vec<VmName>>,
    /// What others have spent, as last read; it only grows.
    spent: AtomicU64,
    /// Tokens a second that others use, as last read.
    others_rate: AtomicU64,
    /// Whether the last look at the account failed.
    away: AtomicBool,
    /// When the account was last read, in milliseconds since `opened`; 0 before.
    read_at: AtomicU64,
    opened: Instant,
    /// Told when rights came or the account was read.
    changed: Notify,
    wakers: Wakers,
    clock: Arc<dyn Clock>,
}

/// Wakes the tasks that move rights.
#[derive(Clone, Debug)]
pub(super) struct Wakers {
    /// The one that claims.
    pub(super) claim: Arc<Notify>,
    /// The one that stores caps.
    pub(super) cap: Arc<Notify>,
}

/// Rights that aren't simply granted, free, reserved or spent.
#[derive(Debug, Default)]
struct Moves {
    /// Granted, but not covered by a cap yet.
    locked: Tokens,
    /// The cap that the store certainly has.
    stored: Option<Bound>,
    /// One that it may have or get.
    sent: Option<Bound>,
}

/// A cap, and when it was made by the steady clock in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Bound {
    cap: Cap,
    since: u64,
}

impl Bound {
    fn at(&self, now: u64) -> Tokens {
        self.cap.after(Duration::from_millis(self.age(now)))
    }

    /// Time from `now` until it allows for `tokens`.
    fn opens_in(&self, tokens: Tokens, now: u64) -> Option<Duration> {
        // What it grows by until a cut is certain is less than what is asked for: those who wait
        // for it would only take it from each other.
        let time = self.cap.time_for(tokens)?.max(self.cap.cut);
        Some(time.saturating_sub(Duration::from_millis(self.age(now))))
    }

    fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.since)
    }
}

impl Moves {
    /// The most that may have left `locked` by `now`, whichever cap the store has.
    fn limit(&self, now: u64) -> Tokens {
        let Some(stored) = self.stored else {
            return 0;
        };
        let sent = self.sent.map_or(Tokens::MAX, |sent| sent.at(now));
        stored.at(now).min(sent)
    }
}

/// A router's side of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// The most that it spends, as the account has it.
    pub granted: Tokens,
    /// What it has spent.
    pub charged: Tokens,
    /// Tokens that running requests hold.
    pub reserved: Tokens,
    /// Tokens that no stored cap covers yet; they can't be used.
    pub locked: Tokens,
    /// Age of the cap that the store has, in milliseconds; `None` before the first one.
    pub cap_age: Option<u64>,
}

/// Why a request gets no rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaError {
    /// What is left in the whole fleet doesn't cover it.
    Exhausted {
        /// Tokens left.
        remaining: Tokens,
    },
    /// Other routers hold what is left.
    HeldElsewhere,
    /// The store can't be reached, and what is held here doesn't cover it.
    StoreUnavailable,
}

impl LocalQuota {
    pub(super) fn new(workspace: WorkspaceName, wakers: Wakers, clock: Arc<dyn Clock>) -> Self {
        Self {
            workspace,
            grant: Arc::new(Grant::new()),
            prepaid: AtomicU64::new(0),
            moves: Mutex::default(),
            rate: AtomicU64::new(0),
            low: AtomicU64::new(0),
            waiting: AtomicU64::new(0),
            largest: AtomicU64::new(0),
            withdrawn: AtomicBool::new(false),
            holders: ArcSwap::default(),
            spent: AtomicU64::new(0),
            others_rate: AtomicU64::new(0),
            away: AtomicBool::new(false),
            read_at: AtomicU64::new(0),
            opened: Instant::now(),
            changed: Notify::new(),
            wakers,
            clock,
        }
    }

    /// The router's side of the account.
    #[must_use]
    pub fn balance(&self) -> Balance {
        let moves = self.moves();
        self.standing_with(&moves)
    }

    fn standing_with(&self, moves: &Moves) -> Balance {
        let counters = self.grant.counters();
        Balance {
            granted: used(&counters) + moves.locked,
            charged: counters.charged,
            reserved: counters.reserved,
            locked: moves.locked,
            cap_age: moves.stored.map(|cap| cap.age(self.clock.steady())),
        }
    }

    /// Takes what the account grants this router; gives what it held before. More rights
    /// can be used once a cap covers them.
    pub(super) fn accept(&self, granted: Tokens) -> Tokens {
        let mut moves = self.moves();
        let held = self.standing_with(&moves).granted;
        if granted > held {
            moves.locked += granted - held;
            self.unlock_with(&mut moves);
            self.wakers.cap.notify_one();
        }
        held
    }

    /// Takes up to `amount` out of use, to be given back; gives what was taken.
    pub(super) fn give_back(&self, amount: Tokens) -> Tokens {
        let mut moves = self.moves();
        let locked = amount.min(moves.locked);
        moves.locked -= locked;
        locked + self.grant.shrink(amount - locked)
    }

    /// Takes all that no request holds out of use, for good.
    pub(super) fn close(&self) {
        let mut moves = self.moves();
        moves.locked = 0;
        moves.stored = None;
        self.grant.shrink(Tokens::MAX);
    }

    /// Leaves the workspace out of the next cap if the router holds no rights of it; says
    /// whether it did. What the cap before allowed is over in the same step: rights that come
    /// in between must not be used under it.
    pub(super) fn leave_cap(&self) -> bool {
        let mut moves = self.moves();
        let leaves = self.standing_with(&moves).granted == 0;
        if leaves {
            moves.stored = None;
        }
        leaves
    }

    /// A new cap from `now` on, in milliseconds of the steady clock, to be stored, which
    /// lately took `lag`. Until [`Self::cap_stored`] no more is spent than both this and the
    /// one before allow.
    pub(super) fn make_cap(&self, now: u64, lag: Duration) -> Cap {
        let mut moves = self.moves();
        let free = self.grant.available();
        let unspent = free + moves.locked;
        let rate = self.rate();
        let wanted = cap::base(unspent, rate, lag) + self.waiting.load(Relaxed);
        moves.locked += self.grant.shrink(free.saturating_sub(wanted));
        let more = wanted.saturating_sub(free).min(moves.locked);
        let bound = wanted.min(unspent) + self.grant.counters().reserved;
        let room = cap::room(self.prepaid(), self.share(), bound);
        self.low.store(wanted / 2, Relaxed);
        let cap = Cap {
            base: used(&self.grant.counters()) + more,
            ..cap::draw(unspent, rate, room)
        };
        moves.sent = Some(Bound { cap, since: now });
        cap
    }

    /// The store has the cap made last.
    pub(super) fn cap_stored(&self) {
        let mut moves = self.moves();
        if let Some(sent) = moves.sent.take() {
            moves.stored = Some(sent);
        }
        self.unlock_with(&mut moves);
        drop(moves);
        self.changed.notify_waiters();
    }

    /// Time until caps allow for `cost` tokens of what is held here, while the store stays away;
    /// `None` where too little is held.
    pub(super) fn opens_in(&self, cost: Tokens) -> Option<Duration> {
        let moves = self.moves();
        let counters = self.grant.counters();
        let missing = cost.saturating_sub(counters.available);
        if missing > moves.locked {
            return None;
        }
        let target = used(&counters) + missing;
        let now = self.clock.steady();
        let stored = moves.stored?.opens_in(target, now)?;
        match &moves.sent {
            Some(sent) => Some(stored.max(sent.opens_in(target, now)?)),
            None => Some(stored),
        }
    }

    /// Frees what caps allow by now.
    fn unlock_with(&self, moves: &mut Moves) {
        let limit = moves.limit(self.clock.steady());
        let room = limit.saturating_sub(used(&self.grant.counters()));
        let freed = room.min(moves.locked);
        moves.locked -= freed;
        if freed > 0 {
            self.grant.credit(freed);
        }
    }

    fn moves(&self) -> MutexGuard<'_, Moves> {
        // The sums are whole between any two statements.
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this router has to look at the account, where it `is_holder` of a part of it or
    /// not: it has or may want a part of it.
    pub(super) fn is_active(&self, is_holder: bool) -> bool {
        let wants = self.rate() > 0 || self.waiting.load(Relaxed) > 0;
        wants || is_holder || self.balance().granted > 0
    }

    /// Tokens a second that callers lately asked for.
    #[must_use]
    pub fn rate(&self) -> u64 {
        self.rate.load(Relaxed)
    }

    pub(super) fn set_rate(&self, rate: u64) {
        self.rate.store(rate, Relaxed);
    }

    /// Other routers with unspent rights, the one with most first.
    #[must_use]
    pub fn holders(&self) -> Arc<Vec<VmName>> {
        self.holders.load_full()
    }

    /// This router's part of the use of all.
    fn share(&self) -> f64 {
        let own = self.rate() as f64;
        let all = own + self.others_rate.load(Relaxed) as f64;
        if all > 0.0 { own / all } else { 0.0 }
    }

    pub(super) fn set_prepaid(&self, prepaid: Tokens) {
        self.prepaid.store(prepaid, Relaxed);
    }

    /// Tokens that the workspace may spend in all.
    #[must_use]
    pub fn prepaid(&self) -> Tokens {
        self.prepaid.load(Relaxed)
    }

    /// The most that is left in the whole fleet: others may have spent more since the
    /// account was read, but not less.
    #[must_use]
    pub fn remaining(&self) -> Tokens {
        let charged = self.grant.counters().charged;
        self.prepaid()
            .saturating_sub(self.spent.load(Relaxed) + charged)
    }

    /// Milliseconds since the account was last read, or since the start.
    #[must_use]
    pub fn read_age_ms(&self) -> u64 {
        self.age_ms().saturating_sub(self.read_at.load(Relaxed))
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Notes whether the account could be looked at.
    pub(super) fn set_away(&self, away: bool) {
        self.away.store(away, Relaxed);
    }

    /// Tokens of waiting requests, if the rights held here don't cover them also once caps
    /// allow for all; those of one request at most, so that others give back no more at a
    /// time.
    pub(super) fn need(&self) -> Tokens {
        let locked = self.moves().locked;
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

    /// Leaves what is left of the account to other routers, or takes part in it again.
    pub(super) fn set_withdrawn(&self, withdrawn: bool) {
        self.withdrawn.store(withdrawn, Relaxed);
    }

    /// Whether what is left of the account is left to other routers.
    pub(super) fn is_withdrawn(&self) -> bool {
        self.withdrawn.load(Relaxed)
    }

    /// Notes that the account was read: what others have spent and use, and who has unspent
    /// rights, the one with most first.
    pub(super) fn on_reading(&self, spent: Tokens, rate: u64, holders: Vec<VmName>) {
        self.others_rate.store(rate, Relaxed);
        self.holders.store(Arc::new(holders));
        self.spent.store(spent, Relaxed);
        self.read_at.store(self.age_ms(), Relaxed);
        self.changed.notify_waiters();
    }
}

/// What is spent, reserved or free: what a cap bounds.
fn used(counters: &GrantCounters) -> Tokens {
    counters.granted.saturating_sub(counters.returned)
}
