//! A router's rights on each workspace, in memory.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use swiftlink_admission::Grant;
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Usage;
use crate::model::Config;

/// Partitions that accounts are spread over. All accounts of a partition are read and
/// written in one call, so few partitions mean few calls; more of them mean that appends
/// of different routers meet less often.
const PARTS: u32 = 2;

/// One workspace's rights at this router.
#[derive(Debug)]
pub struct Book {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What may be spent here.
    pub grant: Arc<Grant>,
    prepaid: AtomicU64,
    /// Held while rights move in or out, so that both sides of a move are seen or none.
    loans: Mutex<Loans>,
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
    /// Wakes the task that claims.
    wanted: Arc<Notify>,
    /// Wakes the task that borrows.
    lacking: Arc<Notify>,
}

/// Rights that went to other routers and came from them, ever.
#[derive(Debug, Default)]
struct Loans {
    lent: Tokens,
    borrowed: Tokens,
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
    fn new(workspace: WorkspaceName, wanted: Arc<Notify>, lacking: Arc<Notify>) -> Self {
        Self {
            workspace,
            grant: Arc::new(Grant::new()),
            prepaid: AtomicU64::new(0),
            loans: Mutex::default(),
            need: AtomicU64::new(0),
            short: AtomicU64::new(0),
            lenders: ArcSwap::default(),
            spent: AtomicU64::new(0),
            away: AtomicBool::new(false),
            read_at: AtomicU64::new(0),
            opened: Instant::now(),
            changed: Notify::new(),
            wanted,
            lacking,
        }
    }

    /// The router's side of the account.
    ///
    /// Borrowed tokens were spent by their lender as far as accounts are concerned. Rights
    /// are given back only as far as the account gave them, so `granted` isn't negative.
    #[must_use]
    pub fn standing(&self) -> Standing {
        let loans = self.loans();
        self.standing_with(&loans)
    }

    fn standing_with(&self, loans: &Loans) -> Standing {
        let counters = self.grant.counters();
        let Loans { lent, borrowed } = *loans;
        Standing {
            granted: (counters.granted + lent).saturating_sub(counters.returned + borrowed),
            charged: (counters.charged + lent).saturating_sub(borrowed),
            reserved: counters.reserved,
        }
    }

    /// Takes what the account grants this router; gives what it held before.
    pub(super) fn accept(&self, granted: Tokens) -> Tokens {
        let loans = self.loans();
        let held = self.standing_with(&loans).granted;
        if granted > held {
            self.grant.credit(granted - held);
        }
        held
    }

    /// Takes up to `amount` out of use for another router; gives what was taken. A router
    /// with callers of its own keeps half of what is free, but for the `need` of a request
    /// that waits.
    pub fn lend(&self, amount: Tokens, need: Tokens) -> Tokens {
        let mut loans = self.loans();
        let counters = self.grant.counters();
        let spare = if counters.charged + counters.reserved == 0 {
            counters.available
        } else {
            (counters.available / 2).max(need.min(counters.available))
        };
        let taken = self.grant.shrink(amount.min(spare));
        loans.lent += taken;
        taken
    }

    /// Takes tokens that another router lent.
    pub fn borrow(&self, amount: Tokens) {
        let mut loans = self.loans();
        loans.borrowed += amount;
        self.grant.credit(amount);
        drop(loans);
        self.changed.notify_waiters();
    }

    fn loans(&self) -> MutexGuard<'_, Loans> {
        // The two sums are whole between any two statements.
        self.loans.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Tokens that the workspace may spend in all.
    #[must_use]
    pub fn prepaid(&self) -> Tokens {
        self.prepaid.load(Relaxed)
    }

    /// The most that is left in the whole fleet: others may have spent more since the
    /// account was read, but not less.
    #[must_use]
    pub fn rest(&self) -> Tokens {
        let loans = self.loans();
        let charged = self.grant.counters().charged;
        // What was borrowed is among the spendings of others.
        let spent = self.spent.load(Relaxed) + charged + loans.lent;
        (self.prepaid() + loans.borrowed).saturating_sub(spent)
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
        loop {
            let changed = self.changed.notified();
            let rest = self.rest();
            if rest < cost {
                return Err(NoRights::Spent { rest });
            }
            self.need.fetch_max(cost, Relaxed);
            self.short.fetch_max(cost, Relaxed);
            self.wanted.notify_one();
            self.lacking.notify_one();
            let is_over = timeout_at(until, changed).await.is_err();
            if let Some(spend) = self.try_reserve(usage, cost) {
                return Ok(spend);
            }
            if is_over && self.away.load(Relaxed) {
                return Err(NoRights::Away);
            }
            if is_over {
                return Err(NoRights::Elsewhere);
            }
        }
    }

