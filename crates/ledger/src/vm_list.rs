//! Polls the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftlink_fetch::Http;
use swiftlink_telemetry::event;
use tokio_util::sync::CancellationToken;

use crate::clock::lock;
use crate::vm_tracker::{VmList, VmTracker};

/// Interval between two reads.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a read of the VM list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A [`VmTracker`] that is shared between tasks.
#[derive(Debug)]
pub struct SharedVmTracker(Mutex<VmTracker>);

impl SharedVmTracker {
    /// Creates a tracker for which a VM is gone after `reads` successive reads without it.
    #[must_use]
    pub fn new(reads: u32) -> Arc<Self> {
        Arc::new(Self(Mutex::new(VmTracker::new(reads))))
    }

    /// Records one read of the list; returns whether it was accepted.
    pub fn observe(&self, list: &VmList) -> bool {
        lock(&self.0).observe(list)
    }

    /// Whether `vm` was listed before and is gone now.
    #[must_use]
    pub fn is_gone(&self, vm: &str) -> bool {
        lock(&self.0).is_gone(vm)
    }

    /// Whether `vm` is absent from the newest reads, whether or not it was listed before.
    #[must_use]
    pub fn is_absent(&self, vm: &str) -> bool {
        lock(&self.0).is_absent(vm)
    }

    /// Whether any VM is gone.
    #[must_use]
    pub fn has_gone(&self) -> bool {
        lock(&self.0).gone().next().is_some()
    }

    /// Newest version of the list, and the sorted names of the VMs that are gone.
    #[must_use]
    pub fn summary(&self) -> (u64, Vec<String>) {
        let tracker = lock(&self.0);
        let mut gone: Vec<String> = tracker.gone().map(str::to_owned).collect();
        gone.sort();
        (tracker.version(), gone)
    }
}

/// Task that polls the VM list.
#[derive(Debug)]
pub struct Poller {
    address: SocketAddr,
    http: Http,
    vms: Arc<SharedVmTracker>,
}

impl Poller {
    /// Creates a task that polls the list at `address`, with `agent` as the user agent.
    #[must_use]
    pub fn new(address: SocketAddr, agent: Arc<str>, vms: Arc<SharedVmTracker>) -> Self {
        Self {
            address,
            http: Http::open(agent),
            vms,
        }
    }

    /// Polls until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.poll()).await;
    }

    async fn poll(&self) {
        let mut is_reachable = true;
        loop {
            let answer = VmList::read(&self.http, self.address, READ_TIMEOUT).await;
            if let Err(error) = &answer
                && is_reachable
            {
                event!(warn, "vms.out_of_reach", error = error);
            }
            is_reachable = answer.is_ok();
            if let Ok(list) = answer {
                self.vms.observe(&list);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
