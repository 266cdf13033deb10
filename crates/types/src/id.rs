//! Identifiers of requests and of router processes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use swiftlink_wire::log as wire;
use uuid::Uuid;

use crate::{VmName, WallMs};

/// Idempotency key of a request, unique within its workspace: a UUIDv7, which includes its creation
/// time.
///
/// Equal keys identify the same request, whichever router receives it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(Uuid);

/// Why a text or byte string is not a request key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Not a UUID.
    #[error("not a UUID")]
    NotUuid,
    /// A UUID, but not of version 7.
    #[error("not a UUID of version 7")]
    NotV7,
}

impl RequestKey {
    /// Creates a key with creation time `at` and random bits of the operating system.
    #[must_use]
    pub fn generate(at: WallMs) -> Self {
        let random = Uuid::new_v4().into_bytes();
        let mut tail = [0; 10];
        tail.copy_from_slice(&random[6..]);
        Self(uuid::Builder::from_unix_timestamp_millis(at, &tail).into_uuid())
    }

    /// Decodes a key from its 16 bytes.
    ///
    /// # Errors
    /// Fails if the bytes are not a UUID of version 7.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, KeyError> {
        let uuid = Uuid::from_slice(bytes).map_err(|_error| KeyError::NotUuid)?;
        Self::from_uuid(uuid)
    }

    /// The 16 bytes of the key.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Creation time stored in the key.
    #[must_use]
    pub fn created_ms(&self) -> WallMs {
        let bytes = self.0.as_bytes();
        let mut wide = [0; 8];
        wide[2..].copy_from_slice(&bytes[..6]);
        u64::from_be_bytes(wide)
    }

    fn from_uuid(uuid: Uuid) -> Result<Self, KeyError> {
        if uuid.get_version_num() != 7 {
            return Err(KeyError::NotV7);
        }
        Ok(Self(uuid))
    }
}

impl FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_error| KeyError::NotUuid)?;
        Self::from_uuid(uuid)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One run of a router process.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Incarnation {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Start time in microseconds since 1970; increases with each start on the VM.
    pub epoch: u64,
}

impl From<&Incarnation> for wire::Incarnation {
    fn from(inc: &Incarnation) -> Self {
        Self {
            vm: inc.vm.to_string(),
            epoch: inc.epoch,
        }
    }
}

impl From<&wire::Incarnation> for Incarnation {
    fn from(inc: &wire::Incarnation) -> Self {
        Self {
            vm: VmName::from(inc.vm.as_str()),
            epoch: inc.epoch,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.vm, self.epoch)
    }
}
