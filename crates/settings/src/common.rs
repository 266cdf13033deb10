//! Settings that several daemons share.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{CheckError, SecretString};

const MIN_SECRET_BYTES: usize = 16;
const LOG_LEVELS: [&str; 7] = ["off", "critical", "error", "warn", "info", "debug", "trace"];

/// Settings that every daemon flattens into its own.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Common {
    /// Name of the VM that the process runs on.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address of the admin endpoint (dump, status, log level).
    pub admin: SocketAddr,
    /// Shared secret of the links between swiftlink processes; 16 bytes or more.
    pub secret: SecretString,
    /// Least severe level that is logged.
    #[serde(default = "default_level")]
    pub log_level: String,
    /// Address of the StatsD server; without it no metrics are sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub statsd: Option<SocketAddr>,
}

impl Common {
    /// Checks names, secret and log level.
    ///
    /// # Errors
    /// When a value is invalid: the first such key.
    pub fn check(&self) -> Result<(), CheckError> {
        if self.vm.is_empty() {
            return Err(CheckError::new("vm", "must not be empty"));
        }
        if self.domain.is_empty() {
            return Err(CheckError::new("domain", "must not be empty"));
        }
        if self.secret.expose().len() < MIN_SECRET_BYTES {
            let detail = format!("must have at least {MIN_SECRET_BYTES} bytes");
            return Err(CheckError::new("secret", detail));
        }
        if !LOG_LEVELS.contains(&self.log_level.as_str()) {
            let detail = format!("must be one of {}", LOG_LEVELS.join(", "));
            return Err(CheckError::new("log_level", detail));
        }
        Ok(())
    }
}

/// A swiftlink process to which this one opens links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkPeer {
    /// Name of the process, as in its own settings and in the logs.
    pub name: String,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// Failure domain in which the process runs.
    pub domain: String,
}

/// Checks that each peer of the list `key` has a domain, and a name and an address that no
/// other peer has.
///
/// # Errors
/// When a peer is invalid: the key of the first one.
pub fn check_peers(key: &str, peers: &[LinkPeer]) -> Result<(), CheckError> {
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, peer) in peers.iter().enumerate() {
        if peer.name.is_empty() {
            let path = format!("{key}[{index}].name");
            return Err(CheckError::new(path, "must not be empty"));
        }
        if peer.domain.is_empty() {
            let path = format!("{key}[{index}].domain");
            return Err(CheckError::new(path, "must not be empty"));
        }
        if !names.insert(peer.name.as_str()) {
            let path = format!("{key}[{index}].name");
            return Err(CheckError::new(path, "is the name of another peer too"));
        }
        if !addresses.insert(peer.address) {
            let path = format!("{key}[{index}].address");
            return Err(CheckError::new(path, "is the address of another peer too"));
        }
    }
    Ok(())
}

fn default_level() -> String {
    "info".to_owned()
}
