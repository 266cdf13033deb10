//! One start of a backend server.

use crate::name::ServerName;
use crate::time::WallMs;

/// One start of a server. A server may start again under its name; what was learned of one start,
/// by this router or another, says nothing of the next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Start {
    /// Name of the server.
    pub name: ServerName,
    /// When it started, by its own clock; 0 where it doesn't say.
    pub born: WallMs,
}

impl Start {
    /// The start of the server `name` at `born`.
    #[must_use]
    pub fn new(name: ServerName, born: WallMs) -> Self {
        Self { name, born }
    }
}

/// Of a server that doesn't say when it started.
impl From<ServerName> for Start {
    fn from(name: ServerName) -> Self {
        Self::new(name, 0)
    }
}
