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

use super::book::Book;
use super::books::Books;
use super::cap::{self, Cap};
use super::witness::Witness;
use crate::clock::Reading;
use crate::peers;
use crate::store::{ANSWER_TIMEOUT, Feed, Record, Store, StoreError};

/// Longest time between caps that nobody waits for, also while nothing is spent. A process that
/// ends loses what its cap has grown by since then; with its age and the time without power
/// it must stay below the age from which on a cap takes the store to be out of reach. With a
/// pause of 1.5 s while nothing was spent, over a tenth of a budget was lost in one of twenty
/// simulated losses of power of five VMs.
const PERIOD: Duration = Duration::from_millis(500);
/// Shortest time between caps: a call takes about 5 ms.
const PAUSE_MIN: Duration = Duration::from_millis(20);
/// First pause after the store failed; doubles up to [`BACKOFF_MAX`].
const BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause after the store failed.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// How long a router that lost power waits for others that may have too, with some room for
/// the difference between their starts that a cap allows for.
const GATHER: Duration = Duration::from_millis(600);

/// What ended processes on this VM have spent at most, by process and workspace.
#[derive(Debug, Default)]
pub(super) struct Ended(HashMap<u64, HashMap<WorkspaceName, Tokens>>);

impl Ended {
    /// What each of them has spent of one workspace.
    pub(super) fn of(&self, workspace: &WorkspaceName) -> HashMap<u64, Tokens> {
        let spent = |caps: &HashMap<WorkspaceName, Tokens>| caps.get(workspace).copied();
        let all = self.0.iter();
        all.map(|(process, caps)| (*process, spent(caps).unwrap_or(0)))
            .collect()
    }
}

/// The records of earlier processes, whose keys begin with `prefix`.
fn earlier(records: &[Record], prefix: &str) -> Vec<CapsRecord> {
    let mut earlier = Vec::new();
    for record in records {
        let (true, Some(value)) = (record.key.starts_with(prefix), &record.value) else {
            continue;
        };
        match CapsRecord::decode(value.clone()) {
            Ok(caps) => earlier.push(caps),
            // Without its caps it counts as having spent all that it held.
            Err(error) => event!(error, "cap.unreadable", key = record.key, error = error),
        }
    }
    earlier
}

fn stamp(caps: &CapsRecord) -> Reading {
    Reading {
        boot: Arc::from(caps.boot.as_str()),
        steady: caps.steady_ms,
        wall: caps.wall_ms,
    }
}

/// What a process has spent at most by `now`, a time after its end. `seen`: the longest time
/// since its record as others know.
fn spent_by(
    caps: &CapsRecord,
    now: &Reading,
    starts: &[u64],
    seen: Option<Duration>,
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
        fleet_started = cap::middle_start(&stamp, starts).is_some(),
        workspaces = caps.caps.len(),
    );
    let most = |record: &CapRecord| {
        let cap = Cap {
            base: record.base,
            rate: record.rate,
            cut: Duration::from_millis(record.cut_ms),
            step: record.step,
            cut_rate: record.cut_rate,
        };
        time.map_or(Tokens::MAX, |time| cap.after(time))
    };
    let caps = caps.caps.iter();
    caps.map(|cap| (WorkspaceName::from(cap.workspace.as_str()), most(cap)))
        .collect()
}

/// Stores caps until it is told to stop.
pub(super) struct Caps {
    feed: Feed,
    books: Arc<Books>,
    store: Arc<dyn Store>,
    witness: Arc<dyn Witness>,
    process: u64,
    vm: VmName,
    /// Number of the next record.
    sequence: u64,
    /// How long it lately took to store one, while the store answered.
    lag: Duration,
    /// When this process began, which is after its predecessors' end.
    began: Reading,
    ended: watch::Sender<Option<Arc<Ended>>>,
}

impl Caps {
    /// A task for `process` on `vm`.
    pub(super) fn new(
        books: &Arc<Books>,
        store: &Arc<dyn Store>,
        witness: Arc<dyn Witness>,
        vm: &VmName,
        process: u64,
    ) -> Self {
        let part = xxh3_64(vm.as_str().as_bytes()) % u64::from(books.feed_parts());
        Self {
            feed: Feed::Caps(part as u32),
            books: Arc::clone(books),
            store: Arc::clone(store),
            witness,
            process,
            vm: vm.clone(),
            sequence: 1,
            lag: Duration::ZERO,
            began: books.clock().read(),
            ended: watch::Sender::new(None),
        }
    }

    /// Tells what predecessors have spent, once it is known.
    pub(super) fn ended(&self) -> watch::Receiver<Option<Arc<Ended>>> {
        self.ended.subscribe()
    }

