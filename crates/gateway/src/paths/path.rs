//! What this router knows of its path to one server instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::check::{Destination, SUSPECT_AFTER, Suspects};
use crate::clock::steady_millis;

/// Which connections to a server may carry requests. Connections are numbered by the generation of
/// the path in which they were opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathState {
    /// Changes with each change of the path.
    pub generation: u64,
    /// Whether new connections go through other routers.
    pub is_relayed: bool,
    /// Connections of earlier generations hang: nothing comes back on them.
    hung_before: u64,
}

impl PathState {
    /// Whether an idle connection of this generation may carry a request. A tunnel may while the
    /// direct path is cut.
    #[must_use]
    pub fn may_reuse(self, generation: u64, is_tunnel: bool) -> bool {
        !self.hangs(generation) && (!is_tunnel || self.is_relayed)
    }

    /// Whether a connection of this generation hangs.
    #[must_use]
    pub fn hangs(self, generation: u64) -> bool {
        generation < self.hung_before
    }

    /// The direct path doesn't take new connections, and another router reaches the server. Open
    /// connections may live on.
    #[must_use]
    pub fn cut(self) -> Self {
        if self.is_relayed {
            return self;
        }
        Self {
            generation: self.generation + 1,
            is_relayed: true,
            ..self
        }
    }

    /// Nothing answers on the path that is cut: the connections from before the cut hang.
    #[must_use]
    pub fn silent(self) -> Self {
        if !self.is_relayed {
            return self;
        }
        Self {
            hung_before: self.generation,
            ..self
        }
    }

    /// The direct path takes connections again. Tunnels complete their requests and carry no
    /// others.
    #[must_use]
    pub fn restored(self) -> Self {
        if !self.is_relayed {
            return self;
        }
        Self {
            generation: self.generation + 1,
            is_relayed: false,
            ..self
        }
    }
}

/// This router's path to a server instance.
#[derive(Debug, Default)]
pub struct ServerPath {
    state: ArcSwap<PathState>,
    changed: Notify,
    /// When the server was last heard from on a direct connection, in milliseconds of the VM's
    /// monotonic clock.
    heard_at: AtomicU64,
    /// When the path may be checked again, by the same clock.
    check_at: AtomicU64,
    /// Time between the last check and the next one.
    check_interval: AtomicU64,
    /// When the last check began, by the same clock.
    checked_at: AtomicU64,
    /// Whether a check is queued or runs.
    is_checking: AtomicBool,
}

/// Minimum time between two checks of a path (ms). It doubles while checks find nothing.
const MIN_CHECK_INTERVAL: u64 = 1_000;
/// Maximum time between two checks of a path that find nothing (ms).
const MAX_CHECK_INTERVAL: u64 = 16_000;

impl ServerPath {
    /// The state now.
    #[must_use]
    pub fn state(&self) -> PathState {
        **self.state.load()
    }

    /// Changes the state. Returns whether that made a difference.
    pub fn update(&self, change: impl Fn(PathState) -> PathState) -> bool {
        let before = self.state.rcu(|state| change(**state));
        let has_changed = change(*before) != *before;
        if has_changed {
            self.check_interval.store(0, SeqCst);
            self.changed.notify_waiters();
        }
        has_changed
    }

    /// Records that the server was heard from on a direct connection.
    pub fn on_heard(&self) {
        self.heard_at.store(steady_millis(), SeqCst);
    }

    /// When the server was last heard from on a direct connection, in milliseconds of the VM's
    /// monotonic clock.
    #[must_use]
    pub fn heard_at(&self) -> u64 {
        self.heard_at.load(SeqCst)
    }

    /// Whether the path is due for a check; takes the check if so.
    #[must_use]
    pub fn take_check(&self) -> bool {
        let now = steady_millis();
        let at = self.check_at.load(SeqCst);
        if now < at {
            return false;
        }
        let interval = self.check_interval.load(SeqCst) * 2;
        let interval = interval.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL);
        let taken = self
            .check_at
            .compare_exchange(at, now + interval, SeqCst, SeqCst);
        if taken.is_ok() {
            self.check_interval.store(interval, SeqCst);
        }
        taken.is_ok()
    }

    /// Queues a check, unless one is queued or runs. Returns whether it did.
    #[must_use]
    pub(super) fn queue_check(&self) -> bool {
        !self.is_checking.swap(true, SeqCst)
    }

    /// Begins a queued check. Returns when, in milliseconds of the VM's monotonic clock.
    pub(super) fn begin_check(&self) -> u64 {
        let now = steady_millis();
        self.checked_at.store(now, SeqCst);
        now
    }

    /// Ends a check.
    pub(super) fn end_check(&self) {
        self.is_checking.store(false, SeqCst);
    }

    /// When the last check began, in milliseconds of the VM's monotonic clock.
    pub(super) fn checked_at(&self) -> u64 {
        self.checked_at.load(SeqCst)
    }

    /// Resolves when connections of this generation are known to hang.
    pub async fn until_hung(&self, generation: u64) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registers before the state is read, so that no change is missed.
            changed.as_mut().enable();
            if self.state().hangs(generation) {
                return;
            }
            changed.await;
        }
    }
}

/// Watches the path of a request in flight.
#[derive(Clone, Debug)]
pub struct PathWatch {
    /// The server.
    pub server: Destination,
    /// Generation of the request's connection.
    pub generation: u64,
    /// Whether the connection goes through another router.
    pub is_relayed: bool,
    /// Servers whose paths are to be checked.
    pub suspects: Arc<Suspects>,
}

impl PathWatch {
    /// Records that the server was heard from on the request's connection.
    pub fn on_heard(&self) {
        if !self.is_relayed {
            self.server.path.on_heard();
        }
    }

    /// Resolves when the request's connection is known to hang. Asks for a check of the path
    /// whenever the server hasn't been heard from for some time.
    pub async fn until_hung(&self) {
        let path = &self.server.path;
        let hung = path.until_hung(self.generation);
        tokio::pin!(hung);
        let mut quiet_since = steady_millis();
        loop {
            tokio::select! {
                () = &mut hung => return,
                () = sleep(SUSPECT_AFTER) => {}
            }
            let now = steady_millis();
            quiet_since = quiet_since.max(path.heard_at());
            if now.saturating_sub(quiet_since) >= SUSPECT_AFTER.as_millis() as u64 {
                self.suspects.on_quiet(&self.server);
            }
        }
    }
}
