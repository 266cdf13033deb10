//! Refuses joins on VMs that an operator has declared gone.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;

use swiftlink_resource::{Config, Kind};
use swiftlink_telemetry::{Metrics, event};
use swiftlink_wire::log::{Record, record};

use crate::clock::lock;

/// A router asked to join on a VM whose retirement stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Retired {
    /// Name of the VM.
    pub vm: String,
}

/// Judges joins by the configuration.
///
/// A join that was let through would be retired again at once, and its router would
/// join anew: a record on every stream, several times a second.
#[derive(Debug)]
pub struct Joins {
    metrics: Metrics,
    /// Version of the retirement by which a VM's refusal was logged.
    told: Mutex<HashMap<String, u64>>,
}

impl Joins {
    /// Refusals are counted in `metrics`.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            told: Mutex::default(),
        }
    }

    /// Looks for a join that must be refused. The log tells of a VM's refusal once
    /// for each version of its retirement; routers ask again and again.
    ///
    /// # Errors
    /// The first VM whose retirement stands.
    pub fn check(&self, config: &Config, records: &[Record]) -> Result<(), Retired> {
        for record in records {
            let Some(vm) = joining_vm(record) else {
                continue;
            };
            let Some(retirement) = config.get(Kind::Retirement, vm) else {
                continue;
            };
            self.metrics.count("ledger.joins_refused", 1);
            self.tell(config, vm, retirement.version);
            return Err(Retired { vm: vm.to_owned() });
        }
        Ok(())
    }

    fn tell(&self, config: &Config, vm: &str, version: u64) {
        let mut told = lock(&self.told);
        told.retain(|vm, _| config.is_retired(vm));
        if told.insert(vm.to_owned(), version) != Some(version) {
            event!(
                warn,
                "join.refused",
                vm = vm,
                reason = "vm is declared gone",
                retirement = version
            );
        }
    }
}

fn joining_vm(record: &Record) -> Option<&str> {
    let Some(record::Kind::Join(join)) = &record.kind else {
        return None;
    };
    Some(&join.incarnation.as_ref()?.vm)
}

impl fmt::Display for Retired {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let vm = &self.vm;
        write!(
            f,
            "VM {vm} is declared gone for good: delete retirement/{vm} to use it again"
        )
    }
}

impl std::error::Error for Retired {}
