//! The VM list and its lag, without I/O. Time is an argument.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// Will be removed soon.
    Leaving,
}

/// One listed VM.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Listed state.
    pub state: VmState,
}

/// A published list.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Incremented by each change of the list.
    pub version: u64,
    /// Existing VMs; an unlisted VM is gone.
    pub vms: Vec<Vm>,
}

/// The list with a lag: publishes the newest version that is older than the lag.
#[derive(Debug, Default)]
pub struct LaggedList {
    published: VmList,
    pending: VecDeque<(u64, VmList)>,
    version: u64,
}

impl LaggedList {
    /// Creates a list with `vms`, which are published at once.
    #[must_use]
    pub fn new(vms: Vec<Vm>) -> Self {
        let published = VmList { version: 1, vms };
        Self {
            published,
            pending: VecDeque::new(),
            version: 1,
        }
    }

    /// Replaces the list at `now_ms` and returns its version.
    pub fn set(&mut self, now_ms: u64, vms: Vec<Vm>) -> u64 {
        self.version += 1;
        let list = VmList {
            version: self.version,
            vms,
        };
        self.pending.push_back((now_ms, list));
        self.version
    }

    /// Returns the list that is published at `now_ms` with a lag of `lag_ms`.
    pub fn published(&mut self, now_ms: u64, lag_ms: u64) -> &VmList {
        while let Some((set_ms, _list)) = self.pending.front() {
            if now_ms < set_ms.saturating_add(lag_ms) {
                break;
            }
            if let Some((_set_ms, list)) = self.pending.pop_front() {
                self.published = list;
            }
        }
        &self.published
    }
}
