//! What routers tell each other of the servers.

use swiftlink_types::ServerInstance;

use crate::flow::Flow;

/// News of one server, from one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The start of the server that they are of.
    pub server: ServerInstance,
    /// Tokens of the router's prompts that the server still has to read.
    pub unread: u64,
    /// How the events of its streams lately followed each other.
    pub flows: Vec<Flow>,
    /// Prefixes that it sent there.
    pub prefixes: Vec<u64>,
}

/// What a router has not told its peers yet of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct News {
    pub(crate) is_due: bool,
    pub(crate) flows: Vec<Flow>,
    pub(crate) prefixes: Vec<u64>,
}

/// Most flows, and most prefixes, of one server in a note: more come with the next one.
pub(crate) const NEWS_MOST: usize = 32;
