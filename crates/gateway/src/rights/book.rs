//! A router's rights on each workspace, in memory.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use swiftlink_admission::Grant;
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::account;
use super::cap::{self, Cap};
use super::spend::Spend;
use crate::clock::Clock;
use crate::dialect::Usage;

/// How often a waiting request looks whether the growth of a cap covers it. A tenth of the
/// users' shortest wait.
const RECHECK: Duration = Duration::from_millis(10);

/// One workspace's rights at this router.
#[derive(Debug)]
pub struct Book {
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
    /// Tokens of requests that wait for a new cap.
    lack: AtomicU64,
    /// The largest request that waits for rights.
    need: AtomicU64,
    /// The same, for the task that borrows.
    short: AtomicU64,
    /// Unspent rights of other routers, as last read; the largest first.
    lenders: ArcSwap<Vec<Lender>>,
    /// What others have spent, as last read; it only grows.
    spent: AtomicU64,
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
    /// The one that borrows.
    pub(super) borrow: Arc<Notify>,
    /// The one that stores caps.
    pub(super) cap: Arc<Notify>,
}

/// Rights that aren't simply granted, free, reserved or spent.
#[derive(Debug, Default)]
struct Moves {
    /// Went to other routers, ever.
    lent: Tokens,
    /// Came from them, ever.
    borrowed: Tokens,
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

/// A router that may lend rights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lender {
    /// Its VM.
    pub vm: VmName,
    /// What it had not spent, as last read.
    pub unspent: Tokens,
}

/// A router's side of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// The most that it spends, as the account has it.
    pub granted: Tokens,
    /// What it has spent or lent, but for what it has borrowed.
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
pub enum NoRights {
    /// What is left in the whole fleet doesn't cover it.
    Spent {
        /// Tokens left.
        rest: Tokens,
    },
    /// Other routers hold what is left.
    Elsewhere,
    /// The store can't be reached, and peers lend nothing.
    Away,
}

impl Book {
    pub(super) fn new(workspace: WorkspaceName, wakers: Wakers, clock: Arc<dyn Clock>) -> Self {
        Self {
            workspace,
            grant: Arc::new(Grant::new()),
            prepaid: AtomicU64::new(0),
            moves: Mutex::default(),
            rate: AtomicU64::new(0),
            low: AtomicU64::new(0),
            lack: AtomicU64::new(0),
            need: AtomicU64::new(0),
            short: AtomicU64::new(0),
            lenders: ArcSwap::default(),
            spent: AtomicU64::new(0),
            away: AtomicBool::new(false),
            read_at: AtomicU64::new(0),
            opened: Instant::now(),
            changed: Notify::new(),
            wakers,
            clock,
        }
    }