    fn try_reserve(self: &Arc<Self>, usage: Usage, cost: Tokens) -> Option<Spend> {
        self.grant.reserve(cost)?;
        Some(Spend {
            book: Arc::clone(self),
            usage,
            reserved: cost,
            prompt: 0,
            output: 0,
        })
    }
}

/// Rights that one request holds. When it is dropped, what was not spent is free again.
#[derive(Debug)]
pub struct Spend {
    book: Arc<Book>,
    usage: Usage,
    reserved: Tokens,
    prompt: Tokens,
    output: Tokens,
}

impl Spend {
    /// The request may run: its prompt is spent.
    pub fn ran(&mut self) {
        self.prompt = self.usage.prompt;
    }

    /// It certainly hasn't run after all.
    pub fn not_run(&mut self) {
        self.prompt = 0;
    }

    /// Output tokens that the caller may have by now.
    pub fn delivered(&mut self, output: Tokens) {
        self.output = output.min(self.usage.output);
    }

    /// Tokens spent so far.
    #[must_use]
    pub fn spent(&self) -> Tokens {
        self.prompt + self.output
    }
}

impl Drop for Spend {
    fn drop(&mut self) {
        let spent = self.spent();
        self.book.grant.settle(self.reserved, spent);
    }
}

/// All books of a router.
#[derive(Debug)]
pub struct Books {
    books: ArcSwap<HashMap<WorkspaceName, Arc<Book>>>,
    /// By partition: wakes its claim task.
    wanted: Vec<Arc<Notify>>,
    /// Wakes the task that borrows.
    lacking: Arc<Notify>,
}

impl Books {
    /// No books; accounts are spread over at most `parts` partitions.
    #[must_use]
    pub fn new(parts: u32) -> Self {
        let wanted = (0..parts.clamp(1, PARTS)).map(|_| Arc::new(Notify::new()));
        Self {
            books: ArcSwap::default(),
            wanted: wanted.collect(),
            lacking: Arc::default(),
        }
    }

    /// Partition that holds the account of a workspace.
    #[must_use]
    pub fn part(&self, workspace: &WorkspaceName) -> u32 {
        let hash = xxh3_64(workspace.as_str().as_bytes());
        (hash % self.wanted.len() as u64) as u32
    }

    /// Takes the workspaces of a configuration. Books of workspaces that are gone stay:
    /// what was spent on them may have to be told.
    pub fn set_config(&self, config: &Config) {
        let mut books = HashMap::clone(&self.books.load());
        for (name, workspace) in &config.workspaces {
            let Some(prepaid) = workspace.prepaid else {
                books.remove(name);
                continue;
            };
            let wanted = &self.wanted[self.part(name) as usize];
            let book = books.entry(name.clone()).or_insert_with(|| {
                let lacking = Arc::clone(&self.lacking);
                Arc::new(Book::new(name.clone(), Arc::clone(wanted), lacking))
            });
            book.prepaid.store(prepaid, Relaxed);
        }
        self.books.store(Arc::new(books));
        for wanted in &self.wanted {
            wanted.notify_one();
        }
    }

    /// The book of a workspace; `None` when it may spend as much as it likes.
    #[must_use]
    pub fn get(&self, workspace: &WorkspaceName) -> Option<Arc<Book>> {
        self.books.load().get(workspace).cloned()
    }

    /// Books whose accounts are in `part`.
    #[must_use]
    pub fn in_part(&self, part: u32) -> Vec<Arc<Book>> {
        let books = self.books.load();
        let books = books
            .values()
            .filter(|book| self.part(&book.workspace) == part);
        books.cloned().collect()
    }

    pub(super) fn wanted(&self, part: u32) -> Arc<Notify> {
        Arc::clone(&self.wanted[part as usize])
    }

    /// All books.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Book>> {
        self.books.load().values().cloned().collect()
    }

    pub(super) fn lacking(&self) -> Arc<Notify> {
        Arc::clone(&self.lacking)
    }

    /// Number of partitions.
    #[must_use]
    pub fn parts(&self) -> u32 {
        self.wanted.len() as u32
    }
}
