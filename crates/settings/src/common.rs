//! Settings that several daemons share.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{CheckError, SecretString};

const SECRET_MIN: usize = 16;
const LEVELS: [&str; 7] = ["off", "critical", "error", "warn", "info", "debug", "trace"];

/// Settings of every daemon, flattened into its own.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Common {
    /// Name of the VM that the process runs on.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address of the admin endpoint (dump, status, log level).
    pub admin: SocketAddr,
    /// Shared secret of the links between swiftlink processes; 16 characters or more.
    pub secret: SecretString,
    /// Lowest level of events that are logged.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Address of the StatsD server; no metrics are sent without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub statsd: Option<SocketAddr>,
}

impl Common {
    /// Checks names, secret and log level.
    ///
    /// # Errors
    /// The first key whose value can't be used.
    pub fn check(&self) -> Result<(), CheckError> {
        if self.vm.is_empty() {
            return Err(CheckError::new("vm", "must not be empty"));
        }
        if self.domain.is_empty() {
            return Err(CheckError::new("domain", "must not be empty"));
        }
        if self.secret.expose().len() < SECRET_MIN {
            let detail = format!("must have at least {SECRET_MIN} bytes");
            return Err(CheckError::new("secret", detail));
        }
        if !LEVELS.contains(&self.log_level.as_str()) {
            let detail = format!("must be one of {}", LEVELS.join(", "));
            return Err(CheckError::new("log_level", detail));
        }
        Ok(())
    }
}

/// Another swiftlink process that this one opens links to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPeer {
    /// Name of the process, as in its own settings and the logs.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: String,
}

/// Checks that the peers under `key` have names, domains and distinct names and addresses.
///
/// # Errors
/// The first peer that can't be used.
pub fn check_peers(key: &str, peers: &[LinkPeer]) -> Result<(), CheckError> {
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, peer) in peers.iter().enumerate() {
        if peer.name.is_empty() {
            let at = format!("{key}[{index}].name");
            return Err(CheckError::new(at, "must not be empty"));
        }
        if peer.domain.is_empty() {
            let at = format!("{key}[{index}].domain");
            return Err(CheckError::new(at, "must not be empty"));
        }
        if !names.insert(peer.name.as_str()) {
            let at = format!("{key}[{index}].name");
            return Err(CheckError::new(at, "is the name of another peer too"));
        }
        if !addresses.insert(peer.address) {
            let at = format!("{key}[{index}].address");
            return Err(CheckError::new(at, "is the address of another peer too"));
        }
    }
    Ok(())
}

fn default_level() -> String {
    "info".to_owned()
}
