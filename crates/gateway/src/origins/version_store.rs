//! Writes the versions of the pools' servers to the store, and reads those that were recorded.
//!
//! A few routers write the record of each pool when its versions change; the others do nothing. A
//! router reads the records only when a caller resumes a stream that may have begun before this
//! router, and those that it asked, observed the list of servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VersionName};
use swiftlink_wire::rights::PoolVersions;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use super::{ListedVersions, Origins, Recorders, VersionHistory, VersionRecord};
use crate::clock::{Clock, steady_millis};
use crate::store::{ANSWER_TIMEOUT, Feed, Record, Store, StoreError};

/// Number of routers that write the record of a pool: the later ones in place of those that are
/// lost.
pub const WRITERS: usize = 3;
/// Delay for each place in the order of the writers.
const TURN_DELAY: Duration = Duration::from_secs(1);
/// Time between two tries to write, and between two checks for the place in the order.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How long after a change a router that isn't a writer checks whether it has become one.
const PENDING_TIME: Duration = Duration::from_secs(60);
/// How long a caller waits for the records. The store answers in 4 ms; on slow days it takes 60
/// times as long.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// The records at one moment.
#[derive(Debug)]
struct Snapshot {
    /// When they were requested, on the monotonic clock in milliseconds.
    asked: u64,
    /// Position after the newest record.
    end: u64,
    pools: HashMap<PoolName, VersionRecord>,
}

/// The versions of pools that are recorded on the store.
#[derive(Debug)]
pub struct VersionRecords {
    latest: watch::Sender<Option<Arc<Snapshot>>>,
    /// Notified when a caller needs the records.
    wanted: Notify,
    clock: Arc<dyn Clock>,
}

impl VersionRecords {
    /// Knows no records until [`run`] reads some.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            latest: watch::Sender::new(None),
            wanted: Notify::new(),
            clock,
        }
    }

    /// The versions of a pool that may have been listed within the last `time`, from records that
    /// were read after `since`, a time of the monotonic clock in milliseconds. `None` if the store
    /// has no record of the pool or doesn't answer.
    pub async fn within(
        &self,
        pool: &PoolName,
        since: u64,
        time: Duration,
    ) -> Option<Vec<VersionName>> {
        let mut latest = self.latest.subscribe();
        let is_recent = |known: &Option<Arc<Snapshot>>| {
            known.as_ref().is_some_and(|known| known.asked >= since)
        };
        let is_known = is_recent(&latest.borrow());
        if !is_known {
            self.wanted.notify_one();
        }
        let known = timeout(READ_TIMEOUT, latest.wait_for(is_recent)).await;
        let known = known.ok()?.ok()?.clone()?;
        let record = known.pools.get(pool)?;
        Some(record.within(time, self.clock.read().wall))
    }

    /// Reads the records. Waits up to `time` for the store.
    async fn read(&self, store: &dyn Store, time: Duration) -> Result<Arc<Snapshot>, StoreError> {
        let asked = steady_millis();
        let page = within(time, store.newest(Feed::Versions, time.into())).await?;
        let snapshot = Arc::new(Snapshot {
            asked,
            end: page.end,
            pools: decode(&page.records),
        });
        self.latest.send_replace(Some(Arc::clone(&snapshot)));
        Ok(snapshot)
    }
}

/// The outcome of a call of the store, which is unknown after `time`.
async fn within<T>(
    time: Duration,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    let outcome = timeout(time, call).await;
    outcome
        .unwrap_or_else(|_elapsed| Err(StoreError::Unknown(format!("no answer within {time:?}"))))
}

/// Decodes records. A pool whose record is unreadable counts as one without a record.
fn decode(records: &[Record]) -> HashMap<PoolName, VersionRecord> {
    let mut pools = HashMap::new();
    for record in records {
        let Some(value) = &record.value else {
            continue;
        };
        match PoolVersions::decode(value.clone()) {
            Ok(message) => {
                let pool = PoolName::from(record.key.as_str());
                pools.insert(pool, VersionRecord::decode(&message));
            }
            Err(error) => {
                event!(
                    error,
                    "versions.unreadable",
                    pool = record.key,
                    error = error
                );
            }
        }
    }
    pools
}

