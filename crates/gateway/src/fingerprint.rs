//! Identifies requests that their callers send again, and parts of prompts that requests share.

use std::fmt;
use std::sync::OnceLock;

use bytes::Bytes;
use http::{Method, Uri};
use sha2::{Digest, Sha256};
use swiftlink_types::{PoolName, WorkspaceName};

/// Length of a fingerprint in bytes.
pub const LEN: usize = 16;
/// Bit of the first byte that is set in fingerprints of parts and clear in those of requests.
const PART_BIT: u8 = 1;

/// Hash of what may crash a server: a whole request, or a part of the prompts of several.
///
/// That of a request covers what all attempts of a caller at it have in common: method, host, path,
/// workspace and body. A workspace can't make a request that has the fingerprint of another
/// workspace's request. Parts are shared by workspaces; their fingerprint covers the pool and the id.
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

/// The parts of a prompt that the prompts of other requests for the same pool may share. The
/// fingerprints are computed on first use, since most requests never need them.
#[derive(Debug)]
pub struct PromptParts {
    pool: PoolName,
    ids: Vec<String>,
    fingerprints: OnceLock<Vec<Fingerprint>>,
}

impl PromptParts {
    /// The parts with these ids, of a prompt for `pool`.
    #[must_use]
    pub fn new(pool: PoolName, ids: Vec<String>) -> Self {
        Self {
            pool,
            ids,
            fingerprints: OnceLock::new(),
        }
    }

    /// Fingerprints of the parts, in their order in the prompt.
    #[must_use]
    pub fn fingerprints(&self) -> &[Fingerprint] {
        self.fingerprints.get_or_init(|| {
            let ids = self.ids.iter();
            ids.map(|id| Fingerprint::of_part(&self.pool, id)).collect()
        })
    }
}

/// The fingerprints for logs; `-` if there are none.
impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some((first, others)) = self.fingerprints().split_first() else {
            return write!(f, "-");
        };
        write!(f, "{first}")?;
        others.iter().try_for_each(|other| write!(f, ",{other}"))
    }
}

/// Identity of a request across retries by its caller. The fingerprint is computed on first use,
/// since most requests never need it.
#[derive(Debug)]
pub struct RequestIdentity {
    content: Content,
    parts: PromptParts,
    fingerprint: OnceLock<Fingerprint>,
}

impl RequestIdentity {
    /// The identity of a request with this content and these parts of its prompt.
    #[must_use]
    pub fn new(content: Content, parts: PromptParts) -> Self {
        Self {
            content,
            parts,
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

    /// The parts of the prompt that other requests may share.
    #[must_use]
    pub fn parts(&self) -> &PromptParts {
        &self.parts
    }

    /// All of the request that may crash a server: the request itself, then the parts.
    pub fn suspects(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        let parts = self.parts.fingerprints().iter().copied();
        std::iter::once(self.fingerprint()).chain(parts)
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(content: &Content) -> Self {
        let path = content.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let workspace = content.workspace.as_ref().map_or("", WorkspaceName::as_str);
        let fields = [workspace, content.method.as_str(), &content.host, path];
        let fields = fields.map(str::as_bytes).into_iter();
        let mut bytes = hash(fields.chain([&content.body[..]]));
        bytes[0] &= !PART_BIT;
        Self(bytes)
    }

    /// Computes the fingerprint of a part of the prompts that `pool` gets.
    #[must_use]
    pub fn of_part(pool: &PoolName, id: &str) -> Self {
        let mut bytes = hash([pool.as_str(), id].map(str::as_bytes).into_iter());
        bytes[0] |= PART_BIT;
        Self(bytes)
    }

    /// Whether this is the fingerprint of a part, not of a request.
    #[must_use]
    pub fn is_part(&self) -> bool {
        self.0[0] & PART_BIT != 0
    }

    /// The fingerprint's bytes, for other routers.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Hash of several fields. Each is prefixed with its length, so that bytes can't move from the end of
/// one field to the start of the next without changing the hash.
fn hash<'a>(fields: impl Iterator<Item = &'a [u8]>) -> [u8; LEN] {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    let digest = hash.finalize();
    let mut bytes = [0; LEN];
    bytes.copy_from_slice(&digest[..LEN]);
    bytes
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
