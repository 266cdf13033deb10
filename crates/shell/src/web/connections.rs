//! The open connections of a server, up to its limit.
//!
//! At the limit, connections on which a client has been served and sends nothing make room for new
//! ones, the longest idle first, and then those whose clients are behind with a request, the furthest
//! behind first. The latter also make room for other bodies when these fill the memory.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use super::limits::Limits;
use super::progress::Progress;

/// Fraction of the limit that is closed at once, so that not every new connection has to look for
/// another one.
const CLOSED_AT_ONCE: usize = 64;
/// Fraction of the limit that may wait at once until others have closed.
const WAITING_SHARE: usize = 8;
/// Number of connections that may wait at any limit.
const MIN_WAITING: usize = 16;
/// How long a new connection waits until others have closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which it closes further ones meanwhile.
const CLOSE_INTERVAL: Duration = Duration::from_millis(50);
/// Value of [`OpenConnection::idle_since`] for a connection that isn't idle.
const NOT_IDLE: u64 = u64::MAX;

/// The open connections of all workers.
pub(super) struct Connections {
    /// Largest number of open connections.
    limit: usize,
    /// See [`Limits::grace`], in milliseconds.
    grace: u64,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    /// One permit for each new connection that may wait for others to close.
    waiting: Semaphore,
    /// Connections that were closed since their clients were behind.
    stalled: AtomicU64,
    /// When the last of these was closed, in milliseconds since the start; changed under the lock.
    last_eviction: AtomicU64,
    open: Mutex<HashMap<usize, Arc<OpenConnection>>>,
    next_id: AtomicUsize,
    start: Instant,
}

/// What all workers know of an open connection.
#[derive(Debug)]
pub(super) struct OpenConnection {
    /// Milliseconds from the start of the server to the end of the last response; [`NOT_IDLE`] before
    /// the first response and while a request is in flight.
    idle_since: AtomicU64,
    /// How far the client is behind with the request that it sends.
    progress: Progress,
    /// Bytes of memory that the body which the client sends holds.
    body_bytes: AtomicUsize,
    /// Cancelled when the connection should close once it is idle.
    pub(super) closing: CancellationToken,
    /// Cancelled when the connection should close since its client is behind.
    pub(super) evicted: CancellationToken,
}

/// An entry in the list of open connections, which is removed on drop.
pub(super) struct Registration {
    pub(super) connection: Arc<OpenConnection>,
    id: usize,
    connections: Arc<Connections>,
    _permit: OwnedSemaphorePermit,
}

/// A connection on which the body of a request is received.
pub(super) struct Receiving<'a>(&'a Registration);

impl Connections {
    pub(super) fn new(limits: &Limits) -> Self {
        let limit = limits.connections.min(Semaphore::MAX_PERMITS);
        Self {
            limit,
            grace: limits.grace.as_millis() as u64,
            permits: Arc::new(Semaphore::new(limit)),
            waiting: Semaphore::new(max_waiting(limit)),
            stalled: AtomicU64::new(0),
            last_eviction: AtomicU64::new(0),
            open: Mutex::default(),
            next_id: AtomicUsize::new(0),
            start: Instant::now(),
        }
    }