    /// Runs until `stop`.
    pub(super) async fn run(mut self, wanted: Arc<Notify>, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.follow(&wanted)).await;
    }

    async fn follow(&mut self, wanted: &Notify) {
        self.open().await;
        loop {
            let mut books = self.books.all();
            books.retain(|book| !book.leave_cap());
            if !books.is_empty() {
                self.store_caps(&books).await;
            }
            sleep(PAUSE_MIN).await;
            tokio::select! {
                () = wanted.notified() => {}
                () = sleep(PERIOD) => {}
            }
        }
    }

    /// Writes a first record without caps, and reads those of predecessors.
    async fn open(&mut self) {
        let mut backoff = BACKOFF;
        let first = self.stamped(Vec::new(), &self.books.clock().read());
        loop {
            match self.try_open(&first).await {
                Ok(ended) => {
                    self.sequence += 1;
                    self.ended.send_replace(Some(Arc::new(ended)));
                    return;
                }
                Err(error) => {
                    let is_away = !matches!(error, StoreError::Conflict { .. });
                    for book in self.books.all() {
                        book.set_away(is_away);
                    }
                    event!(info, "cap.not_opened", feed = self.feed, error = error);
                }
            }
            sleep(backoff.mul_f64(rand::random())).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Predecessors ended before `first` is appended, so a page that reaches to its end has
    /// all that was acknowledged to them. Nothing depends on what other VMs write to the
    /// feed meanwhile: with an append on the condition that nobody did, a start among five
    /// busy routers took up to 11 seconds, in which callers got no rights.
    async fn try_open(&self, first: &(String, Bytes)) -> Result<Ended, StoreError> {
        let append = self
            .store
            .append_next(self.feed, &first.0, self.sequence, first.clone());
        let end = append.await?;
        let page = self.store.newest(self.feed, ANSWER_TIMEOUT.into()).await?;
        if page.end < end {
            return Err(StoreError::Conflict { end: page.end });
        }
        let mut earlier = earlier(&page.records, &prefix(&self.vm));
        earlier.retain(|caps| caps.process != self.process);
        let starts = self.starts(&earlier).await?;
        // All at once: a VM may have had many processes, and each question has its time.
        let seen = join_all(earlier.iter().map(|caps| self.seen(caps))).await;
        let known = earlier.iter().zip(seen);
        let ended = known.map(|(caps, seen)| {
            let spent = spent_by(caps, &self.began, &starts, seen);
            (caps.process, spent)
        });
        Ok(Ended(ended.collect()))
    }

    /// The longest time from a predecessor's record to the start of this process, as far as
    /// others know. They aren't asked where this VM's own clock tells.
    async fn seen(&self, caps: &CapsRecord) -> Option<Duration> {
        if cap::is_same_boot(&stamp(caps), &self.began) {
            return None;
        }
        let asked = self.books.clock().steady();
        let since = self.witness.since(caps.process, caps.steady_ms).await?;
        // What went by between the start and the question isn't part of it.
        let after = asked.saturating_sub(self.began.steady);
        Some(since.saturating_sub(Duration::from_millis(after)))
    }

    /// When the routers on other VMs started last. After a loss of power, it waits a while
    /// for those who may be starting too.
    async fn starts(&self, earlier: &[CapsRecord]) -> Result<Vec<u64>, StoreError> {
        let unsure = |caps: &&CapsRecord| !cap::is_same_boot(&stamp(caps), &self.began);
        let Some(newest) = earlier
            .iter()
            .filter(unsure)
            .max_by_key(|caps| caps.wall_ms)
        else {
            return Ok(Vec::new());
        };
        let newest = stamp(newest);
        let until = Instant::now() + GATHER;
        loop {
            let mut starts = Vec::new();
            for part in self.books.member_parts() {
                let page = self
                    .store
                    .newest(Feed::Members(part), ANSWER_TIMEOUT.into());
                starts.extend(peers::start_times(&page.await?.records, &self.vm));
            }
            if cap::middle_start(&newest, &starts).is_some() || Instant::now() >= until {
                return Ok(starts);
            }
            sleep(GATHER / 6).await;
        }
    }

    /// Stores a new cap for each book. It is tried until it succeeds: in a cut it is this
    /// record that grows.
    async fn store_caps(&mut self, books: &[Arc<Book>]) {
        let stamp = self.books.clock().read();
        let mut caps = Vec::with_capacity(books.len());
        for book in books {
            let cap = book.make_cap(stamp.steady, self.lag);
            caps.push(CapRecord {
                workspace: book.workspace.to_string(),
                base: cap.base,
                rate: cap.rate,
                cut_ms: cap.cut.as_millis() as u64,
                step: cap.step,
                cut_rate: cap.cut_rate,
            });
        }
        let record = self.stamped(caps, &stamp);
        let mut backoff = BACKOFF;
        let mut away = false;
        let sent = Instant::now();
        loop {
            let stored =
                self.store
                    .append_next(self.feed, &record.0, self.sequence, record.clone());
            match stored.await {
                Ok(_end) => break,
                Err(error) if !away => {
                    event!(warn, "cap.not_stored", feed = self.feed, error = error);
                    away = true;
                }
                Err(_) => {}
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        self.sequence += 1;
        if !away {
            self.lag = (self.lag + sent.elapsed()) / 2;
        }
        for book in books {
            book.cap_stored();
        }
    }

    fn stamped(&self, caps: Vec<CapRecord>, stamp: &Reading) -> (String, Bytes) {
        let record = CapsRecord {
            process: self.process,
            boot: stamp.boot.to_string(),
            steady_ms: stamp.steady,
            wall_ms: stamp.wall,
            caps,
        };
        let key = format!("{}{:016x}", prefix(&self.vm), self.process);
        (key, Bytes::from(record.encode_to_vec()))
    }
}

/// Start of the keys of all processes on a VM.
fn prefix(vm: &VmName) -> String {
    format!("{vm}/")
}
