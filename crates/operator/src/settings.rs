//! Settings of the operator daemon.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use swiftlink_settings::{CheckError, Common, LinkPeer, SecretString, Settings, check_peers};

/// Minimum length of the token.
const MIN_TOKEN_BYTES: usize = 16;

/// Settings of `swiftlink-operator`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Settings common to all daemons.
    #[serde(flatten)]
    pub common: Common,
    /// Address of the resource interface.
    pub listen: SocketAddr,
    /// Bearer token of the operators; at least 16 bytes.
    pub token: SecretString,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Ledgers queried for budgets and, during a log outage, for the configuration.
    #[serde(default)]
    pub ledgers: Vec<LinkPeer>,
    /// Processes shown by `status` and `dump`.
    #[serde(default)]
    pub processes: Vec<Process>,
    /// Timeout of the decision on an `apply` (ms).
    #[serde(default = "default_apply")]
    pub apply_ms: u64,
    /// Time that an `apply` waits until a ledger credits its top-ups (ms).
    #[serde(default = "default_topup")]
    pub topup_ms: u64,
    /// Timeout of a call to the admin address of another process (ms).
    #[serde(default = "default_probe")]
    pub probe_ms: u64,
    /// Heartbeat interval of an idle watch (ms).
    #[serde(default = "default_heartbeat")]
    pub heartbeat_ms: u64,
    /// Number of events retained for watches that start from an earlier version.
    #[serde(default = "default_history")]
    pub history: usize,
}

/// A process of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Process {
    /// Name in `status` and `dump`.
    pub name: String,
    /// Role: `router`, `ledger` or `operator`.
    pub role: String,
    /// Address of its admin endpoint.
    pub admin: SocketAddr,
}

impl OperatorSettings {
    pub(crate) fn apply_timeout(&self) -> Duration {
        Duration::from_millis(self.apply_ms)
    }

    pub(crate) fn topup_timeout(&self) -> Duration {
        Duration::from_millis(self.topup_ms)
    }

    pub(crate) fn probe_timeout(&self) -> Duration {
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
        if self.token.expose().len() < MIN_TOKEN_BYTES {
            let detail = format!("must have at least {MIN_TOKEN_BYTES} bytes");
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
