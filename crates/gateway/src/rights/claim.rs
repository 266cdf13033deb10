//! The tasks that change accounts on the store, one for each partition.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use swiftlink_wire::rights::Account;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::account::{self, Closed, Stake};
use super::book::Book;
use super::books::Books;
use super::caps::{Caps, Ended};
use super::rate::Rates;
use super::witness::Witness;
use crate::store::{ANSWER_TIMEOUT, Feed, Store, StoreError};

/// Time between looks at the accounts of a partition for each router, so that appends of
/// many routers seldom meet: one takes about 5 ms.
const PERIOD_EACH: Duration = Duration::from_millis(40);
/// Shortest time between looks that nobody waits for.
const PERIOD_MIN: Duration = Duration::from_millis(500);
/// Longest time between looks.
const PERIOD_MAX: Duration = Duration::from_secs(4);
/// Shortest time between two rounds: waiting requests wake the task more often.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// The same for each router, so that all together make no more than some two hundred rounds a
/// second in a partition.
const PAUSE_EACH: Duration = Duration::from_millis(5);
/// First pause after the store failed; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after the store failed.
const BACKOFF_MAX: Duration = Duration::from_millis(400);
/// Longest random pause after another router was faster; doubles with each time.
const CONTEND: Duration = Duration::from_millis(8);
/// Times that a round starts anew because another router was faster.
const TRIES: u32 = 10;

/// The running tasks.
#[derive(Debug)]
pub struct Claims {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Claims {
    /// Starts a task for each partition; `process` tells this process from others on
    /// its VM, and `witness` knows of those.
    #[must_use]
    pub fn spawn(
        books: &Arc<Books>,
        store: &Arc<dyn Store>,
        witness: Arc<dyn Witness>,
        vm: &VmName,
        process: u64,
    ) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let caps = Caps::new(books, store, witness, vm, process);
        let ended = caps.ended();
        tasks.spawn(caps.run(books.uncapped(), stop.clone()));
        for part in 0..books.parts() {
            let task = Part {
                feed: Feed::Quota(part),
                books: Arc::clone(books),
                part,
                store: Arc::clone(store),
                vm: vm.clone(),
                process,
                seen: None,
                is_behind: false,
                unresolved: None,
                rates: Rates::default(),
                is_idle: false,
                ended: Arc::default(),
            };
            let wanted = books.wanted(part);
            tasks.spawn(task.run(ended.clone(), wanted, stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Ends the tasks at once and gives nothing back, as the end of the process would.
    pub fn abort(&mut self) {
        self.tasks.abort_all();
    }

    /// Gives all rights back and ends the tasks, within `grace`.
    pub async fn stop(mut self, grace: Duration) {
        self.stop.cancel();
        let all = async { while self.tasks.join_next().await.is_some() {} };
        if timeout(grace, all).await.is_err() {
            event!(warn, "rights.kept", reason = "store gave no answer in time");
        }
        self.tasks.shutdown().await;
    }
}

/// A partition as last read.
#[derive(Debug, Default)]
struct Seen {
    end: u64,
    accounts: HashMap<WorkspaceName, Account>,
}

struct Part {
    feed: Feed,
    books: Arc<Books>,
    part: u32,
    store: Arc<dyn Store>,
    vm: VmName,
    process: u64,
    seen: Option<Seen>,
    /// Whether it may be much that others wrote since.
    is_behind: bool,
    /// Condition of an append that had no answer: while the feed ends there, it may still
    /// be done, and rights that it gives back must not be used.
    unresolved: Option<u64>,
    rates: Rates,
    /// Whether this router had nothing to do with the accounts at the last look.
    is_idle: bool,
    /// What earlier processes on this VM have spent at most.
    ended: Arc<Ended>,
}

impl Part {
    async fn run(
        mut self,
        mut ended: watch::Receiver<Option<Arc<Ended>>>,
        wanted: Arc<Notify>,
        stop: CancellationToken,
    ) {
        tokio::select! {
            () = stop.cancelled() => return,
            known = ended.wait_for(Option::is_some) => {
                let Some(known) = known.ok().and_then(|known| known.clone()) else {
                    return;
                };
                self.ended = known;
            }
        }
        let mut backoff = BACKOFF;
        let mut away: Option<Instant> = None;
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                () = wanted.notified() => {}
                () = sleep(self.period()) => {}
            }
            let round = self.round().await;
            for book in self.books.in_part(self.part) {
                let is_away = matches!(&round, Err(error) if *error != contended());
                book.set_away(is_away);
            }
            let pause = match round {
                Ok(()) => {
                    if let Some(since) = away.take() {
                        let secs = since.elapsed().as_secs_f32();
                        event!(info, "store.regained", feed = self.feed, away_secs = secs);
                    }
                    backoff = BACKOFF;
                    (PAUSE_EACH * self.routers()).max(PAUSE_MIN)
                }
                Err(error) => {
                    if away.is_none() {
                        event!(warn, "store.lost", feed = self.feed, error = error);
                        away = Some(Instant::now());
                    }
                    let pause = backoff;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                    pause
                }
            };
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(pause) => {}
            }
        }
        if let Err(error) = self.close().await {
            event!(warn, "rights.kept", feed = self.feed, error = error);
        }
    }

