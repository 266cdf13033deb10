//! The VM list and its lag. No I/O; time is an argument.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// Will be taken away soon.
    Leaving,
}

/// One listed VM.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Failure domain that it stands in.
    pub domain: String,
    /// State as listed.
    pub state: VmState,
}

/// The list as it is shown: the newest set that is older than the lag.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Grows by one with each set.
    pub version: u64,
    /// The VMs; one that is not listed is gone.
    pub vms: Vec<Vm>,
}

/// Sets of the list, the shown one first, the ones to be shown later behind it.
#[derive(Debug, Default)]
pub struct Lagging {
    shown: VmList,
    later: VecDeque<(u64, VmList)>,
    version: u64,
}

impl Lagging {
    /// Starts with a list that is shown at once.
    #[must_use]
    pub fn new(vms: Vec<Vm>) -> Self {
        let shown = VmList { version: 1, vms };
        Self {
            shown,
            later: VecDeque::new(),
            version: 1,
        }
    }

    /// Takes a new list at `now_ms`; returns its version.
    pub fn set(&mut self, now_ms: u64, vms: Vec<Vm>) -> u64 {
        self.version += 1;
        let list = VmList {
            version: self.version,
            vms,
        };
        self.later.push_back((now_ms, list));
        self.version
    }

    /// The list that is shown at `now_ms` with a lag of `lag_ms`.
    pub fn shown(&mut self, now_ms: u64, lag_ms: u64) -> &VmList {
        while let Some((set_ms, _list)) = self.later.front() {
            if now_ms < set_ms.saturating_add(lag_ms) {
                break;
            }
            if let Some((_set_ms, list)) = self.later.pop_front() {
                self.shown = list;
            }
        }
        &self.shown
    }
}