/// Reads records for callers, and writes those of the pools whose versions change, until the task is
/// aborted.
pub async fn run(
    records: Arc<VersionRecords>,
    origins: Arc<Origins>,
    recorders: Arc<dyn Recorders>,
    store: Arc<dyn Store>,
) {
    let reads = async {
        loop {
            records.wanted.notified().await;
            if let Err(error) = records.read(&*store, READ_TIMEOUT).await {
                event!(warn, "versions.not_read", error = error);
            }
        }
    };
    tokio::join!(
        reads,
        run_writer(&records, origins.versions(), &*recorders, &*store)
    );
}

async fn run_writer(
    records: &VersionRecords,
    listed: &ListedVersions,
    recorders: &dyn Recorders,
    store: &dyn Store,
) {
    let mut era = store.era();
    let mut writer = Writer::default();
    loop {
        let has_pending = !writer.pending.is_empty();
        tokio::select! {
            () = listed.changed() => writer.note_changes(listed),
            // A store that went back to a copy may lack records.
            Ok(()) = era.changed() => writer.note_all(listed),
            () = sleep(RETRY_INTERVAL), if has_pending => {}
        }
        let due = writer.due(recorders);
        if due.is_empty() {
            continue;
        }
        match write(records, listed, store, &due).await {
            Ok(()) => writer.pending.retain(|pool, _| !due.contains(pool)),
            // Another writer was first.
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => event!(warn, "versions.not_written", error = error),
        }
    }
}

/// The pools whose records may have to be written.
#[derive(Debug, Default)]
struct Writer {
    /// What was known of each pool when it was last looked at.
    seen: HashMap<PoolName, VersionHistory>,
    /// When the versions of a pool changed.
    pending: HashMap<PoolName, Instant>,
}

impl Writer {
    fn note_changes(&mut self, listed: &ListedVersions) {
        for pool in listed.pools() {
            let history = listed.of(&pool);
            if is_recent(self.seen.get(&pool), &history) {
                continue;
            }
            self.seen.insert(pool.clone(), history);
            self.pending.insert(pool, Instant::now());
        }
    }

    fn note_all(&mut self, listed: &ListedVersions) {
        self.seen.clear();
        self.note_changes(listed);
    }

    /// The pools whose records are to be written by this router now.
    fn due(&mut self, recorders: &dyn Recorders) -> Vec<PoolName> {
        let mut due = Vec::new();
        self.pending.retain(|pool, since| {
            let Some(place) = recorders.writer_place(pool) else {
                return true;
            };
            if place >= WRITERS {
                return since.elapsed() < PENDING_TIME;
            }
            if since.elapsed() >= TURN_DELAY * place as u32 {
                due.push(pool.clone());
            }
            true
        });
        due
    }
}

/// Whether `seen` has all that `history` says. A version may come and go between two looks.
fn is_recent(seen: Option<&VersionHistory>, history: &VersionHistory) -> bool {
    let Some(seen) = seen else {
        return false;
    };
    let mut earlier = history.earlier().iter();
    seen.listed() == history.listed()
        && earlier.all(|(version, last)| seen.earlier().get(version) == Some(last))
}

/// Writes the records of `pools` that don't say what this router has observed.
async fn write(
    records: &VersionRecords,
    listed: &ListedVersions,
    store: &dyn Store,
    pools: &[PoolName],
) -> Result<(), StoreError> {
    let snapshot = records.read(store, ANSWER_TIMEOUT).await?;
    let now = records.clock.read();
    let mut changed = Vec::new();
    for pool in pools {
        let mut record = snapshot.pools.get(pool).cloned().unwrap_or_default();
        if record.update(&listed.of(pool), &now) {
            changed.push((pool, record));
        }
    }
    if changed.is_empty() {
        return Ok(());
    }
    let encode = |(pool, record): &(&PoolName, VersionRecord)| {
        let value = Bytes::from(record.encode().encode_to_vec());
        (pool.to_string(), value)
    };
    let values: Vec<_> = changed.iter().map(encode).collect();
    let append = store.append_at(Feed::Versions, snapshot.end, &values);
    within(ANSWER_TIMEOUT, append).await?;
    for (pool, record) in changed {
        event!(info, "versions.recorded", pool = pool, versions = record);
    }
    Ok(())
}
