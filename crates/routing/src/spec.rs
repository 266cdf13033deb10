//! Inputs of a fleet: its settings, the configured servers, the VM list.

use swiftlink_types::{DomainName, Micros, ServerInstance, VersionName, VmName};

use crate::health::HealthPolicy;

/// Settings of a [`crate::Fleet`].
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPolicy {
    /// The router's own failure domain.
    pub domain: DomainName,
    /// Number of servers that this router uses and polls; 0 for all. They are chosen by hash, so
    /// that the subsets of all routers cover the pool evenly.
    pub subset: usize,
    /// Hash of the router's name. Must differ between routers.
    pub seed: u64,
    /// Ejection of failing servers.
    pub health: HealthPolicy,
}

impl FleetPolicy {
    /// Default settings for a router in `domain`.
    #[must_use]
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            subset: 0,
            seed: 0,
            health: HealthPolicy::default(),
        }
    }
}

/// A backend server as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Its name and start time.
    pub instance: ServerInstance,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its VM, if the VM list has it.
    pub vm: Option<VmName>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it gets no new requests: its configuration drains it, or it announced that it is
    /// draining.
    pub drain: bool,
    /// Version of its software; `None` if all servers have the same one.
    pub version: Option<VersionName>,
    /// Whether a rollout excludes its version: it gets no requests but those that this version
    /// began.
    pub is_excluded: bool,
    /// Whether it takes canary requests, and no others.
    pub is_canary: bool,
    /// When it becomes warm, on the clock of the fleet's methods; 0 when it is warm.
    pub cold_until: Micros,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub name: VmName,
    /// Whether it is leaving.
    pub leaving: bool,
}
