//! The open connections of a server, up to its limit.
//!
//! At the limit, connections on which a client has been served and sends nothing make room for new
//! ones, the longest idle first.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

/// Fraction of the limit that is closed at once, so that not every new connection has to look for
/// an idle one.
const CLOSED_AT_ONCE: usize = 64;
/// How long a new connection waits until idle ones have closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which it closes further ones meanwhile.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Value of [`OpenConnection::idle_since`] for a connection that isn't idle.
const NOT_IDLE: u64 = u64::MAX;

/// The open connections of all workers.
pub(super) struct Connections {
    /// Largest number of open connections.
    limit: usize,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    open: Mutex<HashMap<usize, Arc<OpenConnection>>>,
    next_id: AtomicUsize,
    start: Instant,
}

/// What all workers know of an open connection.
pub(super) struct OpenConnection {
    /// Milliseconds from the start of the server to the end of the last response; [`NOT_IDLE`] before
    /// the first response and while a request is in flight.
    idle_since: AtomicU64,
    /// Cancelled when the connection should close.
    pub(super) closing: CancellationToken,
}

/// An entry in the list of open connections, which is removed on drop.
pub(super) struct Registration {
    pub(super) connection: Arc<OpenConnection>,
    id: usize,
    connections: Arc<Connections>,
    _permit: OwnedSemaphorePermit,
}

impl Connections {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            permits: Arc::new(Semaphore::new(limit)),
            open: Mutex::default(),
            next_id: AtomicUsize::new(0),
            start: Instant::now(),
        }
    }

    /// Adds a connection. At the limit idle connections are closed for it; `None` if there are none.
    pub(super) async fn register(self: &Arc<Self>) -> Option<Registration> {
        let permit = self.permit().await?;
        let connection = Arc::new(OpenConnection {
            idle_since: AtomicU64::new(NOT_IDLE),
            closing: CancellationToken::new(),
        });
        let id = self.next_id.fetch_add(1, Relaxed);
        self.lock().insert(id, Arc::clone(&connection));
        Some(Registration {
            connection,
            id,
            connections: Arc::clone(self),
            _permit: permit,
        })
    }

    async fn permit(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() {
            return Some(permit);
        }
        tokio::time::timeout(CLOSE_TIMEOUT, self.permit_of_idle())
            .await
            .ok()?
    }

    /// Closes idle connections until one of them has made room; `None` if there are none.
    async fn permit_of_idle(&self) -> Option<OwnedSemaphorePermit> {
        let permit = Arc::clone(&self.permits).acquire_owned();
        tokio::pin!(permit);
        // Others may wait for the connections that are closing.
        while self.close_idle() {
            if let Ok(permit) = tokio::time::timeout(CLOSE_INTERVAL, &mut permit).await {
                return permit.ok();
            }
        }
        // The last of them may just have closed.
        tokio::time::timeout(Duration::ZERO, permit)
            .await
            .ok()?
            .ok()
    }

    /// Closes the connections that have been idle longest, unless some are closing already. Returns
    /// whether there are such connections.
    pub(super) fn close_idle(&self) -> bool {
        let open = self.lock();
        let (closing, mut idle): (Vec<_>, Vec<_>) = open
            .values()
            .filter(|other| other.is_idle())
            .partition(|other| other.closing.is_cancelled());
        if !closing.is_empty() {
            return true;
        }
        idle.sort_unstable_by_key(|other| other.idle_since.load(Relaxed));
        let count = self.limit.div_ceil(CLOSED_AT_ONCE);
        for connection in idle.iter().take(count) {
            connection.closing.cancel();
        }
        !idle.is_empty()
    }

    /// Whether another connection may be opened, in place of an idle one if need be.
    pub(super) fn has_room(&self) -> bool {
        self.permits.available_permits() > 0 || self.lock().values().any(|other| other.is_idle())
    }

    /// Completes when no connection is open.
    pub(super) async fn all_closed(&self) {
        let all = u32::try_from(self.limit).unwrap_or(u32::MAX);
        // Fails only if the semaphore is closed, which nothing does.
        let _result = self.permits.acquire_many(all).await;
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Arc<OpenConnection>>> {
        // No panic can leave the map half changed.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenConnection {
    fn is_idle(&self) -> bool {
        self.idle_since.load(Relaxed) != NOT_IDLE
    }
}

impl Registration {
    /// Marks the connection as busy with a request.
    pub(super) fn begin(&self) {
        self.connection.idle_since.store(NOT_IDLE, Relaxed);
    }

    /// Marks the connection as idle from now on.
    pub(super) fn end(&self) {
        let now = self.connections.now();
        self.connection.idle_since.store(now, Relaxed);
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}