    /// The router's side of the account.
    ///
    /// Borrowed tokens were spent by their lender as far as accounts are concerned. Rights
    /// are given back only as far as the account gave them, so `granted` isn't negative.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let moves = self.moves();
        self.standing_with(&moves)
    }

    fn standing_with(&self, moves: &Moves) -> Standing {
        let counters = self.grant.counters();
        let held = counters.granted + moves.lent + moves.locked;
        Standing {
            granted: held.saturating_sub(counters.returned + moves.borrowed),
            charged: (counters.charged + moves.lent).saturating_sub(moves.borrowed),
            reserved: counters.reserved,
            locked: moves.locked,
            cap_age: moves.stored.map(|cap| cap.age(self.clock.steady())),
        }
    }

    /// What is spent, lent, reserved or free here, but for what was borrowed: what a cap
    /// bounds. It is below zero when more was borrowed than that.
    fn used_with(&self, moves: &Moves) -> i64 {
        let counters = self.grant.counters();
        let into = (counters.granted + moves.lent) as i64;
        into - (counters.returned + moves.borrowed) as i64
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
        let wanted = cap::base(unspent, rate, lag) + self.lack.swap(0, Relaxed);
        moves.locked += self.grant.shrink(free.saturating_sub(wanted));
        let more = wanted.saturating_sub(free).min(moves.locked);
        self.low.store(wanted / 2, Relaxed);
        let base = self.used_with(&moves).saturating_add_unsigned(more);
        let cap = Cap {
            base: Tokens::try_from(base).unwrap_or(0),
            ..cap::draw(unspent, rate)
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

    /// Frees what caps allow by now.
    fn unlock_with(&self, moves: &mut Moves) {
        let limit = moves.limit(self.clock.steady());
        let used = self.used_with(moves);
        let room = i128::from(limit) - i128::from(used);
        let freed = Tokens::try_from(room).unwrap_or(0).min(moves.locked);
        moves.locked -= freed;
        if freed > 0 {
            self.grant.credit(freed);
        }
    }

    /// Takes up to `amount` out of use for another router; gives what was taken. A router
    /// with callers of its own keeps half of what is free, but for the `need` of a request
    /// that waits.
    pub fn lend(&self, amount: Tokens, need: Tokens) -> Tokens {
        let mut moves = self.moves();
        self.unlock_with(&mut moves);
        let counters = self.grant.counters();
        let spare = if counters.charged + counters.reserved == 0 {
            counters.available
        } else {
            (counters.available / 2).max(need.min(counters.available))
        };
        let taken = self.grant.shrink(amount.min(spare));
        moves.lent += taken;
        if taken < amount && moves.locked > 0 {
            self.lack.fetch_add(need, Relaxed);
            self.wakers.cap.notify_one();
        }
        taken
    }

    /// Takes tokens that another router lent.
    pub fn borrow(&self, amount: Tokens) {
        let mut moves = self.moves();
        moves.borrowed += amount;
        self.grant.credit(amount);
        drop(moves);
        self.changed.notify_waiters();
    }

    fn moves(&self) -> MutexGuard<'_, Moves> {
        // The sums are whole between any two statements.
        self.moves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this router has to look at the account: it has or may want a part of it.
    pub(super) fn is_active(&self, fleet: usize) -> bool {
        let wants = self.rate() > 0 || self.need.load(Relaxed) > 0;
        wants || account::holds_idle(fleet) || self.standing().granted > 0
    }

    /// Tokens a second that callers lately asked for.
    #[must_use]
    pub fn rate(&self) -> u64 {
        self.rate.load(Relaxed)
    }

    pub(super) fn set_rate(&self, rate: u64) {
        self.rate.store(rate, Relaxed);
    }

    /// The largest request that waits for borrowed rights; it is forgotten.
    pub(super) fn take_short(&self) -> Tokens {
        self.short.swap(0, Relaxed)
    }

    /// The router on `vm` has no more to lend.
    pub(super) fn is_drained(&self, vm: &VmName) {
        let mut lenders = Vec::clone(&self.lenders.load());
        lenders.retain(|lender| lender.vm != *vm);
        self.lenders.store(Arc::new(lenders));
    }

    /// Routers that may lend, the best first.
    #[must_use]
    pub fn lenders(&self) -> Arc<Vec<Lender>> {
        self.lenders.load_full()
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
    pub fn rest(&self) -> Tokens {
        let moves = self.moves();
        let charged = self.grant.counters().charged;
        // What was borrowed is among the spendings of others.
        let spent = self.spent.load(Relaxed) + charged + moves.lent;
        (self.prepaid() + moves.borrowed).saturating_sub(spent)
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

    /// Takes the largest waiting request; it is forgotten.
    pub(super) fn take_need(&self) -> Tokens {
        self.need.swap(0, Relaxed)
    }

    /// Notes that the account was read: what others have spent, and what they hold.
    pub(super) fn on_reading(&self, spent: Tokens, mut lenders: Vec<Lender>) {
        lenders.sort_by_key(|lender| std::cmp::Reverse(lender.unspent));
        self.lenders.store(Arc::new(lenders));
        self.spent.store(spent, Relaxed);
        self.read_at.store(self.age_ms(), Relaxed);
        self.changed.notify_waiters();
    }

    /// Reserves the most that `usage` can cost, waiting up to `wait` for rights.
    ///
    /// # Errors
    /// When there are none.
    pub async fn reserve(
        self: &Arc<Self>,
        usage: Usage,
        wait: Duration,
    ) -> Result<Spend, NoRights> {
        let cost = usage.prompt + usage.output;
        if let Some(spend) = self.try_reserve(usage, cost) {
            return Ok(spend);
        }
        let until = Instant::now() + wait;
        self.grant.miss(cost);
        self.lack.fetch_add(cost, Relaxed);
        loop {
            let changed = self.changed.notified();
            let rest = self.rest();
            if rest < cost {
                return Err(NoRights::Spent { rest });
            }
            self.ask_for(cost);
            let pause = until.min(Instant::now() + RECHECK);
            let news = timeout_at(pause, changed).await;
            if let Some(spend) = self.try_reserve(usage, cost) {
                return Ok(spend);
            }
            if news.is_ok() {
                // A cap was stored and others were faster: the next one is to cover it.
                self.lack.fetch_add(cost, Relaxed);
                continue;
            }
            if pause < until {
                continue;
            }
            if self.away.load(Relaxed) {
                return Err(NoRights::Away);
            }
            return Err(NoRights::Elsewhere);
        }
    }

    /// Wakes whoever may bring rights for a request of `cost`.
    fn ask_for(&self, cost: Tokens) {
        let locked = self.moves().locked;
        if locked > 0 {
            self.wakers.cap.notify_one();
        }
        if self.grant.available() + locked < cost {
            self.need.fetch_max(cost, Relaxed);
            self.wakers.claim.notify_one();
        }
        // In a cut a cap grows slowly, and others may have more than they use.
        self.short.fetch_max(cost, Relaxed);
        self.wakers.borrow.notify_one();
    }

    fn try_reserve(self: &Arc<Self>, usage: Usage, cost: Tokens) -> Option<Spend> {
        if self.grant.reserve(cost).is_none() {
            self.unlock_with(&mut self.moves());
            self.grant.reserve(cost)?;
        }
        if self.grant.available() < self.low.load(Relaxed) {
            self.wakers.cap.notify_one();
        }
        Some(Spend::new(Arc::clone(self), usage, cost))
    }
}