    /// Time until the next look, drawn so that routers don't meet again and again. A router
    /// that neither holds nor wants anything is woken when that changes.
    fn period(&self) -> Duration {
        let period = if self.is_idle {
            PERIOD_MAX
        } else {
            (PERIOD_EACH * self.routers()).clamp(PERIOD_MIN, PERIOD_MAX)
        };
        period.mul_f64(0.8 + 0.4 * rand::random::<f64>())
    }

    /// Routers that change this partition, as far as it shows.
    fn routers(&self) -> u32 {
        let accounts = self.seen.iter().flat_map(|seen| seen.accounts.values());
        let routers = accounts.map(|account| account.holders.len()).max();
        routers.unwrap_or(0) as u32
    }

    /// Brings the accounts of this partition up to date.
    async fn round(&mut self) -> Result<(), StoreError> {
        let books = self.books.in_part(self.part);
        for book in &books {
            self.rates.follow(book);
        }
        let placement = self.books.placement();
        let is_active = |book: &Arc<Book>| book.is_active(placement.is_holder(&book.workspace));
        self.is_idle = !books.iter().any(is_active);
        if self.is_idle {
            return Ok(());
        }
        self.read_news(&books).await?;
        for attempt in 0..TRIES {
            match self.write(&books).await {
                // What nobody waits for is left to the next round.
                Err(StoreError::Conflict { .. }) if books.iter().all(|book| book.need() == 0) => {
                    return self.read_news(&books).await;
                }
                Err(StoreError::Conflict { .. }) => {
                    let most = CONTEND * 2_u32.pow(attempt.min(4));
                    sleep(most.mul_f64(rand::random())).await;
                    self.read_news(&books).await?;
                }
                result => return result,
            }
        }
        Err(contended())
    }

    /// Writes what should change. Rights that are given back are out of use before.
    async fn write(&mut self, books: &[Arc<Book>]) -> Result<(), StoreError> {
        let Some(seen) = &self.seen else {
            return Ok(());
        };
        let mut records = Vec::new();
        let mut changes = Vec::new();
        for book in books {
            let account = seen
                .accounts
                .get(&book.workspace)
                .cloned()
                .unwrap_or_default();
            let stake = self.stake(book);
            let withdrawn = account::is_withdrawn(&account, book.prepaid(), &stake);
            book.set_withdrawn(withdrawn);
            let Some(mut change) = account::adjust(&account, book.prepaid(), &stake) else {
                self.tell(book, &account);
                continue;
            };
            if change.granted < stake.granted {
                give_back(book, &stake, &mut change, self.process);
            }
            records.push(record(&book.workspace, &change.account));
            changes.push((Arc::clone(book), change));
        }
        if records.is_empty() {
            return Ok(());
        }
        let at = seen.end;
        let appended = self.store.append_at(self.feed, at, &records).await;
        self.unresolved = match appended {
            Err(StoreError::Unknown(_) | StoreError::Protocol(_)) => Some(at),
            Err(_) => self.unresolved,
            Ok(_) => None,
        };
        let end = appended?;
        if let Some(seen) = &mut self.seen {
            seen.end = end;
            for (book, change) in &changes {
                let account = change.account.clone();
                seen.accounts.insert(book.workspace.clone(), account);
            }
        }
        for (book, change) in changes {
            log_closed(&book, &change.closed);
            self.accept(&book, change.granted);
            self.tell(&book, &change.account);
        }
        Ok(())
    }

    /// The router may spend `granted` from now on.
    fn accept(&self, book: &Book, granted: Tokens) {
        let held = book.accept(granted);
        if granted != held {
            let counters = book.grant.counters();
            event!(
                info,
                "rights.changed",
                workspace = book.workspace,
                granted = granted,
                before = held,
                charged = counters.charged,
                reserved = counters.reserved,
                prepaid = book.prepaid(),
            );
        }
    }

    /// Tells the book what the account says of the whole fleet.
    fn tell(&self, book: &Book, account: &Account) {
        let mut holders = Vec::new();
        for holder in &account.holders {
            let unspent = holder.granted.saturating_sub(holder.charged);
            if holder.process != self.process && unspent > 0 {
                holders.push((unspent, VmName::from(holder.vm.as_str())));
            }
        }
        holders.sort_by_key(|(unspent, _)| std::cmp::Reverse(*unspent));
        let holders = holders.into_iter().map(|(_, vm)| vm);
        let spent = account::spent_by_others(account, self.process);
        let rate = account::rate_of_others(account, self.process);
        book.on_reading(spent, rate, holders.collect());
    }

