//! This router's membership in each budget stream: its incarnations.
//!
//! A router has no quota of a stream's budgets before the log has decided its join. When
//! the log retires an incarnation, the router gives it up together with its quota and
//! joins as a new one. Ledgers treat the new join as proof that the old incarnation is
//! gone and release its quota. The router therefore joins again only when nothing can be
//! charged to the old incarnation any more.

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

/// Maximum wait for the decision on one join or mark.
const DECIDE_TIMEOUT: Duration = Duration::from_secs(2);
/// First and maximum delay between attempts.
const RETRY_BASE: Duration = Duration::from_millis(100);
const RETRY_CAP: Duration = Duration::from_secs(2);

/// One incarnation of this router on one budget stream.
#[derive(Debug)]
pub struct Membership {
    /// Number of the stream.
    pub shard: u32,
    /// Identity on the stream.
    pub incarnation: Incarnation,
    /// Creation time before which the log has evicted keys.
    pub evicted_ms: WallMs,
    serial: AtomicU64,
    retired: AtomicBool,
    /// Wakes the keeper when the incarnation is retired.
    retirement: Notify,
    pending_work: AtomicUsize,
    /// Wakes the keeper when the last work on a retired incarnation ends.
    drained: Notify,
    accounts: HashMap<BudgetName, Arc<Account>>,
}

impl Membership {
    /// Creates the membership of an incarnation that has just joined.
    #[must_use]
    pub fn new(shard: u32, incarnation: Incarnation, evicted_ms: WallMs) -> Arc<Self> {
        Arc::new(Self {
            shard,
            incarnation,
            evicted_ms,
            serial: AtomicU64::new(0),
            retired: AtomicBool::new(false),
            retirement: Notify::new(),
            pending_work: AtomicUsize::new(0),
            drained: Notify::new(),
            accounts: HashMap::new(),
        })
    }

    /// The account of `budget`, if it is open.
    #[must_use]
    pub fn find(&self, budget: &BudgetName) -> Option<Arc<Account>> {
        self.accounts.pin().get(budget).map(Arc::clone)
    }

    /// The account of `budget`. The first call opens it and starts its claimer.
    #[must_use]
    pub fn open(self: &Arc<Self>, budget: &BudgetName, claimers: &Claimers) -> Arc<Account> {
        if let Some(account) = self.find(budget) {
            return account;
        }
        let account = Arc::new(Account::new(budget.clone()));
        let accounts = self.accounts.pin();
        match accounts.try_insert(budget.clone(), Arc::clone(&account)) {
            Ok(_) => {
                claimers.spawn(self, &account);
                account
            }
            Err(occupied) => Arc::clone(occupied.current),
        }
    }

    /// All open accounts.
    #[must_use]
    pub fn accounts(&self) -> Vec<Arc<Account>> {
        let accounts = self.accounts.pin();
        accounts.values().map(Arc::clone).collect()
    }

    /// Serial number of the next charge, counted from 1.
    #[must_use]
    pub fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Begins work that may be charged to this incarnation; `None` once it is retired.
    #[must_use]
    pub fn begin_work(self: &Arc<Self>) -> Option<WorkGuard> {
        // Counted before the check: once an incarnation was seen retired and without
        // work, no work can begin on it.
        let guard = self.continue_work();
        (!self.is_retired()).then_some(guard)
    }

    /// Adds a guard to work that has already begun on this incarnation.
    #[must_use]
    pub fn continue_work(self: &Arc<Self>) -> WorkGuard {
        self.pending_work.fetch_add(1, Ordering::SeqCst);
        WorkGuard {
            membership: Arc::clone(self),
        }
    }

    /// Number of requests and charges in progress on this incarnation.
    #[must_use]
    pub fn pending_work(&self) -> usize {
        self.pending_work.load(Ordering::SeqCst)
    }

    /// Whether the router may join again: the incarnation is retired and nothing can be
    /// charged to it any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_retired() && self.pending_work() == 0
    }

    /// Waits until the incarnation is retired and drained.
    pub async fn drained(&self) {
        while !self.is_drained() {
            self.drained.notified().await;
        }
    }

    /// Marks this incarnation as retired by the log.
    pub fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        self.retirement.notify_one();
    }

    /// Whether the log has retired this incarnation.
    #[must_use]
    pub fn is_retired(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }

    /// Handles the rejection of a record: an incarnation that the log doesn't know or has
    /// retired is marked as retired.
    pub fn on_rejection(&self, reason: RejectReason) {
        if matches!(
            reason,
            RejectReason::Retired | RejectReason::UnknownIncarnation
        ) {
            self.retire();
        }
    }
}

/// Work in progress on an incarnation. It lasts from before its quota is reserved until
/// its charge is decided or it is certain that there will be none. Quota that stays
/// reserved because the end of a run is unknown doesn't count: it is never charged.
#[derive(Debug)]
pub struct WorkGuard {
    membership: Arc<Membership>,
}

impl Deref for WorkGuard {
    type Target = Arc<Membership>;

    fn deref(&self) -> &Arc<Membership> {
        &self.membership
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let was_last = self.membership.pending_work.fetch_sub(1, Ordering::SeqCst) == 1;
        if was_last && self.membership.is_retired() {
            self.membership.drained.notify_one();
        }
    }
}

