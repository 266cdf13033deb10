//! One version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_routing::Warmup;
use swiftlink_types::{PoolName, RegionName, Tokens, WorkspaceName};

use super::route::Route;
use super::table::RouteTable;

/// A complete configuration. Versions only increase.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version number.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Pools of backend servers.
    pub pools: HashMap<PoolName, Arc<PoolSpec>>,
    /// Limits on requests of callers.
    pub limits: RequestLimits,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, Arc<Workspace>>,
    /// Whether requests need a key unless their route is public.
    pub needs_key: bool,
    /// Workspaces by the API keys of their callers.
    pub keys: HashMap<Box<str>, Arc<Workspace>>,
}

/// A request on a route that isn't public has no key, or one that isn't in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

impl Config {
    /// The workspace that is charged for a request on `route` with this key; `None` on a public route
    /// without a known key.
    ///
    /// # Errors
    /// When the request needs a key and has none that is in force.
    pub fn caller(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<Arc<Workspace>>, UnknownKey> {
        let known = key.and_then(|key| self.keys.get(key));
        if known.is_none() && !route.public && self.needs_key {
            return Err(UnknownKey);
        }
        Ok(known.cloned())
    }
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: PoolName,
    /// Maximum number of output tokens in one event of a stream; `None` if the servers aren't model
    /// engines.
    pub max_event_tokens: Option<u64>,
    /// Maximum gap between two events that is acceptable on all routes of the pool.
    pub max_gap: Option<Duration>,
    /// Load that a server takes after its start; `None` if it needs no warm-up.
    pub warmup: Option<Warmup>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a body, in bytes.
    pub max_body: usize,
}

/// A workspace, which prepays for tokens and is charged for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority of its requests, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions whose servers may get its requests; empty for all regions.
    pub allowed_regions: Vec<RegionName>,
    /// Total tokens it may spend; `None` for no limit.
    pub prepaid: Option<Tokens>,
}
