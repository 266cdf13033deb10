//! Tells holders what was spent of the tokens that they reserved for this router.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName};
use swiftlink_wire::link::{Ended, Release, reply, request};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::reserver::PeerClient;

/// How long a holder may take to answer a release before its link is reconnected.
pub(super) const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between releases to the same holder, so that several are sent in one message.
const RELEASE_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of releases that are kept for an unreachable holder: some minutes of a busy
/// router's requests. The oldest are dropped first, and the holder counts them as spent.
const MAX_PENDING_RELEASES: usize = 10_000;

/// Releases that are still to be sent. They are sent until the holder confirms them.
#[derive(Debug)]
pub(super) struct Releases {
    peers: Arc<dyn PeerClient>,
    process: u64,
    pending: Mutex<HashMap<VmName, Vec<Ended>>>,
    /// Wakes the task that sends releases.
    waker: Notify,
}

impl Releases {
    /// Releases of reservations of `process`.
    pub(super) fn new(peers: Arc<dyn PeerClient>, process: u64) -> Self {
        Self {
            peers,
            process,
            pending: Mutex::default(),
            waker: Notify::new(),
        }
    }

    /// Sends releases to holders until the task is aborted.
    pub(super) async fn run(self: Arc<Self>) {
        let mut calls = JoinSet::new();
        loop {
            tokio::select! {
                () = self.waker.notified() => {}
                // Failed releases are pending again.
                Some(_) = calls.join_next() => {}
            }
            sleep(RELEASE_PAUSE).await;
            let ended = std::mem::take(&mut *self.lock());
            for (vm, ended) in ended {
                calls.spawn(Arc::clone(&self).release(vm, ended));
            }
        }
    }

    /// Sends all pending releases at once, each within `time`.
    pub(super) async fn flush(self: &Arc<Self>, time: Duration) {
        let ended = std::mem::take(&mut *self.lock());
        let mut calls = JoinSet::new();
        for (vm, ended) in ended {
            let releases = Arc::clone(self);
            calls.spawn(async move { releases.try_release(&vm, ended, time).await });
        }
        while calls.join_next().await.is_some() {}
    }

    /// Sends releases to a holder, and keeps them for the next attempt if that fails.
    async fn release(self: Arc<Self>, vm: VmName, ended: Vec<Ended>) {
        if self.try_release(&vm, ended.clone(), RELEASE_TIMEOUT).await {
            return;
        }
        sleep(RELEASE_TIMEOUT).await;
        let mut pending = self.lock();
        let kept = pending.entry(vm.clone()).or_default();
        kept.splice(..0, ended);
        let excess = kept.len().saturating_sub(MAX_PENDING_RELEASES);
        kept.drain(..excess);
        if excess > 0 {
            event!(warn, "quota.release_dropped", peer = vm, count = excess);
        }
    }

    /// Sends releases to a holder once; returns whether it confirmed them.
    async fn try_release(&self, vm: &VmName, ended: Vec<Ended>, time: Duration) -> bool {
        let count = ended.len();
        let kind = request::Kind::Release(Release {
            process: self.process,
            ended,
        });
        let error = match self.peers.call(vm, kind, time).await {
            Ok(reply::Kind::Released(_)) => return true,
            Ok(_) => "unexpected reply".to_owned(),
            Err(error) => error.to_string(),
        };
        event!(
            debug,
            "quota.not_released",
            peer = vm,
            count = count,
            reason = error,
        );
        false
    }

    fn push(&self, vm: &VmName, ended: Ended) {
        let mut pending = self.lock();
        pending.entry(vm.clone()).or_default().push(ended);
        drop(pending);
        self.waker.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<VmName, Vec<Ended>>> {
        // No panic can leave the map half changed.
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tokens that another router may have reserved for this one. The other router gets a release
/// when the request ends, or when this is dropped before the answer is known.
#[derive(Debug)]
pub(super) struct RemoteReservation {
    releases: Arc<Releases>,
    vm: VmName,
    number: u64,
    is_open: bool,
}

impl RemoteReservation {
    /// The reservation `number` at the router on `vm`.
    pub(super) fn new(releases: Arc<Releases>, vm: VmName, number: u64) -> Self {
        Self {
            releases,
            vm,
            number,
            is_open: true,
        }
    }

    /// The VM of the router that reserves the tokens.
    pub(super) fn vm(&self) -> &VmName {
        &self.vm
    }

    /// This process's number for the reservation.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Ends the reservation, of which `spent` tokens were spent.
    pub(super) fn end(&mut self, spent: Tokens) {
        if !std::mem::take(&mut self.is_open) {
            return;
        }
        let ended = Ended {
            number: self.number,
            spent,
            held: None,
        };
        self.releases.push(&self.vm, ended);
    }

    /// Reports that `spent` tokens were spent and `held` stay reserved. All others are free.
    pub(super) fn report(&self, spent: Tokens, held: Tokens) {
        let ended = Ended {
            number: self.number,
            spent,
            held: Some(held),
        };
        self.releases.push(&self.vm, ended);
    }

    /// Drops it without a release, since nothing was reserved.
    pub(super) fn forget(&mut self) {
        self.is_open = false;
    }
}

impl Drop for RemoteReservation {
    fn drop(&mut self) {
        self.end(0);
    }
}
