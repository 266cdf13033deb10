//! One version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_routing::Warmup;
use swiftlink_types::{PoolName, RegionName, Tokens, WorkspaceName};

use super::table::RouteTable;

/// A whole configuration; versions only grow.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// Routes.
    pub routes: RouteTable,
    /// Pools of backend servers.
    pub pools: HashMap<PoolName, Arc<PoolSpec>>,
    /// What a caller's request may measure.
    pub limits: RequestLimits,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceName, Arc<Workspace>>,
    /// Workspaces by their callers' keys.
    pub keys: HashMap<Box<str>, Arc<Workspace>>,
}

/// A pool of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// Its name.
    pub name: PoolName,
    /// Most output tokens that one event of a stream holds; `None` where the servers are
    /// no model engines.
    pub stride: Option<u64>,
    /// Longest pause between two events that callers of all its routes accept.
    pub pause: Option<Duration>,
    /// What a server bears after its start; `None` where a start makes no difference.
    pub warmup: Option<Warmup>,
}

/// What a caller's request may measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest body, in bytes.
    pub body: usize,
}

/// A workspace: who prepays and is charged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Rank of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions whose servers may get its requests; all where there are none.
    pub homes: Vec<RegionName>,
    /// Tokens that it may spend in all; `None`: as many as it likes.
    pub prepaid: Option<Tokens>,
}
