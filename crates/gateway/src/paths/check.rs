//! Checks paths in the background, so that callers' requests aren't what finds out.
//!
//! A path is checked when its server hasn't been heard from for some time while requests wait for
//! it. Once one path is cut, those to other servers are checked too, since a cut seldom affects one
//! server. While paths are cut, one at a time is probed; when one works again, all others are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::IteratorRandom;
use swiftlink_telemetry::event;
use swiftlink_types::ServerInstance;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::dial::{Dialer, connect};
use super::{PathState, ServerId, ServerPath};
use crate::clock::steady_millis;
use crate::fleet::Pools;
use crate::upstream::SendError;

/// How long a server that requests wait for may send nothing before its path is checked.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(400);
/// Maximum time for a connection; within a region it takes a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for a connection after another router has made one. On a busy VM it may take tens of
/// milliseconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Mean time between two probes while paths are cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum and maximum time between two checks of paths whose servers are quiet (ms). It doubles
/// with each check until a path is found to be cut.
const MIN_QUIET_INTERVAL: u64 = 1_000;
const MAX_QUIET_INTERVAL: u64 = 16_000;
/// Maximum number of checks at the same time.
const MAX_CHECKS: usize = 8;
/// Maximum number of paths that wait for a check.
const MAX_SUSPECTS: usize = 64;
/// When one path works again, those of the others are checked that weren't for this time.
const RECHECK_AFTER: Duration = Duration::from_secs(1);
/// Minimum time between two searches for other paths to check.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Servers that were heard from within this time are checked when a path to another one is cut.
const RECENT: Duration = Duration::from_secs(10);

/// A server, and the path to it.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The server, as other routers know it.
    pub id: ServerId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The path to it.
    pub path: Arc<ServerPath>,
}

/// The paths that are to be checked, and those that are cut.
#[derive(Debug, Default)]
pub struct Suspects {
    waiting: Mutex<HashMap<ServerInstance, Destination>>,
    cut: Mutex<HashMap<ServerInstance, Destination>>,
    /// Number of checks so far that found a path to be cut.
    cuts: AtomicU64,
    /// When a path may be checked because its server is quiet, in milliseconds of the VM's monotonic
    /// clock, and the interval of such checks.
    quiet_check_at: AtomicU64,
    quiet_interval: AtomicU64,
    added: Notify,
}

impl Suspects {
    /// Asks for a check of a path whose server is quiet. Most such servers are only slow, so the
    /// checks of this router become rarer while they find nothing.
    pub fn on_quiet(&self, suspect: &Destination) {
        let now = steady_millis();
        let at = self.quiet_check_at.load(Relaxed);
        if now < at {
            return;
        }
        let interval = self.quiet_interval.load(Relaxed) * 2;
        let interval = interval.clamp(MIN_QUIET_INTERVAL, MAX_QUIET_INTERVAL);
        let taken = self
            .quiet_check_at
            .compare_exchange(at, now + interval, Relaxed, Relaxed);
        if taken.is_ok() {
            self.quiet_interval.store(interval, Relaxed);
            self.on_failed(suspect);
        }
    }

    /// Asks for a check of a path on which a connection failed, unless it was checked recently.
    pub fn on_failed(&self, suspect: &Destination) {
        if self.waiting_len() < MAX_SUSPECTS && suspect.path.take_check() {
            self.queue(suspect);
        }
    }

    /// Number of paths that wait for a check.
    #[must_use]
    pub fn waiting_len(&self) -> usize {
        lock(&self.waiting).len()
    }

    /// Records that a path is cut, and has it checked at once.
    pub(super) fn on_cut(&self, suspect: &Destination) {
        let instance = suspect.id.instance.clone();
        lock(&self.cut).insert(instance, suspect.clone());
        self.queue(suspect);
    }

    /// Records that a check found a path to be cut: those to other servers may be cut too.
    fn on_confirmed(&self) {
        self.cuts.fetch_add(1, Relaxed);
        self.quiet_interval.store(0, Relaxed);
        self.added.notify_one();
    }

    /// Has a path checked at once.
    pub(super) fn queue(&self, suspect: &Destination) {
        if suspect.path.queue_check() {
            let instance = suspect.id.instance.clone();
            lock(&self.waiting).insert(instance, suspect.clone());
        }
        self.added.notify_one();
    }

    /// Number of paths that are cut.
    #[must_use]
    pub fn cut_len(&self) -> usize {
        lock(&self.cut).len()
    }

