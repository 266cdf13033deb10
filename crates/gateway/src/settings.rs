//! Settings of a router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use swiftlink_rollout::ExposureLimit;
use swiftlink_types::{DomainName, RegionName, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// Settings of a router, as the deployment's adapter provides them.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// VM that the router runs on.
    pub vm: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// All failure domains and the region of each; empty if the deployment doesn't specify them.
    pub regions: HashMap<DomainName, RegionName>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes of the load balancer.
    pub readiness: SocketAddr,
    /// Address of the metrics endpoint; `None` disables it.
    pub metrics: Option<SocketAddr>,
    /// Address for other routers.
    pub peers: SocketAddr,
    /// Processor time of the VM, in thousandths of a core.
    pub cpu_millis: u32,
    /// Bytes per second that the VM's network link carries each way; `None` if unknown.
    pub link: Option<u64>,
    /// Whether the whole fleet starts for the first time.
    pub bootstrap: bool,
    /// Number of worker threads that serve callers.
    pub workers: usize,
    /// Maximum number of open caller connections.
    pub connections: usize,
    /// Bytes that a caller may have sent and the router hasn't read.
    pub receive_buffer: usize,
    /// Memory in bytes for the bodies of callers' requests.
    pub body_memory: usize,
    /// Time within which a confirmed change of the configuration must be in force.
    pub config_apply: Duration,
    /// Time after a server's announcement that it leaves, or the removal of its entry, in which it
    /// still takes requests.
    pub drain: Duration,
    /// Interval at which servers write their entries; the store removes one after three intervals
    /// without.
    pub heartbeat: Duration,
    /// The last seconds that the store may have lost when it comes back from a copy.
    pub copy_lag: Duration,
    /// Time between SIGTERM and the forced exit.
    pub grace: Duration,
    /// Limits on the retries of the whole fleet.
    pub retries: RetryLimits,
    /// How much of a pool's traffic a bad version may get; `None` disables rollouts.
    pub rollouts: Option<ExposureLimit>,
    /// Whether requests that an overloaded pool can't serve in time are refused.
    pub admission: bool,
    /// Maximum number of partitions of the accounts feed.
    pub partitions: u32,
}

impl RouterSettings {
    /// Partition of the members feed that the routers of a failure domain are in. If the domains
    /// aren't specified, the partitions in use are unknown, so all routers are in the first one.
    #[must_use]
    pub fn member_partition(&self, domain: &DomainName) -> u32 {
        if self.regions.is_empty() {
            return 0;
        }
        let hash = xxh3_64(domain.as_str().as_bytes());
        (hash % u64::from(self.partitions.max(1))) as u32
    }

    /// All partitions of the members feed, starting with this router's own.
    #[must_use]
    pub fn member_partitions(&self) -> Vec<u32> {
        let mut partitions = vec![self.member_partition(&self.domain)];
        for domain in self.regions.keys() {
            let partition = self.member_partition(domain);
            if !partitions.contains(&partition) {
                partitions.push(partition);
            }
        }
        partitions
    }
}

/// Limits on the retries that the whole fleet may send to a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}