    /// Adds a connection. At the limit others that are idle or behind are closed for it; `None` if there
    /// are none.
    pub(super) async fn register(self: &Arc<Self>) -> Option<Registration> {
        let permit = self.permit().await?;
        let connection = Arc::new(OpenConnection {
            idle_since: AtomicU64::new(NOT_IDLE),
            progress: Progress::begun(self.now()),
            body_bytes: AtomicUsize::new(0),
            closing: CancellationToken::new(),
            evicted: CancellationToken::new(),
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
        let _waiting = self.waiting.try_acquire().ok()?;
        tokio::time::timeout(CLOSE_TIMEOUT, self.permit_of_another())
            .await
            .ok()?
    }

    /// Closes other connections until one of them has made room; `None` if there are none.
    async fn permit_of_another(&self) -> Option<OwnedSemaphorePermit> {
        let permit = Arc::clone(&self.permits).acquire_owned();
        tokio::pin!(permit);
        // Others may wait for the connections that are closing.
        while self.close_some() {
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

    /// Closes the connections that have been idle longest, or without such those whose clients are
    /// furthest behind, unless some are closing already. Returns whether there are such connections.
    pub(super) fn close_some(&self) -> bool {
        let open = self.lock();
        // Read under the lock, so that it isn't before the last eviction.
        let now = self.now();
        if open.values().any(|other| other.is_closing()) {
            return true;
        }
        let mut idle: Vec<_> = open.values().filter(|other| other.is_idle()).collect();
        idle.sort_unstable_by_key(|other| other.idle_since.load(Relaxed));
        for connection in idle.iter().take(self.closed_at_once()) {
            connection.closing.cancel();
        }
        if !idle.is_empty() {
            return true;
        }
        let is_behind = |other: &&Arc<OpenConnection>| other.progress.is_behind(now, self.grace);
        let mut stalled: Vec<_> = open.values().filter(is_behind).collect();
        stalled.sort_unstable_by_key(|other| other.progress.order());
        for connection in stalled.iter().take(self.evictions_due(now)) {
            self.stalled.fetch_add(1, Relaxed);
            connection.evicted.cancel();
        }
        !stalled.is_empty()
    }

    /// Number of clients that are behind whose places others may have now. A crowd that comes back at
    /// once gets each place for the grace time on average, so that some place is always about to be
    /// free.
    fn evictions_due(&self, now: u64) -> usize {
        if self.grace == 0 {
            return self.closed_at_once();
        }
        let last = self.last_eviction.swap(now, Relaxed);
        let due = (now.saturating_sub(last) * self.limit as u64 / self.grace) as usize;
        if due == 0 {
            self.last_eviction.store(last, Relaxed);
        }
        due.min(self.closed_at_once())
    }

    /// As many as wait, and a fraction of the limit at least.
    fn closed_at_once(&self) -> usize {
        let waiting = max_waiting(self.limit) - self.waiting.available_permits();
        self.limit.div_ceil(CLOSED_AT_ONCE).max(waiting)
    }

    /// Connections that were closed since their clients were behind.
    pub(super) fn stalled(&self) -> u64 {
        self.stalled.load(Relaxed)
    }

    /// Whether another connection may be opened, in place of one that is idle or behind if need be.
    pub(super) fn has_room(&self) -> bool {
        let now = self.now();
        let may_close = |other: &Arc<OpenConnection>| {
            other.is_idle() || other.is_closing() || other.progress.is_behind(now, self.grace)
        };
        self.permits.available_permits() > 0 || self.lock().values().any(may_close)
    }

    /// Ends the bodies of clients that are behind, the furthest first, until they release `bytes` of
    /// memory. Returns whether any such body is ending.
    pub(super) fn evict_bodies(&self, bytes: usize, is_candidate: impl Fn(usize) -> bool) -> bool {
        let now = self.now();
        let open = self.lock();
        let mut stalled: Vec<_> = open
            .values()
            .filter(|other| {
                is_candidate(other.body_bytes()) && other.progress.is_behind(now, self.grace)
            })
            .collect();
        stalled.sort_unstable_by_key(|other| other.progress.order());
        let mut released = 0;
        for connection in &stalled {
            if released >= bytes {
                break;
            }
            released += connection.body_bytes();
            connection.evicted.cancel();
        }
        !stalled.is_empty()
    }

    /// Completes when no connection is open.
    pub(super) async fn all_closed(&self) {
        let all = u32::try_from(self.limit).unwrap_or(u32::MAX);
        // Fails only if the semaphore is closed, which nothing does.
        let _result = self.permits.acquire_many(all).await;
    }

    /// Milliseconds since the start of the server.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<usize, Arc<OpenConnection>>> {
        // No panic can leave the map half changed.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of new connections that may wait until others have closed.
fn max_waiting(limit: usize) -> usize {
    limit.div_ceil(WAITING_SHARE).max(MIN_WAITING)
}

impl OpenConnection {
    fn is_idle(&self) -> bool {
        self.idle_since.load(Relaxed) != NOT_IDLE
    }

    /// Whether it is making room. One that was to be closed may be busy with a request since.
    fn is_closing(&self) -> bool {
        let is_evicted = self.evicted.is_cancelled() && self.progress.is_waiting();
        is_evicted || (self.is_idle() && self.closing.is_cancelled())
    }

    fn body_bytes(&self) -> usize {
        self.body_bytes.load(Relaxed)
    }
}

impl Registration {
    /// Marks the connection as busy with a request.
    pub(super) fn begin(&self) {
        self.connection.idle_since.store(NOT_IDLE, Relaxed);
        self.connection.progress.end();
    }

    /// Whether others get the place of this client.
    pub(super) fn is_evicted(&self) -> bool {
        self.connection.evicted.is_cancelled()
    }

    /// Marks the connection as receiving the body of its request, until the result is dropped.
    pub(super) fn receive(&self) -> Receiving<'_> {
        self.connection.progress.begin(self.connections.now());
        Receiving(self)
    }

    /// Marks the connection as idle from now on.
    pub(super) fn end(&self) {
        let now = self.connections.now();
        self.connection.idle_since.store(now, Relaxed);
    }
}

impl Receiving<'_> {
    /// The client has sent `bytes` more.
    pub(super) fn advance(&self, bytes: usize) {
        let now = self.0.connections.now();
        self.0.connection.progress.advance(now, bytes);
    }

    /// The body holds `bytes` of memory.
    pub(super) fn hold(&self, bytes: usize) {
        self.0.connection.body_bytes.store(bytes, Relaxed);
    }

    /// Ends the bodies of other clients that are behind; see [`Connections::evict_bodies`].
    pub(super) fn evict_others(&self, bytes: usize, is_candidate: impl Fn(usize) -> bool) -> bool {
        self.0.connections.evict_bodies(bytes, is_candidate)
    }

    /// Completes when others get the place of this client.
    pub(super) async fn evicted(&self) {
        self.0.connection.evicted.cancelled().await;
    }
}

impl Drop for Receiving<'_> {
    fn drop(&mut self) {
        self.hold(0);
        self.0.connection.progress.end();
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.id);
    }
}