    fn take(&self) -> Vec<Destination> {
        lock(&self.waiting)
            .drain()
            .map(|(_, suspect)| suspect)
            .collect()
    }

    /// One of the cut paths at random. Paths to servers that are no longer listed are dropped.
    fn draw_cut(&self) -> Option<Destination> {
        let mut cut = lock(&self.cut);
        cut.retain(|_, suspect| Arc::strong_count(&suspect.path) > 2);
        cut.values().choose(&mut rand::rng()).cloned()
    }

    fn all_cut(&self) -> Vec<Destination> {
        lock(&self.cut).values().cloned().collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // The maps are consistent between any two calls.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks paths until the task is aborted.
pub(crate) async fn run(dialer: Arc<Dialer>, pools: Arc<Pools>) {
    let limit = Arc::new(Semaphore::new(MAX_CHECKS));
    let mut checks = JoinSet::new();
    let mut cuts = 0;
    let mut scanned_at = None;
    let suspects = Arc::clone(dialer.suspects());
    loop {
        let pause = PROBE_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
        let is_probe_due = tokio::select! {
            () = suspects.added.notified() => false,
            () = sleep(pause), if suspects.cut_len() > 0 => true,
            Some(_ended) = checks.join_next() => continue,
        };
        let known = suspects.cuts.load(Relaxed);
        let is_scan_due = scanned_at.is_none_or(|at: Instant| at.elapsed() >= SCAN_INTERVAL);
        if known != cuts && is_scan_due {
            cuts = known;
            scanned_at = Some(Instant::now());
            suspect_others(&suspects, &pools);
        }
        if is_probe_due && let Some(cut) = suspects.draw_cut() {
            suspects.queue(&cut);
        }
        for suspect in suspects.take() {
            let (dialer, pools) = (Arc::clone(&dialer), Arc::clone(&pools));
            let limit = Arc::clone(&limit);
            checks.spawn(async move {
                // The semaphore is never closed.
                let _permit = limit.acquire_owned().await;
                check(&dialer, &pools, &suspect).await;
                suspect.path.end_check();
            });
        }
    }
}

/// Asks for checks of the other servers that this router uses.
fn suspect_others(suspects: &Suspects, pools: &Pools) {
    let oldest = steady_millis().saturating_sub(RECENT.as_millis() as u64);
    for pool in pools.all() {
        for server in pool.destinations() {
            if server.path.heard_at() > oldest && !server.path.state().is_relayed {
                suspects.on_failed(&server);
            }
        }
    }
}

/// Connects to a server, and updates its path by what that shows.
async fn check(dialer: &Dialer, pools: &Pools, suspect: &Destination) {
    let path = &suspect.path;
    let start = path.begin_check();
    let end = Instant::now() + CONNECT_TIMEOUT;
    let connected = connect(suspect.address, end).await;
    let is_silent = match connected {
        Ok(_closed) => return restore(dialer, suspect),
        // A busy server may accept no connection in time while it responds on open ones.
        Err(SendError::Unreachable) => path.heard_at() < start,
        Err(_) => false,
    };
    if !path.state().is_relayed {
        let tunnel = dialer.helpers().open(&suspect.id, CONNECT_TIMEOUT).await;
        if tunnel.is_err() {
            // The server itself may be down.
            return;
        }
        // The server may have come back between the two connections.
        let end = Instant::now() + CONFIRM_TIMEOUT;
        if connect(suspect.address, end).await.is_ok() {
            return restore(dialer, suspect);
        }
        dialer.on_cut(suspect, if is_silent { "silent" } else { "refused" });
    }
    dialer.suspects().on_confirmed();
    if is_silent {
        path.update(PathState::silent);
    }
    pools.readmit(&suspect.id);
}

/// The direct path takes connections: it is used again, and all others that are cut are checked.
fn restore(dialer: &Dialer, suspect: &Destination) {
    let suspects = dialer.suspects();
    let was_cut = lock(&suspects.cut).remove(&suspect.id.instance).is_some();
    suspect.path.update(PathState::restored);
    if !was_cut {
        return;
    }
    let name = &suspect.id.instance.name;
    event!(info, "path.restored", pool = suspect.id.pool, server = name);
    let recent = steady_millis().saturating_sub(RECHECK_AFTER.as_millis() as u64);
    for other in suspects.all_cut() {
        if other.path.checked_at() <= recent {
            suspects.queue(&other);
        }
    }
}
