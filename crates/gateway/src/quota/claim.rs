//! The tasks that change accounts on the store, one for each partition.

mod apply;
mod era;
mod withheld;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::{VmName, WorkspaceName};
use swiftlink_wire::rights::Account;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use self::era::EarlierAccounts;
use self::withheld::KnownWithheld;
use super::account::{self, RouterState};
use super::cap_writer::{CapWriter, EndedProcesses};
use super::last_seen::LastSeen;
use super::local::LocalQuota;
use super::rate::Rates;
use super::table::QuotaTable;
use crate::store::{ANSWER_TIMEOUT, Feed, Store, StoreError, era_of};

/// Interval between rounds in a partition, multiplied by the number of routers, so that their
/// appends seldom conflict: one append takes about 5 ms.
const INTERVAL_PER_ROUTER: Duration = Duration::from_millis(40);
/// Shortest interval between rounds while no request waits for quota.
const INTERVAL_MIN: Duration = Duration::from_millis(500);
/// Longest interval between rounds.
const INTERVAL_MAX: Duration = Duration::from_secs(4);
/// Shortest pause between two rounds: waiting requests wake the task more often than that.
const PAUSE_MIN: Duration = Duration::from_millis(50);
/// Pause between two rounds, multiplied by the number of routers, so that all routers together
/// make at most about two hundred rounds a second in a partition.
const PAUSE_PER_ROUTER: Duration = Duration::from_millis(5);
/// First backoff after the store failed; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after the store failed.
const BACKOFF_MAX: Duration = Duration::from_millis(400);
/// Longest random backoff after the first conflict with another router; doubles with each one.
const CONFLICT_BACKOFF: Duration = Duration::from_millis(8);
/// Maximum number of attempts to write in one round, or at shutdown, while appends of other routers
/// conflict.
const MAX_ATTEMPTS: u32 = 10;

/// The running tasks.
#[derive(Debug)]
pub struct Claims {
    tasks: JoinSet<()>,
    stop: CancellationToken,
}

impl Claims {
    /// Starts a task for each partition. `process` distinguishes this process from others on its
    /// VM, and `last_seen` says when those were last alive.
    #[must_use]
    pub fn spawn(
        quotas: &Arc<QuotaTable>,
        store: &Arc<dyn Store>,
        last_seen: Arc<dyn LastSeen>,
        vm: &VmName,
        process: u64,
    ) -> Self {
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let caps = CapWriter::new(quotas, store, last_seen, vm, process);
        let ended = caps.ended();
        tasks.spawn(caps.run(quotas.cap_waker(), stop.clone()));
        for partition in 0..quotas.partitions() {
            let task = PartitionTask {
                feed: Feed::Quota(partition),
                quotas: Arc::clone(quotas),
                partition,
                store: Arc::clone(store),
                vm: vm.clone(),
                process,
                snapshot: None,
                is_behind: false,
                unresolved: None,
                earlier: EarlierAccounts::default(),
                withheld: KnownWithheld::new(quotas.copy_lag()),
                rates: Rates::default(),
                is_idle: false,
                ended: Arc::default(),
            };
            let waker = quotas.claim_waker(partition);
            tasks.spawn(task.run(ended.clone(), waker, stop.clone()));
        }
        Self { tasks, stop }
    }

    /// Ends the tasks at once without returning quota, like a crash of the process.
    pub fn abort(&mut self) {
        self.tasks.abort_all();
    }

    /// Returns all quota to the accounts and ends the tasks, within `grace`.
    pub async fn stop(mut self, grace: Duration) {
        self.stop.cancel();
        let all = async { while self.tasks.join_next().await.is_some() {} };
        if timeout(grace, all).await.is_err() {
            event!(warn, "quota.not_returned", reason = "store timed out");
        }
        self.tasks.shutdown().await;
    }
}

/// The accounts of a partition as last read.
#[derive(Debug, Default)]
struct Snapshot {
    end: u64,
    accounts: HashMap<WorkspaceName, Account>,
}

struct PartitionTask {
    feed: Feed,
    quotas: Arc<QuotaTable>,
    partition: u32,
    store: Arc<dyn Store>,
    vm: VmName,
    process: u64,
    snapshot: Option<Snapshot>,
    /// Whether the snapshot may be far behind the feed.
    is_behind: bool,
    /// Expected offset of an append that got no answer. While the feed ends there, the append may
    /// still succeed, and quota that it returns must not be used.
    unresolved: Option<u64>,
    /// What is known from before the store went back to a copy.
    earlier: EarlierAccounts,
    /// Since when it is known what the accounts withhold.
    withheld: KnownWithheld,
    rates: Rates,
    /// Whether this router needed none of the accounts in the last round.
    is_idle: bool,
    /// The most that earlier processes on this VM can have spent.
    ended: Arc<EndedProcesses>,
}

