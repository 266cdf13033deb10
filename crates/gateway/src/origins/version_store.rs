//! Reads the versions of the pools' servers that are recorded on the store.
//!
//! A router reads the records only when a caller resumes a stream that may have begun before this
//! router, and those that it asked, observed the list of servers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, VersionName};
use swiftlink_wire::rights::PoolVersions;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use super::version_writer::Writer;
use super::{Origins, Recorders, ServerList, VersionRecord};
use crate::clock::{Clock, steady_millis};
use crate::store::{Feed, Record, Store, StoreError};

/// How long a caller waits for the records. The store answers in 4 ms; on slow days it takes 60
/// times as long.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// The records at one moment.
#[derive(Debug)]
pub(super) struct Snapshot {
    /// When they were requested, on the monotonic clock in milliseconds.
    asked: u64,
    /// Position after the newest record.
    pub(super) end: u64,
    pub(super) pools: HashMap<PoolName, VersionRecord>,
}

/// The versions of pools that are recorded on the store.
#[derive(Debug)]
pub struct VersionRecords {
    latest: watch::Sender<Option<Arc<Snapshot>>>,
    /// Notified when a caller needs the records.
    wanted: Notify,
    pub(super) clock: Arc<dyn Clock>,
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
        let now = steady_millis();
        // A record may have been written since it was missing.
        let is_recent = |known: &Option<Arc<Snapshot>>| {
            known.as_ref().is_some_and(|known| {
                let has_pool = known.pools.contains_key(pool);
                known.asked >= if has_pool { since } else { now }
            })
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
    pub(super) async fn read(
        &self,
        store: &dyn Store,
        time: Duration,
    ) -> Result<Arc<Snapshot>, StoreError> {
        let asked = steady_millis();
        let page = within(time, store.newest(Feed::Versions, time.into())).await?;
        let snapshot = Arc::new(Snapshot {
            asked,
            end: page.end,
            pools: decode(&page.records),
        });
        self.latest.send_if_modified(|latest| {
            let is_newer = latest.as_ref().is_none_or(|known| known.asked <= asked);
            if is_newer {
                *latest = Some(Arc::clone(&snapshot));
            }
            is_newer
        });
        Ok(snapshot)
    }
}

/// The outcome of a call of the store, which is unknown after `time`.
pub(super) async fn within<T>(
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

/// Reads records for callers, and has those of the pools written whose versions change, until the
/// task is aborted.
pub async fn run(
    records: Arc<VersionRecords>,
    origins: Arc<Origins>,
    recorders: Arc<dyn Recorders>,
    store: Arc<dyn Store>,
    list: Arc<dyn ServerList>,
) {
    let reads = async {
        loop {
            records.wanted.notified().await;
            if let Err(error) = records.read(&*store, READ_TIMEOUT).await {
                event!(warn, "versions.not_read", error = error);
            }
        }
    };
    let writer = Writer::new(&records, origins.versions(), &*recorders, &*store, &*list);
    tokio::join!(reads, writer.run());
}
