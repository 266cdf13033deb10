//! This router's membership of each budget stream: its incarnations.
//!
//! Before its join on a stream is decided, a router has no rights on the stream's
//! budgets. An incarnation that the log has retired is left, with its rights, for
//! a new one. Ledgers take the new one's join for proof that the old one is gone, and
//! free its rights; so the router joins anew only once nothing is left that may still
//! be charged to the old one.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwapOption;
use papaya::HashMap;
use swiftlink_budget::shard_of;
use swiftlink_log::Backoff;
use swiftlink_telemetry::event;
use swiftlink_types::{BudgetName, Incarnation, VmName, WallMs, wall_ms};
use swiftlink_wire::log::{Join, Mark, RejectReason, fate, record};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::account::Account;
use crate::claim::Claimers;
use crate::keys::Keys;
use crate::ledgers::Ledgers;

/// Longest wait for the fate of one join or mark.
const DECIDE_WAIT: Duration = Duration::from_secs(2);
/// First and largest pause between tries.
const RETRY_BASE: Duration = Duration::from_millis(100);
const RETRY_CAP: Duration = Duration::from_secs(2);

/// One incarnation of this router on one budget stream.
#[derive(Debug)]
pub struct Seat {
    /// Number of the stream.
    pub shard: u32,
    /// Its name on the stream.
    pub incarnation: Incarnation,
    /// Keys created before this are forgotten by the log.
    pub evicted_ms: WallMs,
    serial: AtomicU64,
    retired: AtomicBool,
    /// Wakes the keeper at the retirement.
    left: Notify,
    stays: AtomicUsize,
    /// Wakes the keeper when the last stay on a retired incarnation ends.
    empty: Notify,
    accounts: HashMap<BudgetName, Arc<Account>>,
}

impl Seat {
    /// An incarnation that has just joined.
    #[must_use]
    pub fn new(shard: u32, incarnation: Incarnation, evicted_ms: WallMs) -> Arc<Self> {
        Arc::new(Self {
            shard,
            incarnation,
            evicted_ms,
            serial: AtomicU64::new(0),
            retired: AtomicBool::new(false),
            left: Notify::new(),
            stays: AtomicUsize::new(0),
            empty: Notify::new(),
            accounts: HashMap::new(),
        })
    }

    /// The account of `budget`, if it was opened.
    #[must_use]
    pub fn find(&self, budget: &BudgetName) -> Option<Arc<Account>> {
        self.accounts.pin().get(budget).map(Arc::clone)
    }

    /// The account of `budget`; its claimer is started at the first use.
    #[must_use]
    pub fn open(self: &Arc<Self>, budget: &BudgetName, claimers: &Claimers) -> Arc<Account> {
        if let Some(account) = self.find(budget) {
            return account;
        }
        let fresh = Arc::new(Account::new(budget.clone()));
        let accounts = self.accounts.pin();
        match accounts.try_insert(budget.clone(), Arc::clone(&fresh)) {
            Ok(_) => {
                claimers.spawn(self, &fresh);
                fresh
            }
            Err(taken) => Arc::clone(taken.current),
        }
    }

    /// All accounts opened so far.
    #[must_use]
    pub fn accounts(&self) -> Vec<Arc<Account>> {
        let accounts = self.accounts.pin();
        accounts.values().map(Arc::clone).collect()
    }

    /// The next charge's number; the first is 1.
    #[must_use]
    pub fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Begins work that may be charged to this incarnation; `None` once it is retired.
    #[must_use]
    pub fn enter(self: &Arc<Self>) -> Option<Stay> {
        // Counted first: whoever sees the incarnation retired and empty knows that no
        // later work begins on it.
        let stay = self.stay();
        (!self.is_retired()).then_some(stay)
    }

    /// Goes on with work that has begun on this incarnation.
    #[must_use]
    pub fn stay(self: &Arc<Self>) -> Stay {
        self.stays.fetch_add(1, Ordering::SeqCst);
        Stay {
            seat: Arc::clone(self),
        }
    }

    /// Requests and charges that are under way on this incarnation.
    #[must_use]
    pub fn stays(&self) -> usize {
        self.stays.load(Ordering::SeqCst)
    }

    /// Whether the router may join anew: the incarnation is retired, and nothing is
    /// left that may be charged to it.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.is_retired() && self.stays() == 0
    }

    /// Waits until a retired incarnation is over.
    pub async fn over(&self) {
        while !self.is_over() {
            self.empty.notified().await;
        }
    }

    /// Notes that the log has retired this incarnation.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        self.left.notify_one();
    }

    /// Whether the log has retired this incarnation.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }

    /// Looks at a rejection: an incarnation that is unknown or retired is left.
    pub fn note_rejection(&self, reason: RejectReason) {
        if matches!(
            reason,
            RejectReason::Retired | RejectReason::UnknownIncarnation
        ) {
            self.retire();
        }
    }
}

/// Work under way on an incarnation, from before its rights are reserved until its
/// charge is decided or it is certain that there will be none. Rights that stay
/// reserved since the end of a run isn't known are no work: they are never charged.
#[derive(Debug)]
pub struct Stay {
    seat: Arc<Seat>,
}

impl Deref for Stay {
    type Target = Arc<Seat>;

    fn deref(&self) -> &Arc<Seat> {
        &self.seat
    }
}

