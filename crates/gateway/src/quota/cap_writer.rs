//! The task that stores this process's caps, and reads those of its predecessors.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use swiftlink_wire::rights::{Cap as CapRecord, Caps as CapsRecord};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::account::EndedSpending;
use super::cap::{self, Cap};
use super::last_seen::LastSeen;
use super::local::LocalQuota;
use super::table::QuotaTable;
use crate::clock::Reading;
use crate::peers;
use crate::store::{ANSWER_TIMEOUT, Feed, Record, Store, StoreError, era_of};

/// Longest interval between caps, also while nothing is spent. A process that ends loses what its
/// cap has grown by since the last one. The interval plus the time without power must stay below
/// the age from which on a cap takes the store to be unreachable. With 1.5 s while nothing was
/// spent, over a tenth of a budget was lost in one of twenty simulated power losses of five VMs.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between caps: a call takes about 5 ms.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// First backoff after the store failed; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after the store failed.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// How long a router that lost power waits for others that may have lost it too: longer than the
/// difference between their start times that a cap allows for.
const START_WAIT: Duration = Duration::from_millis(600);

/// The most that ended processes on this VM can have spent, by process and workspace.
#[derive(Debug, Default)]
pub(super) struct EndedProcesses(HashMap<u64, EndedProcess>);

/// The most that one process can have spent, by workspace.
#[derive(Debug)]
struct EndedProcess {
    spent: HashMap<WorkspaceName, Tokens>,
    /// Whether the store went back since its last cap that is known. Later caps may be lost.
    is_outdated: bool,
}

impl EndedProcess {
    fn spending(&self, workspace: &WorkspaceName) -> EndedSpending {
        let spent = self.spent.get(workspace).copied();
        // A workspace that an outdated cap lacks may have been in a later one.
        let unknown = if self.is_outdated { Tokens::MAX } else { 0 };
        EndedSpending {
            max: spent.unwrap_or(unknown),
            is_outdated: self.is_outdated,
        }
    }
}

impl EndedProcesses {
    /// The most that each process can have spent of one workspace.
    pub(super) fn of(&self, workspace: &WorkspaceName) -> HashMap<u64, EndedSpending> {
        let all = self.0.iter();
        all.map(|(process, ended)| (*process, ended.spending(workspace)))
            .collect()
    }
}

/// Decodes the records of earlier processes, whose keys begin with `prefix`.
fn decode_predecessors(records: &[Record], prefix: &str) -> Vec<CapsRecord> {
    let mut predecessors = Vec::new();
    for record in records {
        let (true, Some(value)) = (record.key.starts_with(prefix), &record.value) else {
            continue;
        };
        match CapsRecord::decode(value.clone()) {
            Ok(caps) => predecessors.push(caps),
            // A process without caps counts as having spent all that it held.
            Err(error) => event!(error, "cap.unreadable", key = record.key, error = error),
        }
    }
    predecessors
}

fn stamp(caps: &CapsRecord) -> Reading {
    Reading {
        boot: Arc::from(caps.boot.as_str()),
        steady: caps.steady_ms,
        wall: caps.wall_ms,
    }
}

/// The most that a process can have spent by `now`, a time after its end. `seen`: the longest time
/// since its record that peers know of.
fn max_spent(
    caps: &CapsRecord,
    now: &Reading,
    starts: &[u64],
    seen: Option<Duration>,
    is_outdated: bool,
) -> HashMap<WorkspaceName, Tokens> {
    let stamp = stamp(caps);
    let time = cap::elapsed(&stamp, now, starts, seen);
    event!(
        info,
        "cap.read",
        process = format!("{:016x}", caps.process),
        age_ms = time.map_or(-1, |time| time.as_millis() as i64),
        same_boot = cap::is_same_boot(&stamp, now),
        seen_ms = seen.map_or(-1, |seen| seen.as_millis() as i64),
        outdated = is_outdated,
        fleet_started = cap::median_start(&stamp, starts).is_some(),
        workspaces = caps.caps.len(),
    );
    let limit = |record: &CapRecord| {
        let cap = Cap {
            base: record.base,
            rate: record.rate,
            outage_at: Duration::from_millis(record.cut_ms),
            outage_step: record.step,
            outage_rate: record.cut_rate,
        };
        // An outdated cap is exceeded as in a store outage, whatever its age.
        let time = match is_outdated {
            true => time.map(|time| time.max(cap.outage_at)),
            false => time,
        };
        time.map_or(Tokens::MAX, |time| cap.limit_after(time))
    };
    let caps = caps.caps.iter();
    caps.map(|cap| (WorkspaceName::from(cap.workspace.as_str()), limit(cap)))
        .collect()
}

