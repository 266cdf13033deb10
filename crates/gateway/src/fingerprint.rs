//! Identifies requests that their callers send again.

use std::fmt;
use std::sync::OnceLock;

use bytes::Bytes;
use http::{Method, Uri};
use sha2::{Digest, Sha256};
use swiftlink_types::WorkspaceName;

/// Length of a fingerprint in bytes.
pub const LEN: usize = 16;

/// Hash of what all attempts of a caller at one request have in common: method, host, path,
/// workspace and body. A workspace can't make a request that has the fingerprint of another
/// workspace's request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LEN]);

/// The parts of a request that its fingerprint covers.
#[derive(Debug)]
pub struct Content {
    /// Workspace that is charged; `None` on a public route without a key.
    pub workspace: Option<WorkspaceName>,
    /// Method of the request.
    pub method: Method,
    /// The `Host` header.
    pub host: String,
    /// Path and query.
    pub uri: Uri,
    /// The whole body.
    pub body: Bytes,
}

/// Identity of a request across retries by its caller. The fingerprint is computed on first use,
/// since most requests never need it.
#[derive(Debug)]
pub struct RequestIdentity {
    content: Content,
    fingerprint: OnceLock<Fingerprint>,
}

impl RequestIdentity {
    /// The identity of a request with this content.
    #[must_use]
    pub fn new(content: Content) -> Self {
        Self {
            content,
            fingerprint: OnceLock::new(),
        }
    }

    /// The request's fingerprint.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&self.content))
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(content: &Content) -> Self {
        let path = content.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let workspace = content.workspace.as_ref().map_or("", WorkspaceName::as_str);
        let mut hash = Sha256::new();
        // Each part is prefixed with its length, so that bytes can't move from the end of one part
        // to the start of the next without changing the hash.
        let parts = [workspace, content.method.as_str(), &content.host, path];
        for part in parts
            .map(str::as_bytes)
            .into_iter()
            .chain([&content.body[..]])
        {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let mut bytes = [0; LEN];
        bytes.copy_from_slice(&digest[..LEN]);
        Self(bytes)
    }

    /// The fingerprint's bytes, for other routers.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Reads a fingerprint that another router sent.
impl TryFrom<&[u8]> for Fingerprint {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fingerprint({self})")
    }
}
