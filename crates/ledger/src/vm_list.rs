//! Polls the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use swiftlink_fetch::Http;
use swiftlink_telemetry::event;
use tokio_util::sync::CancellationToken;

use crate::clock::lock;
use crate::vms::{VmList, VmWatch};

/// Pause between two reads.
const POLL: Duration = Duration::from_secs(1);
/// Time after which a read counts as unanswered.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What the VM list said so far, shared between tasks.
#[derive(Debug)]
pub struct Vms(Mutex<VmWatch>);

impl Vms {
    /// Nothing was read yet; a VM is gone after `reads` answers without it.
    #[must_use]
    pub fn new(reads: u32) -> Arc<Self> {
        Arc::new(Self(Mutex::new(VmWatch::new(reads))))
    }

    /// Takes an answer of the list; returns whether it was believed.
    pub fn read(&self, list: &VmList) -> bool {
        lock(&self.0).read(list)
    }

    /// Whether `vm` was listed once and is gone now.
    #[must_use]
    pub fn is_gone(&self, vm: &str) -> bool {
        lock(&self.0).is_gone(vm)
    }

    /// Whether the newest answers leave out `vm`, whether or not it was listed before.
    #[must_use]
    pub fn is_absent(&self, vm: &str) -> bool {
        lock(&self.0).is_absent(vm)
    }

    /// Whether any VM is gone.
    #[must_use]
    pub fn any_gone(&self) -> bool {
        lock(&self.0).gone().next().is_some()
    }

    /// Newest version of the list, and the VMs that are gone.
    #[must_use]
    pub fn summary(&self) -> (u64, Vec<String>) {
        let watch = lock(&self.0);
        let mut gone: Vec<String> = watch.gone().map(str::to_owned).collect();
        gone.sort();
        (watch.version(), gone)
    }
}

/// The task that polls the list.
#[derive(Debug)]
pub struct Poller {
    address: SocketAddr,
    http: Http,
    vms: Arc<Vms>,
}

impl Poller {
    /// Polls the list at `address` under the name `agent`.
    #[must_use]
    pub fn new(address: SocketAddr, agent: Arc<str>, vms: Arc<Vms>) -> Self {
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
        let mut reached = true;
        loop {
            let answer = VmList::read(&self.http, self.address, TIMEOUT).await;
            if let Err(error) = &answer
                && reached
            {
                event!(warn, "vms.out_of_reach", error = error);
            }
            reached = answer.is_ok();
            if let Ok(list) = answer {
                self.vms.read(&list);
            }
            tokio::time::sleep(POLL).await;
        }
    }
}
