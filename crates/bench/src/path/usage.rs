//! Processor time of the fleet's roles while calls run.

use std::collections::BTreeMap;
use std::fs;

use super::process;
use crate::row::Rows;

/// Reported roles, with their metric names.
const ROLES: [(&str, &str); 4] = [
    ("router", "routers"),
    ("ledger", "ledgers"),
    ("engine", "engine"),
    ("log", "log"),
];

/// Sums the processor time of all processes of each role over several turns.
#[derive(Debug)]
pub struct Meter {
    roles: BTreeMap<u32, String>,
    begun: BTreeMap<u32, u64>,
    used: BTreeMap<String, u64>,
}

impl Meter {
    /// Creates a meter for this process's children.
    #[must_use]
    pub fn new() -> Self {
        Self {
            roles: process::children(),
            begun: BTreeMap::new(),
            used: BTreeMap::new(),
        }
    }

    /// Starts a turn.
    pub fn begin(&mut self) {
        for pid in self.roles.keys() {
            self.begun.insert(*pid, process::counts(*pid).cpu_ns);
        }
    }

    /// Ends the turn.
    pub fn end(&mut self) {
        for (pid, role) in &self.roles {
            let before = self.begun.get(pid).copied().unwrap_or(0);
            let used = process::counts(*pid).cpu_ns.saturating_sub(before);
            *self.used.entry(role.clone()).or_default() += used;
        }
    }

    /// Reports the processor time per call of each role.
    pub fn report(&self, name: &str, calls: u64, rows: &mut Rows) {
        for (role, policy) in ROLES {
            let used = self.used.get(role).copied().unwrap_or(0);
            let each = used as f64 / 1_000.0 / calls.max(1) as f64;
            rows.add(name, policy, "cpu_us_per_call", each);
        }
    }
}

/// Reads the machine's load average over the last minute.
#[must_use]
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}
