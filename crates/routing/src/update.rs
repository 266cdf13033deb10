//! Updates that routers exchange about backend servers.

use swiftlink_types::ServerInstance;

use crate::timing::StreamGaps;

/// Observations of one server by one router, for its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerUpdate {
    /// The observed server instance.
    pub server: ServerInstance,
    /// Prefill backlog: prompt tokens of the router's requests that the server has still to
    /// process.
    pub backlog: u64,
    /// Event gaps of the server's recent streams.
    pub gaps: Vec<StreamGaps>,
    /// Prefixes of the prompts sent there.
    pub prefixes: Vec<u64>,
}

/// Observations of one server that peers don't have yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingUpdate {
    pub(crate) is_due: bool,
    pub(crate) gaps: Vec<StreamGaps>,
    pub(crate) prefixes: Vec<u64>,
}

/// Maximum number of streams, and of prefixes, of one server in an update. Further ones are dropped
/// until the update is taken.
pub(crate) const MAX_UPDATE_ITEMS: usize = 32;