/// The memberships in all budget streams.
#[derive(Debug)]
pub struct Memberships {
    by_shard: Box<[ArcSwapOption<Membership>]>,
}

impl Memberships {
    /// Creates an empty set for `shards` streams.
    #[must_use]
    pub fn new(shards: u32) -> Arc<Self> {
        let by_shard = (0..shards).map(|_| ArcSwapOption::empty()).collect();
        Arc::new(Self { by_shard })
    }

    /// The membership in the stream of `budget`; `None` before the join is decided and
    /// after the incarnation is retired.
    #[must_use]
    pub fn find(&self, budget: &BudgetName) -> Option<Arc<Membership>> {
        let shard = shard_of(budget.as_str(), self.by_shard.len() as u32);
        let membership = self.by_shard[shard as usize].load_full()?;
        (!membership.is_retired()).then_some(membership)
    }

    /// The current memberships.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Membership>> {
        let loaded = self.by_shard.iter().map(ArcSwapOption::load_full);
        loaded.flatten().collect()
    }

    /// Number of streams that are joined now.
    #[must_use]
    pub fn joined(&self) -> usize {
        let by_shard = self.by_shard.iter();
        by_shard
            .filter(|membership| membership.load().is_some())
            .count()
    }

    fn set(&self, membership: Option<Arc<Membership>>, shard: u32) {
        self.by_shard[shard as usize].store(membership);
    }
}

/// Joins budget streams and keeps their memberships.
#[derive(Debug, Clone)]
pub struct Keeper {
    /// VM of this router.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Address for callers, bound by this process.
    pub address: SocketAddr,
    /// Time between marks.
    pub mark: Duration,
    /// Ledgers to which records are submitted.
    pub ledgers: Arc<Ledgers>,
    /// Keys in use.
    pub keys: Arc<Keys>,
    /// Receives the current memberships.
    pub members: Arc<Memberships>,
    /// Stops the keeper.
    pub stop: CancellationToken,
}

impl Keeper {
    /// Joins the stream of `shard`, marks settled keys, and joins again when retired.
    pub async fn keep(self, shard: u32) {
        let mut epoch = wall_micros();
        while !self.stop.is_cancelled() {
            let Some(membership) = self.join(shard, epoch).await else {
                return;
            };
            let incarnation = membership.incarnation.to_string();
            event!(
                info,
                "shard.joined",
                shard = shard,
                incarnation = incarnation
            );
            self.members.set(Some(Arc::clone(&membership)), shard);
            self.mark_until_retired(&membership).await;
            if self.stop.is_cancelled() {
                return;
            }
            event!(
                warn,
                "shard.retired",
                shard = shard,
                incarnation = incarnation,
                under_way = membership.pending_work()
            );
            self.members.set(None, shard);
            for account in membership.accounts() {
                account.wake.notify_one();
            }
            // A join now would release the quota that work in progress still uses.
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = membership.drained() => {}
            }
            epoch = wall_micros().max(membership.incarnation.epoch + 1);
        }
    }

    /// Joins with an epoch of at least `epoch`. Returns `None` when stopped before.
    async fn join(&self, shard: u32, mut epoch: u64) -> Option<Arc<Membership>> {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        let mut is_logged = false;
        loop {
            let incarnation = Incarnation {
                vm: self.vm.clone(),
                epoch,
            };
            let join = Join {
                incarnation: Some((&incarnation).into()),
                address: self.address.to_string(),
                domain: self.domain.to_string(),
                floor_ms: self.keys.raise_floor(wall_ms()),
            };
            let kind = record::Kind::Join(join);
            let decided = tokio::select! {
                () = self.stop.cancelled() => return None,
                decided = self.ledgers.submit(shard, kind, DECIDE_TIMEOUT) => decided,
            };
            match decided {
                Ok(fate::Kind::Join(fate)) if fate.active => {
                    return Some(Membership::new(shard, incarnation, fate.evicted_ms));
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
                Err(error) if !is_logged => {
                    event!(warn, "shard.join-waits", shard = shard, why = error);
                    is_logged = true;
                }
                Err(_) => {}
            }
            tokio::select! {
                () = self.stop.cancelled() => return None,
                () = tokio::time::sleep(backoff.next(rand::random())) => {}
            }
        }
    }

    async fn mark_until_retired(&self, membership: &Membership) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = membership.retirement.notified() => return,
                () = tokio::time::sleep(self.mark) => {}
            }
            if membership.is_retired() {
                return;
            }
            let mark = Mark {
                incarnation: Some((&membership.incarnation).into()),
                floor_ms: self.keys.raise_floor(wall_ms()),
            };
            let kind = record::Kind::Mark(mark);
            let decided = self
                .ledgers
                .submit(membership.shard, kind, DECIDE_TIMEOUT)
                .await;
            // The next mark replaces one that was not decided.
            if let Ok(fate::Kind::Rejected(rejected)) = decided {
                membership.on_rejection(rejected.reason());
            }
        }
    }
}

/// Wall clock time in microseconds, used as a new epoch.
fn wall_micros() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
