//! Answers routers that ask for permits, if this router is an allocator of the server.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::{ServerInstance, ServerName, VmName};
use swiftlink_wire::link::{AskPermits, Permits};

use super::allocator::{Allocation, Allocator, Observation, Query, Role};
use crate::clock::steady_millis;
use crate::quota::PeerClient;

/// Access to the routers that allocate permits.
pub(crate) trait Allocators: PeerClient {
    /// This router.
    fn own(&self) -> &VmName;

    /// The allocators of a server, in order; empty while the members of the fleet aren't known.
    fn allocators(&self, server: &ServerInstance) -> Vec<VmName>;
}

/// Issues permits to this router and to others.
#[derive(Debug)]
pub(crate) struct Coordinator {
    peers: Arc<dyn Allocators>,
    allocator: Mutex<Allocator>,
    /// Servers that permits were ever issued for, for the log.
    logged: Mutex<HashSet<ServerInstance>>,
}

impl Coordinator {
    /// Creates the state of a router that has issued no permits.
    pub(crate) fn new(peers: Arc<dyn Allocators>) -> Self {
        Self {
            peers,
            allocator: Mutex::default(),
            logged: Mutex::default(),
        }
    }

    /// Answers a query of this router or of another one; `None` if this router isn't an allocator of
    /// the server.
    pub(crate) fn allocate(&self, query: &Query<'_>) -> Option<Allocation> {
        let order = self.peers.allocators(query.server);
        let place = order.iter().position(|vm| vm == self.peers.own())?;
        let role = match place {
            0 => Role::First,
            _ => Role::Backup,
        };
        self.log_first(query, role);
        let mut allocator = self.allocator.lock();
        let allocator = allocator.as_mut().unwrap_or_else(|error| error.get_mut());
        Some(allocator.allocate(steady_millis(), role, query))
    }

    /// Logs the first query for a server.
    fn log_first(&self, query: &Query<'_>, role: Role) {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.contains(query.server) {
            return;
        }
        logged.insert(query.server.clone());
        event!(
            info,
            "limit.allocating",
            server = query.server.name,
            rate = query.observation.rate,
            told_by = query.peer,
            role = format!("{role:?}"),
        );
    }

    /// Answers a message of another router.
    pub(crate) fn reply_to(&self, peer: &str, ask: &AskPermits) -> Permits {
        let name = ServerName::from(ask.server.as_str());
        let server = ServerInstance::new(name, ask.born);
        let query = Query {
            server: &server,
            peer,
            observation: Observation {
                rate: ask.rate,
                named: Duration::from_millis(ask.named_ms),
                unnamed: ask.unnamed_ms.map(Duration::from_millis),
            },
            want: ask.want,
        };
        let is_valid = ask.rate.is_finite() && ask.rate > 0.0;
        match self.allocate(&query).filter(|_| is_valid) {
            Some(allocation) => Permits {
                count: allocation.count,
                rate: allocation.rate,
                retry_ms: allocation.retry.as_millis() as u64,
                sharers: allocation.sharers,
                elsewhere: false,
            },
            None => Permits {
                elsewhere: true,
                ..Permits::default()
            },
        }
    }
}
