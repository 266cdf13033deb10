//! What a router is told at its start.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use swiftlink_rollout::ExposureLimit;
use swiftlink_types::{DomainName, RegionName, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// Settings of a router, as the adapter found them.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// VM that it runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Failure domains that there are, and the region of each; empty where that isn't told.
    pub regions: HashMap<DomainName, RegionName>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where metrics are served; nowhere without an address.
    pub metrics: Option<SocketAddr>,
    /// Where other routers connect.
    pub peers: SocketAddr,
    /// Processor time of the VM, in thousandths of a core.
    pub strength: u32,
    /// Bytes a second that the VM's link carries each way; `None` where that isn't known.
    pub link: Option<u64>,
    /// Whether the whole fleet starts for the first time.
    pub bootstrap: bool,
    /// Worker threads that serve callers.
    pub workers: usize,
    /// Most open connections of callers.
    pub connections: usize,
    /// Time within which a confirmed change of the configuration must be in force.
    pub apply: Duration,
    /// Time between SIGTERM and the forced end.
    pub grace: Duration,
    /// How many retries the whole fleet may send.
    pub retries: RetryTerms,
    /// How much of a pool's traffic a bad version may get; `None`: there are no roll-outs.
    pub rollouts: Option<ExposureLimit>,
    /// Partitions that the accounts' feed may have.
    pub parts: u32,
}

impl RouterSettings {
    /// Partition of the members' feed that the routers of a failure domain are in. Where the domains
    /// aren't told nobody could know which partitions there are, so all are in the first.
    #[must_use]
    pub fn members_part(&self, domain: &DomainName) -> u32 {
        if self.regions.is_empty() {
            return 0;
        }
        let hash = xxh3_64(domain.as_str().as_bytes());
        (hash % u64::from(self.parts.max(1))) as u32
    }

    /// All partitions of the members' feed, this router's own first.
    #[must_use]
    pub fn members_parts(&self) -> Vec<u32> {
        let mut parts = vec![self.members_part(&self.domain)];
        for domain in self.regions.keys() {
            let part = self.members_part(domain);
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }
}

/// How many retries the whole fleet may send to a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in one window beyond that.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}
