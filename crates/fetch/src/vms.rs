//! The platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::client::Http;
use crate::json::{JsonError, Limits};

/// Path of the list.
const PATH: &str = "/vms";
/// Largest size of the list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Body of `GET /vms`. `V` holds the fields of a VM that the caller needs.
#[derive(Debug, Clone, Deserialize)]
pub struct VmList<V = Vm> {
    /// Version of the list, which grows with each change.
    pub version: u64,
    /// All VMs, live and leaving.
    pub vms: Vec<V>,
}

/// A VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Lifecycle state of the VM.
    pub state: VmState,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform will remove the VM.
    Leaving,
}

impl<V: DeserializeOwned> VmList<V> {
    /// Fetches the list from the server at `address` within `time`.
    ///
    /// # Errors
    /// When no response arrives in time, its status is not 2xx, or it is not a VM list.
    pub async fn read(http: &Http, address: SocketAddr, time: Duration) -> Result<Self, JsonError> {
        let limits = Limits {
            time,
            bytes: MAX_LIST_BYTES,
        };
        http.get_json(address, PATH, limits).await
    }
}
