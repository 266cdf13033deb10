//! Settings files of the daemons.

use std::net::SocketAddr;

use serde_json::{Map, Value, json};

use super::daemon::Addresses;

/// Secret that the processes of a fleet share.
const SECRET: &str = "testkit-secret-of-the-fleet";
/// Credential of the operators.
pub const TOKEN: &str = "testkit-token-of-operators";

/// What all daemons of a VM have in common.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name of the VM.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
}

/// A link to another process as it stands in the settings.
#[must_use]
pub fn peer(name: &str, address: SocketAddr, domain: &str) -> Value {
    json!({ "name": name, "address": address, "domain": domain })
}

/// The settings that every daemon has.
#[must_use]
pub fn common(place: &Place, addresses: Addresses) -> Map<String, Value> {
    let Value::Object(map) = json!({
        "vm": place.vm,
        "domain": place.domain,
        "admin": addresses.admin,
        "listen": addresses.listen,
        "secret": SECRET,
        "log_level": "debug",
    }) else {
        unreachable!("an object was written");
    };
    map
}

/// Adds the entries of `more`, in place of equal ones.
pub fn merge(settings: &mut Map<String, Value>, more: &Value) {
    let Value::Object(more) = more else {
        return;
    };
    for (key, value) in more {
        settings.insert(key.clone(), value.clone());
    }
}

/// The settings as TOML.
///
/// # Errors
/// When a value has no TOML form.
pub fn to_toml(settings: Map<String, Value>) -> anyhow::Result<toml::Table> {
    Ok(toml::Table::try_from(settings)?)
}
