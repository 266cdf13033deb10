//! Identity of a run of a backend server.

use crate::name::ServerName;
use crate::time::WallMs;

/// One run of a backend server, from start to exit. A server may restart under the same name; what
/// is known about one instance does not apply to the next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerInstance {
    /// Name of the server.
    pub name: ServerName,
    /// Start time by the server's clock; 0 if unknown.
    pub started: WallMs,
}

impl ServerInstance {
    /// Creates the identity of the instance of server `name` that started at `started`.
    #[must_use]
    pub fn new(name: ServerName, started: WallMs) -> Self {
        Self { name, started }
    }
}

/// An instance with an unknown start time.
impl From<ServerName> for ServerInstance {
    fn from(name: ServerName) -> Self {
        Self::new(name, 0)
    }
}