impl PartitionTask {
    async fn run(
        mut self,
        mut ended: watch::Receiver<Option<Arc<EndedProcesses>>>,
        waker: Arc<Notify>,
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
        let mut lost_at: Option<Instant> = None;
        let mut era = self.store.era();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                Ok(()) = era.changed() => {}
                () = waker.notified() => {}
                () = sleep(self.interval()) => {}
            }
            let round = self.round().await;
            for quota in self.quotas.in_partition(self.partition) {
                let is_unavailable = matches!(&round, Err(error) if *error != contended());
                quota.set_store_unavailable(is_unavailable);
            }
            let pause = match round {
                Ok(()) => {
                    if let Some(since) = lost_at.take() {
                        let secs = since.elapsed().as_secs_f32();
                        event!(info, "store.regained", feed = self.feed, away_secs = secs);
                    }
                    backoff = BACKOFF;
                    (PAUSE_PER_ROUTER * self.routers()).max(PAUSE_MIN)
                }
                Err(error) => {
                    if lost_at.is_none() {
                        event!(warn, "store.lost", feed = self.feed, error = error);
                        lost_at = Some(Instant::now());
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
            event!(warn, "quota.not_returned", feed = self.feed, error = error);
        }
    }

    /// Time until the next round, with jitter so that routers don't conflict repeatedly. A router
    /// that neither holds nor wants quota is woken when that changes.
    fn interval(&self) -> Duration {
        let interval = if self.is_idle {
            INTERVAL_MAX
        } else {
            (INTERVAL_PER_ROUTER * self.routers()).clamp(INTERVAL_MIN, INTERVAL_MAX)
        };
        interval.mul_f64(0.8 + 0.4 * rand::random::<f64>())
    }

    /// Number of routers that change this partition, as far as the snapshot shows.
    fn routers(&self) -> u32 {
        let accounts = self.snapshot.iter().flat_map(|s| s.accounts.values());
        let routers = accounts.map(|account| account.holders.len()).max();
        routers.unwrap_or(0) as u32
    }

    /// Whether the store went back to a copy since this router last read the accounts. Its entries
    /// there have to be confirmed.
    fn is_outdated(&self) -> bool {
        let era = *self.store.era().borrow();
        self.snapshot.as_ref().is_some_and(|s| era_of(s.end) < era)
    }

    /// Brings the accounts of this partition up to date.
    async fn round(&mut self) -> Result<(), StoreError> {
        let quotas = self.quotas.in_partition(self.partition);
        for quota in &quotas {
            self.rates.update(quota);
        }
        let placement = self.quotas.placement();
        let is_active = |q: &Arc<LocalQuota>| q.is_active(placement.is_holder(&q.workspace));
        let is_frozen = self.earlier.is_frozen();
        self.is_idle = !quotas.iter().any(is_active) && !is_frozen && !self.is_outdated();
        if self.is_idle {
            return Ok(());
        }
        self.read_updates(&quotas).await?;
        for attempt in 0..MAX_ATTEMPTS {
            match self.write(&quotas).await {
                // Changes that no request waits for are left to the next round.
                Err(StoreError::Conflict { .. }) if quotas.iter().all(|q| q.need() == 0) => {
                    return self.read_updates(&quotas).await;
                }
                Err(StoreError::Conflict { .. }) => {
                    let max = CONFLICT_BACKOFF * 2_u32.pow(attempt.min(4));
                    sleep(max.mul_f64(rand::random())).await;
                    self.read_updates(&quotas).await?;
                }
                result => return result,
            }
        }
        Err(contended())
    }

    /// Writes the accounts that should change. Quota that a change returns is taken out of use
    /// before the append.
    async fn write(&mut self, quotas: &[Arc<LocalQuota>]) -> Result<(), StoreError> {
        let Some(snapshot) = &self.snapshot else {
            return Ok(());
        };
        let mut records = Vec::new();
        let mut changes = Vec::new();
        for quota in quotas {
            let account = snapshot
                .accounts
                .get(&quota.workspace)
                .cloned()
                .unwrap_or_default();
            let router = self.router_state(quota);
            let withdrawn = account::is_withdrawn(&account, quota.prepaid(), &router);
            quota.set_withdrawn(withdrawn);
            let Some(mut change) = account::adjust(&account, quota.prepaid(), &router) else {
                self.update_quota(quota, &account);
                continue;
            };
            if change.granted < router.granted {
                give_back(quota, &router, &mut change, self.process);
            }
            records.push(record(&quota.workspace, &change.account));
            changes.push((Arc::clone(quota), change));
        }
        if records.is_empty() {
            return Ok(());
        }
        let at = snapshot.end;
        let appended = self.store.append_at(self.feed, at, &records).await;
        self.unresolved = match appended {
            Err(StoreError::Unknown(_) | StoreError::Protocol(_)) => Some(at),
            Err(_) => self.unresolved,
            Ok(_) => None,
        };
        let end = appended?;
        if let Some(snapshot) = &mut self.snapshot {
            snapshot.end = end;
            for (quota, change) in &changes {
                self.earlier.on_written(&quota.workspace);
                let account = change.account.clone();
                self.withheld.observe(&quota.workspace, &account.withheld);
                snapshot.accounts.insert(quota.workspace.clone(), account);
            }
        }
        for (quota, change) in changes {
            apply::log_closed(&quota, &change.closed);
            self.accept(&quota, change.granted);
            self.update_quota(&quota, &change.account);
        }
        Ok(())
    }

    async fn read_all(&mut self, quotas: &[Arc<LocalQuota>]) -> Result<(), StoreError> {
        let page = self.store.newest(self.feed, ANSWER_TIMEOUT.into()).await?;
        let known = self.snapshot.take().unwrap_or_default();
        if era_of(page.end) > era_of(known.end) {
            self.enter_era(page, known, quotas);
            return Ok(());
        }
        if page.end < known.end {
            // The page is older than the snapshot: an append based on it would undo changes of
            // other routers.
            self.snapshot = Some(known);
            return Ok(());
        }
        if self.unresolved.is_some_and(|at| page.end > at) {
            self.unresolved = None;
        }
        self.snapshot = Some(Snapshot {
            end: page.end,
            accounts: known.accounts,
        });
        self.is_behind = false;
        self.apply_records(page.records, quotas);
        Ok(())
    }

    /// Reads the records since the snapshot. After an outage it reads only the newest record of
    /// each account, since the history of a large fleet is a megabyte a second in each partition.
    /// Once the feed has grown, an append of this router that got no answer is either in it or
    /// will never be.
    async fn read_updates(&mut self, quotas: &[Arc<LocalQuota>]) -> Result<(), StoreError> {
        let Some(snapshot) = self.snapshot.as_ref().filter(|_| !self.is_behind) else {
            return self.read_all(quotas).await;
        };
        let from = snapshot.end;
        let read = self
            .store
            .read(self.feed, from, Duration::ZERO, ANSWER_TIMEOUT.into());
        match read.await {
            Ok(page) => {
                let end = page.end.max(from);
                if let Some(snapshot) = &mut self.snapshot {
                    snapshot.end = end;
                }
                if self.unresolved.is_some_and(|at| end > at) {
                    self.unresolved = None;
                }
                self.apply_records(page.records, quotas);
                Ok(())
            }
            Err(StoreError::Trimmed { .. }) => self.read_all(quotas).await,
            Err(error) => {
                self.is_behind = true;
                Err(error)
            }
        }
    }

    /// Returns all tokens that no request holds, and records what was spent.
    async fn close(&mut self) -> Result<(), StoreError> {
        let quotas = self.quotas.in_partition(self.partition);
        for _attempt in 0..MAX_ATTEMPTS {
            let Some(known) = &self.snapshot else {
                return Ok(());
            };
            let mut records = Vec::new();
            for quota in &quotas {
                quota.close();
                let Some(account) = known.accounts.get(&quota.workspace) else {
                    continue;
                };
                if account::granted(account, self.process, 0).is_none() {
                    continue;
                }
                let mut router = self.router_state(quota);
                // Tokens that a request still holds count as spent.
                router.charged = (router.charged + router.reserved).min(router.granted);
                let closed = account::close(account, quota.prepaid(), &router);
                records.push(record(&quota.workspace, &closed));
            }
            if records.is_empty() {
                return Ok(());
            }
            match self.store.append_at(self.feed, known.end, &records).await {
                Err(StoreError::Conflict { .. }) => self.read_updates(&[]).await?,
                result => return result.map(drop),
            }
        }
        Err(contended())
    }

    fn router_state(&self, quota: &LocalQuota) -> RouterState {
        let balance = quota.balance();
        let placement = self.quotas.placement();
        RouterState {
            vm: self.vm.to_string(),
            process: self.process,
            granted: balance.granted,
            charged: balance.charged,
            reserved: balance
                .reserved
                .min(balance.granted.saturating_sub(balance.charged)),
            rate: quota.rate(),
            need: quota.need(),
            is_holder: placement.is_holder(&quota.workspace),
            sharers: placement.sharers(),
            rank: placement.rank(&quota.workspace),
            largest: quota.largest(),
            ended: self.ended.of(&quota.workspace),
            era: self.snapshot.as_ref().map_or(0, |s| era_of(s.end)),
            is_frozen: self.earlier.is_frozen(),
            must_write: self.earlier.must_write(&quota.workspace),
            steps_due: self.withheld.steps_due(&quota.workspace),
            may_go_back: self.store.may_go_back(),
        }
    }
}

/// Takes tokens out of use before the account returns them. Requests may have reserved some in
/// the meantime, so the change is adjusted to what was taken.
fn give_back(quota: &LocalQuota, router: &RouterState, change: &mut account::Change, process: u64) {
    let excess = router.granted - change.granted;
    let taken = quota.give_back(excess);
    change.set_granted(process, router.granted - taken);
}

/// The result of a round in which other routers conflicted with each attempt.
fn contended() -> StoreError {
    StoreError::Refused("appends of other routers conflicted with each attempt".to_owned())
}

fn record(workspace: &WorkspaceName, account: &Account) -> (String, Bytes) {
    (workspace.to_string(), Bytes::from(account.encode_to_vec()))
}
