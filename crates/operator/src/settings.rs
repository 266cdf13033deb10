//! Settings of the operator daemon.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftlink_settings::{CheckError, Common, LinkPeer, SecretString, Settings, check_peers};

/// Shortest token that is taken (bytes).
const TOKEN_MIN: usize = 16;

/// Settings of `swiftlink-operator`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Settings that every daemon has.
    #[serde(flatten)]
    pub common: Common,
    /// Address of the resource interface.
    pub listen: SocketAddr,
    /// Credential that operators send; 16 bytes or more.
    pub token: SecretString,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Ledgers asked for budgets, and for the configuration while the log is out.
    #[serde(default)]
    pub ledgers: Vec<LinkPeer>,
    /// Processes that `status` and `dump` show.
    #[serde(default)]
    pub processes: Vec<Process>,
    /// Time limit for a decision on an `apply` (ms).
    #[serde(default = "default_apply")]
    pub apply_ms: u64,
    /// Time that an `apply` waits for a ledger to count its top-ups (ms).
    #[serde(default = "default_topup")]
    pub topup_ms: u64,
    /// Time limit of a call of another process's admin address (ms).
    #[serde(default = "default_probe")]
    pub probe_ms: u64,
    /// Time between two heartbeats of a quiet watch (ms).
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: u64,
    /// Events kept for watches that begin in the past.
    #[serde(default = "default_history")]
    pub history: usize,
}

/// A process of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name under which `status` and `dump` show it.
    pub name: String,
    /// `router`, `ledger` or `operator`.
    pub role: String,
    /// Its admin address.
    pub admin: SocketAddr,
}

impl OperatorSettings {
    pub(crate) fn apply_limit(&self) -> Duration {
        Duration::from_millis(self.apply_ms)
    }

    pub(crate) fn topup_limit(&self) -> Duration {
        Duration::from_millis(self.topup_ms)
    }

    pub(crate) fn probe_limit(&self) -> Duration {
        Duration::from_millis(self.probe_ms)
    }

    pub(crate) fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }
}

impl Settings for OperatorSettings {
    fn common(&self) -> &Common {
        &self.common
    }

    fn check(&self) -> Result<(), CheckError> {
        if self.token.expose().len() < TOKEN_MIN {
            let detail = format!("must have at least {TOKEN_MIN} bytes");
            return Err(CheckError::new("token", detail));
        }
        let limits = [
            ("apply_ms", self.apply_ms),
            ("probe_ms", self.probe_ms),
            ("heartbeat_ms", self.heartbeat_ms),
            ("history", self.history as u64),
        ];
        for (key, value) in limits {
            if value == 0 {
                return Err(CheckError::new(key, "must be more than 0"));
            }
        }
        check_peers("ledgers", &self.ledgers)?;
        let mut names = HashSet::new();
        for (index, process) in self.processes.iter().enumerate() {
            if process.name.is_empty() || !names.insert(process.name.as_str()) {
                let key = format!("processes[{index}].name");
                return Err(CheckError::new(key, "must be unique and not empty"));
            }
        }
        Ok(())
    }
}

fn default_apply() -> u64 {
    10_000
}

fn default_topup() -> u64 {
    5_000
}

fn default_probe() -> u64 {
    1_000
}

fn default_heartbeat() -> u64 {
    5_000
}

fn default_history() -> usize {
    20_000
}