/// Stores caps until it is stopped.
pub(super) struct CapWriter {
    feed: Feed,
    quotas: Arc<QuotaTable>,
    store: Arc<dyn Store>,
    last_seen: Arc<dyn LastSeen>,
    process: u64,
    vm: VmName,
    /// Number of the next record.
    sequence: u64,
    /// Moving average of the time to store a record, without outages.
    lag: Duration,
    /// When this process started, which is after the end of its predecessors.
    started: Reading,
    ended: watch::Sender<Option<Arc<EndedProcesses>>>,
}

impl CapWriter {
    /// A task for `process` on `vm`.
    pub(super) fn new(
        quotas: &Arc<QuotaTable>,
        store: &Arc<dyn Store>,
        last_seen: Arc<dyn LastSeen>,
        vm: &VmName,
        process: u64,
    ) -> Self {
        let partition = xxh3_64(vm.as_str().as_bytes()) % u64::from(quotas.feed_partitions());
        Self {
            feed: Feed::Caps(partition as u32),
            quotas: Arc::clone(quotas),
            store: Arc::clone(store),
            last_seen,
            process,
            vm: vm.clone(),
            sequence: 1,
            lag: Duration::ZERO,
            started: quotas.clock().read(),
            ended: watch::Sender::new(None),
        }
    }

    /// Receives what predecessors can have spent once that is known.
    pub(super) fn ended(&self) -> watch::Receiver<Option<Arc<EndedProcesses>>> {
        self.ended.subscribe()
    }

