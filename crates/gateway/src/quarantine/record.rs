//! Crashes of servers, and what is held or cleared because of them.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use swiftlink_types::{ServerInstance, VmName};

use crate::fingerprint::Fingerprint;

/// Time of the VM's monotonic clock, in milliseconds.
pub(super) type Millis = u64;

/// A crash of a server, and the requests running on it, as far as routers saw them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// Server instance that crashed.
    pub instance: ServerInstance,
    /// When it crashed.
    pub at: Millis,
    /// Requests that were running on it, and the parts that their prompts share with others.
    pub fingerprints: HashSet<Fingerprint>,
    /// VMs whose routers saw the crash.
    pub seen_by: BTreeSet<VmName>,
}

/// A request, or a part of prompts, that is held from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// Held parts that were in all its crashes. It is held only where they are in the prompt too.
    pub companions: Vec<Fingerprint>,
    /// Duration of the hold.
    pub duration: Duration,
    /// Crashes attributed to it.
    pub crashes: Vec<ServerCrash>,
}

impl HeldRequest {
    /// The crashes, each with this request or part and its companions only.
    #[must_use]
    pub fn evidence(&self) -> Vec<ServerCrash> {
        let fingerprints = self.companions.iter().copied().chain([self.fingerprint]);
        let fingerprints: HashSet<Fingerprint> = fingerprints.collect();
        let evidence = self.crashes.iter().map(|crash| ServerCrash {
            fingerprints: fingerprints.clone(),
            ..crash.clone()
        });
        evidence.collect()
    }
}

/// Changes caused by a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HoldChanges {
    /// Requests that are held from now on.
    pub held: Vec<HeldRequest>,
    /// Requests that are released, since other requests explain their crashes.
    pub released: Vec<Fingerprint>,
}

/// Changes caused by the completion of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// No server had crashed while running it.
    Nothing,
    /// Servers had crashed while running it, but it wasn't held.
    Crashes,
    /// It was held.
    Hold,
}