    async fn read_all(&mut self, books: &[Arc<Book>]) -> Result<(), StoreError> {
        let page = self.store.newest(self.feed, ANSWER_TIMEOUT.into()).await?;
        let known = self.seen.take().unwrap_or_default();
        if page.end < known.end {
            // An older state than the one known: an append on top of it would undo others'.
            self.seen = Some(known);
            return Ok(());
        }
        if self.unresolved.is_some_and(|at| page.end > at) {
            self.unresolved = None;
        }
        self.seen = Some(Seen {
            end: page.end,
            accounts: known.accounts,
        });
        self.is_behind = false;
        self.take(page.records, books);
        Ok(())
    }

    /// Reads what others wrote since; after an outage only how accounts stand now, since the
    /// history of a large fleet is a megabyte a partition and second. Once the feed has moved on, an append of ours that
    /// had no answer is in it or never will be.
    async fn read_news(&mut self, books: &[Arc<Book>]) -> Result<(), StoreError> {
        let Some(seen) = self.seen.as_ref().filter(|_| !self.is_behind) else {
            return self.read_all(books).await;
        };
        let from = seen.end;
        let read = self
            .store
            .read(self.feed, from, Duration::ZERO, ANSWER_TIMEOUT.into());
        match read.await {
            Ok(page) => {
                let end = page.end.max(from);
                if let Some(seen) = &mut self.seen {
                    seen.end = end;
                }
                if self.unresolved.is_some_and(|at| end > at) {
                    self.unresolved = None;
                }
                self.take(page.records, books);
                Ok(())
            }
            Err(StoreError::Trimmed { .. }) => self.read_all(books).await,
            Err(error) => {
                self.is_behind = true;
                Err(error)
            }
        }
    }

    fn take(&mut self, records: Vec<crate::store::Record>, books: &[Arc<Book>]) {
        let Some(seen) = &mut self.seen else {
            return;
        };
        for record in records {
            let Some(value) = record.value else {
                continue;
            };
            match account::decode(value) {
                Ok(account) => {
                    let workspace = WorkspaceName::from(record.key);
                    seen.accounts.insert(workspace, account);
                }
                Err(error) => {
                    event!(error, "rights.unreadable", key = record.key, error = error);
                }
            }
        }
        for book in books {
            let Some(account) = self
                .seen
                .as_ref()
                .and_then(|s| s.accounts.get(&book.workspace))
            else {
                continue;
            };
            let granted = account::granted(account, self.process);
            if let (Some(granted), None) = (granted, self.unresolved) {
                self.accept(book, granted);
            }
            self.tell(book, account);
        }
    }

    /// Gives back all rights that no request holds, and says what was spent.
    async fn close(&mut self) -> Result<(), StoreError> {
        let books = self.books.in_part(self.part);
        for _attempt in 0..TRIES {
            let Some(seen) = &self.seen else {
                return Ok(());
            };
            let mut records = Vec::new();
            for book in &books {
                book.close();
                let Some(account) = seen.accounts.get(&book.workspace) else {
                    continue;
                };
                if account::granted(account, self.process).is_none() {
                    continue;
                }
                let mut stake = self.stake(book);
                // What a request still holds is counted as spent.
                stake.charged = (stake.charged + stake.reserved).min(stake.granted);
                records.push(record(&book.workspace, &account::close(account, &stake)));
            }
            if records.is_empty() {
                return Ok(());
            }
            match self.store.append_at(self.feed, seen.end, &records).await {
                Err(StoreError::Conflict { .. }) => self.read_news(&[]).await?,
                result => return result.map(drop),
            }
        }
        Err(contended())
    }

    fn stake(&self, book: &Book) -> Stake {
        let standing = book.standing();
        let placement = self.books.placement();
        Stake {
            vm: self.vm.to_string(),
            process: self.process,
            granted: standing.granted,
            charged: standing.charged,
            reserved: standing
                .reserved
                .min(standing.granted.saturating_sub(standing.charged)),
            rate: book.rate(),
            need: book.need(),
            is_holder: placement.is_holder(&book.workspace),
            sharers: placement.sharers(),
            rank: placement.rank(&book.workspace),
            largest: book.largest(),
            ended: self.ended.of(&book.workspace),
        }
    }
}

/// Takes rights out of use before they are given back. Requests may have taken some in
/// the meantime; the change is made to fit.
fn give_back(book: &Book, stake: &Stake, change: &mut account::Change, process: u64) {
    let excess = stake.granted - change.granted;
    let taken = book.give_back(excess);
    change.set_granted(process, stake.granted - taken);
}

fn log_closed(book: &Book, closed: &[Closed]) {
    for Closed { holder, counted } in closed {
        event!(
            warn,
            "rights.closed",
            workspace = book.workspace,
            reason = "an earlier process on this VM held them",
            granted = holder.granted,
            charged = holder.charged,
            counted = counted,
        );
    }
}

/// The outcome of a round in which other routers were faster each time.
fn contended() -> StoreError {
    StoreError::Refused("other routers were faster".to_owned())
}

fn record(workspace: &WorkspaceName, account: &Account) -> (String, Bytes) {
    (workspace.to_string(), Bytes::from(account.encode_to_vec()))
}
