//! Tracks which VMs are gone from the platform's VM list.

use std::collections::{HashMap, HashSet};

use serde::Deserialize;

/// The fields of the VM list that a ledger reads.
pub type VmList = swiftlink_fetch::VmList<Vm>;

/// One VM of the list, live or leaving.
///
/// Its state isn't parsed: a state unknown to this version would make the list unreadable
/// and hide that another VM is gone.
#[derive(Debug, Clone, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
}

/// Determines from successive reads of the VM list which VMs are gone.
///
/// A VM is gone when it was in the list and then was absent from several successive
/// reads. A failed read is no evidence; neither is an empty list, since the VM that
/// reads it would be in it, nor a list older than the newest one read.
#[derive(Debug)]
pub struct VmTracker {
    threshold: u32,
    version: u64,
    /// Number of reads accepted so far.
    accepted: u32,
    /// Successive accepted reads without each VM that was listed before.
    absences: HashMap<String, u32>,
}

impl VmTracker {
    /// Creates a tracker for which a VM is gone after `threshold` successive reads without it.
    #[must_use]
    pub fn new(threshold: u32) -> Self {
        Self {
            threshold: threshold.max(1),
            version: 0,
            accepted: 0,
            absences: HashMap::new(),
        }
    }

    /// Records one read of the list; returns whether it was accepted.
    pub fn observe(&mut self, list: &VmList) -> bool {
        if list.vms.is_empty() || list.version < self.version {
            return false;
        }
        self.version = list.version;
        self.accepted = self.accepted.saturating_add(1);
        let listed: HashSet<&str> = list.vms.iter().map(|vm| vm.name.as_str()).collect();
        for (name, count) in &mut self.absences {
            if !listed.contains(name.as_str()) {
                *count = count.saturating_add(1);
            }
        }
        for name in listed {
            self.absences.insert(name.to_owned(), 0);
        }
        true
    }

    /// Whether `vm` was listed before and is gone now.
    #[must_use]
    pub fn is_gone(&self, vm: &str) -> bool {
        self.absences
            .get(vm)
            .is_some_and(|count| *count >= self.threshold)
    }

    /// Whether `vm` is absent from the newest reads, whether or not it was listed before.
    ///
    /// Weaker than [`VmTracker::is_gone`]: a VM that was never listed may still be added to
    /// the list. Suitable for routers that are retired already.
    #[must_use]
    pub fn is_absent(&self, vm: &str) -> bool {
        let absences = self.absences.get(vm).copied();
        absences.unwrap_or(self.accepted) >= self.threshold
    }

    /// Newest version of the list that was accepted.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Names of the VMs that are gone.
    pub fn gone(&self) -> impl Iterator<Item = &str> {
        let threshold = self.threshold;
        let gone = self
            .absences
            .iter()
            .filter(move |(_, count)| **count >= threshold);
        gone.map(|(name, _)| name.as_str())
    }
}