    /// Runs until `stop`. `waker` triggers a cap before the interval has passed.
    pub(super) async fn run(mut self, waker: Arc<Notify>, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.write_all(&waker)).await;
    }

    async fn write_all(&mut self, waker: &Notify) {
        self.open().await;
        loop {
            let mut quotas = self.quotas.all();
            quotas.retain(|quota| !quota.leave_cap());
            if !quotas.is_empty() {
                self.store_caps(&quotas).await;
            }
            sleep(MIN_INTERVAL).await;
            tokio::select! {
                () = waker.notified() => {}
                () = sleep(MAX_INTERVAL) => {}
            }
        }
    }

    /// Writes a first record without caps, and reads the records of predecessors.
    async fn open(&mut self) {
        let mut backoff = BACKOFF;
        let first = self.record(Vec::new(), &self.quotas.clock().read());
        loop {
            match self.try_open(&first).await {
                Ok(ended) => {
                    self.sequence += 1;
                    self.ended.send_replace(Some(Arc::new(ended)));
                    return;
                }
                Err(error) => {
                    let is_unavailable = !matches!(error, StoreError::Conflict { .. });
                    for quota in self.quotas.all() {
                        quota.set_store_unavailable(is_unavailable);
                    }
                    event!(info, "cap.not_opened", feed = self.feed, error = error);
                }
            }
            sleep(backoff.mul_f64(rand::random())).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Predecessors ended before `first` is appended, so a page that includes it has all records
    /// that were acknowledged to them. Concurrent appends of other VMs don't matter: when the
    /// append was conditional on there being none, a start among five busy routers took up to 11
    /// seconds, in which callers got no quota.
    async fn try_open(&self, first: &(String, Bytes)) -> Result<EndedProcesses, StoreError> {
        let append = self
            .store
            .append_next(self.feed, &first.0, self.sequence, first.clone());
        let end = append.await?;
        let page = self.store.newest(self.feed, ANSWER_TIMEOUT.into()).await?;
        if page.end < end {
            return Err(StoreError::Conflict { end: page.end });
        }
        let mut predecessors = decode_predecessors(&page.records, &prefix(&self.vm));
        predecessors.retain(|caps| caps.process != self.process);
        let starts = self.starts(&predecessors).await?;
        // Concurrently: a VM may have had many processes, and each call may take its timeout.
        let seen = join_all(predecessors.iter().map(|caps| self.seen(caps))).await;
        let known = predecessors.iter().zip(seen);
        let era = era_of(page.end);
        let ended = known.map(|(caps, seen)| {
            let is_outdated = caps.era < era;
            let spent = max_spent(caps, &self.started, &starts, seen, is_outdated);
            (caps.process, EndedProcess { spent, is_outdated })
        });
        Ok(EndedProcesses(ended.collect()))
    }

    /// The longest time from a predecessor's record to the start of this process that peers know
    /// of; `None` without asking them where this VM's own clock is enough.
    async fn seen(&self, caps: &CapsRecord) -> Option<Duration> {
        if cap::is_same_boot(&stamp(caps), &self.started) {
            return None;
        }
        let asked = self.quotas.clock().steady();
        let since = self.last_seen.since(caps.process, caps.steady_ms).await?;
        // Subtracts the time between the start of this process and the call.
        let after = asked.saturating_sub(self.started.steady);
        Some(since.saturating_sub(Duration::from_millis(after)))
    }

    /// When the routers on other VMs last started. After a power loss it waits for those that may
    /// still be starting.
    async fn starts(&self, predecessors: &[CapsRecord]) -> Result<Vec<u64>, StoreError> {
        let is_other_boot = |caps: &&CapsRecord| !cap::is_same_boot(&stamp(caps), &self.started);
        let Some(newest) = predecessors
            .iter()
            .filter(is_other_boot)
            .max_by_key(|caps| caps.wall_ms)
        else {
            return Ok(Vec::new());
        };
        let newest = stamp(newest);
        let until = Instant::now() + START_WAIT;
        loop {
            let mut starts = Vec::new();
            for partition in self.quotas.member_partitions() {
                let page = self
                    .store
                    .newest(Feed::Members(partition), ANSWER_TIMEOUT.into());
                starts.extend(peers::start_times(&page.await?.records, &self.vm));
            }
            if cap::median_start(&newest, &starts).is_some() || Instant::now() >= until {
                return Ok(starts);
            }
            sleep(START_WAIT / 6).await;
        }
    }

    /// Stores a new cap for each quota, retrying until it succeeds: in a store outage it is this
    /// record's caps that grow.
    async fn store_caps(&mut self, quotas: &[Arc<LocalQuota>]) {
        let stamp = self.quotas.clock().read();
        let mut caps = Vec::with_capacity(quotas.len());
        for quota in quotas {
            let cap = quota.make_cap(stamp.steady, self.lag);
            caps.push(CapRecord {
                workspace: quota.workspace.to_string(),
                base: cap.base,
                rate: cap.rate,
                cut_ms: cap.outage_at.as_millis() as u64,
                step: cap.outage_step,
                cut_rate: cap.outage_rate,
            });
        }
        let record = self.record(caps, &stamp);
        let mut backoff = BACKOFF;
        let mut failed = false;
        let sent = Instant::now();
        loop {
            let stored =
                self.store
                    .append_next(self.feed, &record.0, self.sequence, record.clone());
            match stored.await {
                Ok(_end) => break,
                Err(error) if !failed => {
                    event!(warn, "cap.not_stored", feed = self.feed, error = error);
                    failed = true;
                }
                Err(_) => {}
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        self.sequence += 1;
        if !failed {
            self.lag = (self.lag + sent.elapsed()) / 2;
        }
        for quota in quotas {
            quota.cap_stored();
        }
    }

    fn record(&self, caps: Vec<CapRecord>, stamp: &Reading) -> (String, Bytes) {
        let record = CapsRecord {
            process: self.process,
            boot: stamp.boot.to_string(),
            steady_ms: stamp.steady,
            wall_ms: stamp.wall,
            caps,
            era: *self.store.era().borrow(),
        };
        let key = format!("{}{:016x}", prefix(&self.vm), self.process);
        (key, Bytes::from(record.encode_to_vec()))
    }
}

/// Prefix of the keys of all processes on a VM.
fn prefix(vm: &VmName) -> String {
    format!("{vm}/")
}
