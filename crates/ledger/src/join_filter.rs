//! Refuses joins on VMs that an operator has declared gone.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;

use swiftlink_resource::{Config, Kind};
use swiftlink_telemetry::{Metrics, event};
use swiftlink_wire::log::{Record, record};

use crate::clock::lock;

/// A router tried to join on a VM that is declared gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmRetired {
    /// Name of the VM.
    pub vm: String,
}

/// Checks joins against the retired VMs of the configuration.
///
/// A join that was let through would be retired at once, and its router would join
/// again: a record on every stream, several times a second.
#[derive(Debug)]
pub struct JoinFilter {
    metrics: Metrics,
    /// Version of the retirement for which a VM's refusal was logged last, by VM.
    logged: Mutex<HashMap<String, u64>>,
}

impl JoinFilter {
    /// Creates a filter that counts refusals in `metrics`.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            logged: Mutex::default(),
        }
    }

    /// Checks whether `records` hold a join that must be refused. A VM's refusal is logged
    /// once per version of its retirement, since routers repeat their joins.
    ///
    /// # Errors
    /// [`VmRetired`] with the first VM that is declared gone.
    pub fn check(&self, config: &Config, records: &[Record]) -> Result<(), VmRetired> {
        for record in records {
            let Some(vm) = joining_vm(record) else {
                continue;
            };
            let Some(retirement) = config.get(Kind::Retirement, vm) else {
                continue;
            };
            self.metrics.count("ledger.joins_refused", 1);
            self.log_refusal(config, vm, retirement.version);
            return Err(VmRetired { vm: vm.to_owned() });
        }
        Ok(())
    }

    fn log_refusal(&self, config: &Config, vm: &str, version: u64) {
        let mut logged = lock(&self.logged);
        logged.retain(|vm, _| config.is_retired(vm));
        if logged.insert(vm.to_owned(), version) != Some(version) {
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

impl fmt::Display for VmRetired {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let vm = &self.vm;
        write!(
            f,
            "VM {vm} is declared gone for good: delete retirement/{vm} to use it again"
        )
    }
}

impl std::error::Error for VmRetired {}
