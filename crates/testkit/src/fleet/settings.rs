//! Contents of the daemons' settings files.

use std::net::SocketAddr;

use serde_json::{Map, Value, json};

use super::daemon::Addresses;

/// Shared secret of the processes of a fleet.
const SECRET: &str = "testkit-secret-of-the-fleet";
/// Bearer token of the operators.
pub const TOKEN: &str = "testkit-token-of-operators";

/// Location of a VM's daemons.
#[derive(Clone, Debug)]
pub struct Location {
    /// Name of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub domain: String,
}

/// Builds the settings entry of a peer process.
#[must_use]
pub fn peer(name: &str, address: SocketAddr, domain: &str) -> Value {
    json!({ "name": name, "address": address, "domain": domain })
}

/// Builds the settings that all daemons share.
#[must_use]
pub fn common(location: &Location, addresses: Addresses) -> Map<String, Value> {
    let Value::Object(map) = json!({
        "vm": location.vm,
        "domain": location.domain,
        "admin": addresses.admin,
        "listen": addresses.listen,
        "secret": SECRET,
        "log_level": "debug",
    }) else {
        unreachable!("an object was written");
    };
    map
}

/// Adds the entries of `more`, which replace those with equal keys.
pub fn merge(settings: &mut Map<String, Value>, more: &Value) {
    let Value::Object(more) = more else {
        return;
    };
    for (key, value) in more {
        settings.insert(key.clone(), value.clone());
    }
}

/// Converts the settings to TOML.
///
/// # Errors
/// When a value can't be represented in TOML.
pub fn to_toml(settings: Map<String, Value>) -> anyhow::Result<toml::Table> {
    Ok(toml::Table::try_from(settings)?)
}
