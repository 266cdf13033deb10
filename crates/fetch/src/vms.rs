//! The platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::client::Http;
use crate::json::{JsonError, Limits};

/// Path of the list.
const PATH: &str = "/vms";
/// Largest list (bytes).
const MAX_LIST: usize = 4 << 20;

/// Body of `GET /vms`, with what its reader wants to know of each VM.
#[derive(Debug, Clone, Deserialize)]
pub struct VmList<V = Vm> {
    /// Grows with each change of the list.
    pub version: u64,
    /// VMs that are live or leaving.
    pub vms: Vec<V>,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Whether it stays.
    pub state: VmState,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

impl<V: DeserializeOwned> VmList<V> {
    /// Reads the list at `address` within `time`.
    ///
    /// # Errors
    /// When there is no answer in time, a refusal, or another document.
    pub async fn read(http: &Http, address: SocketAddr, time: Duration) -> Result<Self, JsonError> {
        let limits = Limits {
            time,
            bytes: MAX_LIST,
        };
        http.json(address, PATH, limits).await
    }
}
