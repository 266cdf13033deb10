//! What the platform's list of VMs says about VMs that are gone.

use std::collections::{HashMap, HashSet};

use serde::Deserialize;

/// The VM list as far as a ledger reads it.
pub type VmList = swiftlink_fetch::VmList<Vm>;

/// One VM of the list, live or leaving.
///
/// Its state isn't read: one that this version doesn't know must not hide that
/// another VM is gone.
#[derive(Debug, Clone, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
}

/// Judges from the answers of the VM list which VMs are gone.
///
/// A VM counts as gone when it had been in the list and then was absent from
/// several answers in a row. No answer says nothing; nor does an empty list, which
/// no live VM could have asked for, or one older than the newest seen.
#[derive(Debug)]
pub struct VmWatch {
    reads: u32,
    version: u64,
    /// Answers believed so far.
    answers: u32,
    absent: HashMap<String, u32>,
}

impl VmWatch {
    /// A VM is gone after it was absent from `reads` answers in a row.
    #[must_use]
    pub fn new(reads: u32) -> Self {
        Self {
            reads: reads.max(1),
            version: 0,
            answers: 0,
            absent: HashMap::new(),
        }
    }

    /// Takes one answer; returns whether it was believed.
    pub fn read(&mut self, list: &VmList) -> bool {
        if list.vms.is_empty() || list.version < self.version {
            return false;
        }
        self.version = list.version;
        self.answers = self.answers.saturating_add(1);
        let listed: HashSet<&str> = list.vms.iter().map(|vm| vm.name.as_str()).collect();
        for (name, count) in &mut self.absent {
            if !listed.contains(name.as_str()) {
                *count = count.saturating_add(1);
            }
        }
        for name in listed {
            self.absent.insert(name.to_owned(), 0);
        }
        true
    }

    /// Whether `vm` was listed once and is gone now.
    #[must_use]
    pub fn is_gone(&self, vm: &str) -> bool {
        self.absent
            .get(vm)
            .is_some_and(|count| *count >= self.reads)
    }

    /// Whether the newest answers leave out `vm`, whether or not it was listed before.
    ///
    /// Says less than [`VmWatch::is_gone`]: a VM that was never listed may be on its
    /// way into the list. It serves for routers that are retired already.
    #[must_use]
    pub fn is_absent(&self, vm: &str) -> bool {
        let absent = self.absent.get(vm).copied();
        absent.unwrap_or(self.answers) >= self.reads
    }

    /// Newest version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Names of the VMs that are gone.
    pub fn gone(&self) -> impl Iterator<Item = &str> {
        let reads = self.reads;
        let gone = self
            .absent
            .iter()
            .filter(move |(_, count)| **count >= reads);
        gone.map(|(name, _)| name.as_str())
    }
}