impl Drop for Stay {
    fn drop(&mut self) {
        let was_last = self.seat.stays.fetch_sub(1, Ordering::SeqCst) == 1;
        if was_last && self.seat.is_retired() {
            self.seat.empty.notify_one();
        }
    }
}

/// The memberships on all budget streams.
#[derive(Debug)]
pub struct Members {
    seats: Box<[ArcSwapOption<Seat>]>,
}

impl Members {
    /// No membership yet on any of `shards` streams.
    #[must_use]
    pub fn new(shards: u32) -> Arc<Self> {
        let seats = (0..shards).map(|_| ArcSwapOption::empty()).collect();
        Arc::new(Self { seats })
    }

    /// The membership that `budget` needs; `None` before its join is decided.
    #[must_use]
    pub fn seat(&self, budget: &BudgetName) -> Option<Arc<Seat>> {
        let shard = shard_of(budget.as_str(), self.seats.len() as u32);
        let seat = self.seats[shard as usize].load_full()?;
        (!seat.is_retired()).then_some(seat)
    }

    /// The memberships in force.
    #[must_use]
    pub fn seats(&self) -> Vec<Arc<Seat>> {
        let loaded = self.seats.iter().map(ArcSwapOption::load_full);
        loaded.flatten().collect()
    }

    /// Number of streams joined now.
    #[must_use]
    pub fn joined(&self) -> usize {
        let seats = self.seats.iter();
        seats.filter(|seat| seat.load().is_some()).count()
    }

    fn put(&self, seat: Option<Arc<Seat>>, shard: u32) {
        self.seats[shard as usize].store(seat);
    }
}

/// What a membership needs to be kept.
#[derive(Debug, Clone)]
pub struct Keeper {
    /// VM of this router.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Callers' address, bound by this process.
    pub address: SocketAddr,
    /// Time between marks.
    pub mark: Duration,
    /// Where records are submitted.
    pub ledgers: Arc<Ledgers>,
    /// Keys in use.
    pub keys: Arc<Keys>,
    /// Where the membership is published.
    pub members: Arc<Members>,
    /// Ends the upkeep.
    pub stop: CancellationToken,
}

impl Keeper {
    /// Joins the stream of `shard`, marks settled keys, and joins anew when retired.
    pub async fn keep(self, shard: u32) {
        let mut epoch = wall_micros();
        while !self.stop.is_cancelled() {
            let Some(seat) = self.join(shard, epoch).await else {
                return;
            };
            let incarnation = seat.incarnation.to_string();
            event!(
                info,
                "shard.joined",
                shard = shard,
                incarnation = incarnation
            );
            self.members.put(Some(Arc::clone(&seat)), shard);
            self.mark_until_retired(&seat).await;
            if self.stop.is_cancelled() {
                return;
            }
            event!(
                warn,
                "shard.retired",
                shard = shard,
                incarnation = incarnation,
                under_way = seat.stays()
            );
            self.members.put(None, shard);
            for account in seat.accounts() {
                account.wake.notify_one();
            }
            // A join now would free the rights on which the work under way draws.
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = seat.over() => {}
            }
            epoch = wall_micros().max(seat.incarnation.epoch + 1);
        }
    }

    /// Joins at `epoch` or above; `None` when stopped before.
    async fn join(&self, shard: u32, mut epoch: u64) -> Option<Arc<Seat>> {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        let mut said = false;
        loop {
            let incarnation = Incarnation {
                vm: self.vm.clone(),
                epoch,
            };
            let join = Join {
                incarnation: Some((&incarnation).into()),
                address: self.address.to_string(),
                domain: self.domain.to_string(),
                floor_ms: self.keys.raise(wall_ms()),
            };
            let kind = record::Kind::Join(join);
            let decided = tokio::select! {
                () = self.stop.cancelled() => return None,
                decided = self.ledgers.submit(shard, kind, DECIDE_WAIT) => decided,
            };
            match decided {
                Ok(fate::Kind::Join(fate)) if fate.active => {
                    return Some(Seat::new(shard, incarnation, fate.evicted_ms));
                }
                Ok(fate::Kind::Join(fate)) => {
                    epoch = fate.newest_epoch.max(epoch) + 1;
                    continue;
                }
                Ok(other) => {
                    event!(
                        error,
                        "shard.join-rejected",
                        shard = shard,
                        fate = format!("{other:?}")
                    );
                }
                Err(error) if !said => {
                    event!(warn, "shard.join-waits", shard = shard, why = error);
                    said = true;
                }
                Err(_) => {}
            }
            tokio::select! {
                () = self.stop.cancelled() => return None,
                () = tokio::time::sleep(backoff.next(rand::random())) => {}
            }
        }
    }

    async fn mark_until_retired(&self, seat: &Seat) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = seat.left.notified() => return,
                () = tokio::time::sleep(self.mark) => {}
            }
            if seat.is_retired() {
                return;
            }
            let mark = Mark {
                incarnation: Some((&seat.incarnation).into()),
                floor_ms: self.keys.raise(wall_ms()),
            };
            let kind = record::Kind::Mark(mark);
            let decided = self.ledgers.submit(seat.shard, kind, DECIDE_WAIT).await;
            // A mark that was not decided is made up for by the next one.
            if let Ok(fate::Kind::Rejected(rejected)) = decided {
                seat.note_rejection(rejected.reason());
            }
        }
    }
}

/// The wall clock in microseconds, for a new epoch.
fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
