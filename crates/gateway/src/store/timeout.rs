//! How long an answer of the store is awaited.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes after which an answer counts as going on: about a packet. One of which a byte comes now and
/// then doesn't end in any useful time.
pub const MIN_PROGRESS: usize = 1_024;

/// How long to wait for an answer, and how far it has come.
#[derive(Clone, Debug)]
pub struct ResponseTimeout {
    /// Time within which the answer has to begin, beyond the wait that was asked for.
    pub time: Duration,
    /// Time within which each [`MIN_PROGRESS`] bytes of it have to follow; `None` if the caller
    /// watches its progress.
    pub stall: Option<Duration>,
    /// Whether the request is sent on a new connection: the open ones may be silent.
    pub uses_new_connection: bool,
    /// Shared by all clones.
    progress: Arc<Progress>,
}

/// How far an answer has come.
#[derive(Debug, Default)]
struct Progress {
    state: Mutex<ProgressState>,
    /// Notified when the answer begins.
    begun: Notify,
}

#[derive(Debug, Default)]
struct ProgressState {
    /// When the answer began, or last went on.
    at: Option<Instant>,
    /// Bytes since then.
    bytes: usize,
}

impl ResponseTimeout {
    /// A timeout for an answer whose progress the caller watches.
    #[must_use]
    pub fn watched(time: Duration) -> Self {
        Self {
            stall: None,
            ..Self::from(time)
        }
    }

    /// Has the request sent on a new connection.
    #[must_use]
    pub fn on_new_connection(mut self) -> Self {
        self.uses_new_connection = true;
        self
    }

    /// Extends the time by `wait`.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Self {
        self.time += wait;
        self
    }

    /// Marks the answer as begun.
    pub fn begin(&self) {
        let mut state = self.lock();
        state.at = Some(Instant::now());
        state.bytes = 0;
        drop(state);
        self.progress.begun.notify_one();
    }

    /// Counts bytes of the answer that have arrived.
    pub fn receive(&self, bytes: usize) {
        let mut state = self.lock();
        state.bytes += bytes;
        if state.bytes >= MIN_PROGRESS {
            state.at = Some(Instant::now());
            state.bytes = 0;
        }
    }

    /// When the answer began or last went on; `None` if it hasn't begun.
    #[must_use]
    pub fn progressed_at(&self) -> Option<Instant> {
        self.lock().at
    }

    /// Resolves when the answer begins.
    pub(crate) async fn begun(&self) {
        self.progress.begun.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, ProgressState> {
        // The state is consistent between any two calls.
        let state = self.progress.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

impl From<Duration> for ResponseTimeout {
    fn from(time: Duration) -> Self {
        Self {
            time,
            stall: Some(time),
            uses_new_connection: false,
            progress: Arc::default(),
        }
    }
}
