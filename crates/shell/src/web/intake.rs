//! What became of the connections that clients opened.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use super::connections::Connections;

/// Interval at which the accept loop shows that it runs.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time without a heartbeat after which the accept loop counts as stuck.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Counters of new connections, and whether there is a listener for them.
pub struct Intake {
    taken: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
    failed: AtomicU64,
    is_listening: AtomicBool,
    start: Instant,
    /// Milliseconds from `start` to the last turn of the accept loop.
    heartbeat: AtomicU64,
    connections: Arc<Connections>,
}

/// Numbers of new connections since the start of the server, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IntakeCounts {
    /// Served.
    pub taken: u64,
    /// Answered with 503 at the limit of open connections, the request unread.
    pub refused: u64,
    /// Closed without a response at that limit.
    pub closed: u64,
    /// Errors of `accept`, such as a lack of file descriptors. The connection waits in the queue.
    pub failed: u64,
    /// Closed for others since their clients were behind with a request. They had been taken.
    pub stalled: u64,
}

impl IntakeCounts {
    /// The connections since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            taken: self.taken - earlier.taken,
            refused: self.refused - earlier.refused,
            closed: self.closed - earlier.closed,
            failed: self.failed - earlier.failed,
            stalled: self.stalled - earlier.stalled,
        }
    }

    /// Number of connections that weren't taken.
    #[must_use]
    pub fn rejected(&self) -> u64 {
        self.refused + self.closed + self.failed
    }
}

impl Intake {
    pub(super) fn listening(connections: Arc<Connections>) -> Self {
        Self {
            taken: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            closed: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            is_listening: AtomicBool::new(true),
            start: Instant::now(),
            heartbeat: AtomicU64::new(0),
            connections,
        }
    }

    /// Numbers of new connections since the start.
    #[must_use]
    pub fn counts(&self) -> IntakeCounts {
        IntakeCounts {
            taken: self.taken.load(Relaxed),
            refused: self.refused.load(Relaxed),
            closed: self.closed.load(Relaxed),
            failed: self.failed.load(Relaxed),
            stalled: self.connections.stalled(),
        }
    }

    /// Whether the port is open.
    #[must_use]
    pub fn is_listening(&self) -> bool {
        self.is_listening.load(Relaxed)
    }

    /// Whether the port is open and the accept loop runs.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        let last = Duration::from_millis(self.heartbeat.load(Relaxed));
        self.is_listening() && self.start.elapsed().saturating_sub(last) < MAX_SILENCE
    }

    /// Whether another connection may be opened, in place of one that is idle or behind if need be.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.connections.has_room()
    }

    pub(super) fn beat(&self) {
        let now = self.start.elapsed().as_millis() as u64;
        self.heartbeat.store(now, Relaxed);
    }

    pub(super) fn count_taken(&self) {
        self.taken.fetch_add(1, Relaxed);
    }

    pub(super) fn count_refused(&self) {
        self.refused.fetch_add(1, Relaxed);
    }

    pub(super) fn count_closed(&self) {
        self.closed.fetch_add(1, Relaxed);
    }

    pub(super) fn count_failed(&self) {
        self.failed.fetch_add(1, Relaxed);
    }

    pub(super) fn set_listening(&self, is_listening: bool) {
        self.is_listening.store(is_listening, Relaxed);
    }
}

impl fmt::Debug for Intake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Intake")
            .field("counts", &self.counts())
            .field("is_listening", &self.is_listening())
            .finish_non_exhaustive()
    }
}
