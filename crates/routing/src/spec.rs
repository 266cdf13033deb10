//! What a fleet is told: its settings, the configured servers, the VM list.

use swiftlink_types::{DomainName, Micros, ServerInstance, VmName};

use crate::health::HealthPolicy;

/// Settings of a [`crate::Fleet`].
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPolicy {
    /// The router's own failure domain.
    pub home: DomainName,
    /// Servers that this router uses and polls; 0: all. Chosen by hash, so that the
    /// routers' subsets cover the pool evenly.
    pub subset: usize,
    /// Sets this router apart from the others; a hash of its name. Must differ between
    /// routers.
    pub seed: u64,
    /// Ejection of failing servers.
    pub health: HealthPolicy,
}

impl FleetPolicy {
    /// Settings with defaults for a router in `home`.
    #[must_use]
    pub fn new(home: DomainName) -> Self {
        Self {
            home,
            subset: 0,
            seed: 0,
            health: HealthPolicy::default(),
        }
    }
}

/// A backend server as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Its name, and when it started.
    pub instance: ServerInstance,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its VM, if the VM list knows it.
    pub vm: Option<VmName>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether the operators want it to leave.
    pub drain: bool,
    /// Whether it takes the requests of a trial, and no others.
    pub is_canary: bool,
    /// Until when it is cold, in the clock of the fleet's calls; 0: it is warm.
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
