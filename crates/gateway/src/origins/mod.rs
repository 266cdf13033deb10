//! Which software version began a stream.
//!
//! What two versions of a server's software write doesn't fit together, so a stream may be resumed
//! only at the version that wrote its first event. Within a response the router knows it. When a
//! caller resumes a stream by a new request, any router must know it, also if the first one has
//! ended. While a pool has servers of several versions, each router sends the origins of its streams
//! to a few recorders that the stream's key determines (rendezvous hashing); the router that gets
//! the new request asks them. Nothing is sent while a pool has one version.
//!
//! A stream that nobody knows goes on only if one version can have begun it (`evidence`). Routers
//! that have observed the list of servers since before the stream began, up to the moment at which
//! its caller comes, know that; for the time before they all started, the store's records of the
//! pools' versions say it (`version_store`).

mod evidence;
mod exchange;
mod lookup;
mod table;
mod version_record;
mod version_store;
mod version_writer;
mod versions;

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_types::PoolName;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::clock::steady_millis;

pub use exchange::{RECORDERS, Recorders, copy_for, receive, run};
pub use lookup::{Found, Lookup, OriginError, ServerList, Source, answer, reply_to};
pub use table::{Knowledge, Origin, OriginTable, StreamKey};
pub use version_record::VersionRecord;
pub use version_store::{VersionRecords, run as run_records};
pub use version_writer::WRITERS;
pub use versions::{ListedVersions, VersionHistory};

/// Minimum time for which origins are kept, and for which a version counts as one that may have
/// begun a stream: callers resume a stream within the deadline of its first request.
pub const MIN_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum of that time.
pub const MAX_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum time for which a first event waits until a recorder has the origin of its stream. Within a
/// region that takes a millisecond or two.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(20);
/// Maximum number of own origins that weren't sent. The oldest ones are dropped.
const MAX_UNSENT: usize = 16_384;

/// The origins that this router knows, and those that it has to send.
#[derive(Debug, Default)]
pub struct Origins {
    table: Mutex<OriginTable>,
    /// Own origins that no recorder has.
    unsent: Mutex<VecDeque<Unsent>>,
    /// Notified when some are due.
    due: Notify,
    /// The versions of the servers of all pools.
    versions: ListedVersions,
}

/// An own origin that no recorder has.
#[derive(Debug)]
struct Unsent {
    key: StreamKey,
    origin: Origin,
    /// Completes once a recorder has it, for a stream that waits for that.
    recorded: Option<oneshot::Sender<()>>,
}

impl Origins {
    /// Records that a stream of this router began. Its origin is sent once its pool has servers of
    /// several versions.
    pub fn record(&self, key: StreamKey, origin: Origin) {
        self.add_unsent(key, origin, None);
    }

    /// Records that a stream of this router began, and has its origin sent. Waits for a short time
    /// until a recorder has it: the router may end right after the first event.
    pub async fn record_now(&self, key: StreamKey, origin: Origin) {
        let (sender, recorded) = oneshot::channel();
        self.add_unsent(key, origin, Some(sender));
        self.wake();
        let _missed = timeout(MAX_RECORD_WAIT, recorded).await;
    }

    fn add_unsent(&self, key: StreamKey, origin: Origin, recorded: Option<oneshot::Sender<()>>) {
        self.insert(key, origin.clone());
        let mut unsent = lock(&self.unsent);
        if unsent.len() >= MAX_UNSENT {
            unsent.pop_front();
        }
        unsent.push_back(Unsent {
            key,
            origin,
            recorded,
        });
    }

    /// Adds an origin that this router learned of.
    pub fn insert(&self, key: StreamKey, origin: Origin) {
        lock(&self.table).insert(key, origin, steady_millis());
    }

    /// What this router knows of a stream.
    #[must_use]
    pub fn get(&self, key: &StreamKey) -> Knowledge {
        lock(&self.table).get(key, steady_millis())
    }

    /// The versions of the servers of all pools.
    #[must_use]
    pub fn versions(&self) -> &ListedVersions {
        &self.versions
    }

    /// Number of streams that this router knows.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.table).len()
    }

    /// Whether it knows none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Has the unsent origins sent whose pools have several versions.
    pub(crate) fn wake(&self) {
        self.due.notify_one();
    }

    /// Takes the unsent origins of the pools that `is_due` names.
    fn take_unsent(&self, is_due: impl Fn(&PoolName) -> bool) -> Vec<Unsent> {
        let now = steady_millis();
        let mut unsent = lock(&self.unsent);
        unsent.retain(|unsent| unsent.origin.expires > now);
        let (due, rest): (Vec<_>, Vec<_>) = unsent
            .drain(..)
            .partition(|unsent| is_due(&unsent.origin.pool));
        unsent.extend(rest);
        due
    }
}

/// Time for which a stream may be resumed, from the longest time that its route and its caller allow.
#[must_use]
pub fn lifetime(timeout: Duration, deadline: Option<Duration>) -> Duration {
    let longest = timeout.max(deadline.unwrap_or_default());
    longest.clamp(MIN_LIFETIME, MAX_LIFETIME)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The guarded values are consistent between any two calls.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
