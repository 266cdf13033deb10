//! Tells whether two requests are the same one, sent again.

use std::fmt;
use std::sync::OnceLock;

use bytes::Bytes;
use http::{Method, Uri};
use sha2::{Digest, Sha256};
use swiftlink_types::WorkspaceName;

/// Bytes of a fingerprint.
pub const LEN: usize = 16;

/// What a caller's attempts for the same thing have in common: method, host, path, workspace and
/// body. Nobody can make a request that has the fingerprint of another workspace's.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; LEN]);

/// What a fingerprint is made from.
#[derive(Debug)]
pub struct Content {
    /// Workspace that is charged; `None` on a public route without a key.
    pub workspace: Option<WorkspaceName>,
    /// Method of the request.
    pub method: Method,
    /// Host that the caller named.
    pub host: String,
    /// Path and query.
    pub uri: Uri,
    /// The whole body.
    pub body: Bytes,
}

/// What a request is known by when its caller sends it again. The fingerprint is worked out when
/// it is asked for: most requests never need it.
#[derive(Debug)]
pub struct Origin {
    content: Content,
    print: OnceLock<Fingerprint>,
}

impl Origin {
    /// The origin of a request.
    #[must_use]
    pub fn new(content: Content) -> Self {
        Self {
            content,
            print: OnceLock::new(),
        }
    }

    /// Its fingerprint.
    #[must_use]
    pub fn print(&self) -> Fingerprint {
        *self.print.get_or_init(|| Fingerprint::of(&self.content))
    }
}

impl Fingerprint {
    /// The fingerprint of a request.
    #[must_use]
    pub fn of(content: &Content) -> Self {
        let path = content.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let workspace = content.workspace.as_ref().map_or("", WorkspaceName::as_str);
        let mut hash = Sha256::new();
        // Each part with its length: what ends one can't begin the next.
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

    /// Its bytes, for other routers.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// From bytes that another router told.
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
