//! Idle connections, pooled per thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use swiftlink_link::TunnelUse;
use tokio::time::Instant;

use super::guard::ReadGuard;
use super::{Endpoint, Recipient};
use crate::clock::steady_millis;
use crate::paths::PathState;

/// Maximum number of idle connections per thread and endpoint.
const MAX_IDLE: usize = 64;
/// How long an idle connection is kept if the other side doesn't specify a timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two searches for expired idle connections, each of which holds a file descriptor.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

pub(super) type Sender = SendRequest<Full<Bytes>>;

/// A connection to a server, with at most one request.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: Sender,
    pub(super) guard: ReadGuard,
    /// Generation of the path when it was opened.
    pub(super) generation: u64,
    /// Set if it goes through another router.
    pub(super) tunnel: Option<Arc<TunnelUse>>,
}

impl Connection {
    /// Marks it as carrying a request, or as idle.
    pub(super) fn set_busy(&self, is_busy: bool) {
        if let Some(tunnel) = &self.tunnel {
            tunnel.set_busy(is_busy);
        }
    }

    fn is_closing(&self) -> bool {
        let tunnel = self.tunnel.as_ref();
        self.sender.is_closed() || tunnel.is_some_and(|tunnel| tunnel.is_leaving())
    }
}

/// A connection that no request uses.
struct Idle {
    connection: Connection,
    /// When the other side may close it, in milliseconds of the VM's monotonic clock, which also
    /// advances while this VM is suspended.
    expires: u64,
}

impl Idle {
    fn is_usable(&self, now: u64) -> bool {
        !self.connection.is_closing() && now < self.expires
    }
}

/// The idle connections of a thread.
struct IdlePool {
    lists: HashMap<Endpoint, Vec<Idle>>,
    pruned_at: Instant,
}

impl IdlePool {
    fn new() -> Self {
        Self {
            lists: HashMap::new(),
            pruned_at: Instant::now(),
        }
    }

    fn put(&mut self, endpoint: Endpoint, idle: Idle) {
        self.prune();
        let list = self.lists.entry(endpoint).or_default();
        if list.len() < MAX_IDLE {
            list.push(idle);
        }
    }

    fn take(&mut self, endpoint: Endpoint, path: PathState) -> Option<Connection> {
        let list = self.lists.get_mut(&endpoint)?;
        let now = steady_millis();
        while let Some(idle) = list.pop() {
            let is_tunnel = idle.connection.tunnel.is_some();
            let may_reuse = path.may_reuse(idle.connection.generation, is_tunnel);
            if idle.is_usable(now) && may_reuse {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Drops connections that can't be reused, and endpoints without connections.
    fn prune(&mut self) {
        let now = Instant::now();
        if now < self.pruned_at + PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        let now = steady_millis();
        self.lists.retain(|_, list| {
            list.retain(|idle| idle.is_usable(now));
            !list.is_empty()
        });
    }
}

thread_local! {
    static IDLE: RefCell<IdlePool> = RefCell::new(IdlePool::new());
}

/// Takes an idle connection to `recipient`, if there is one.
pub(super) fn take(recipient: &Recipient) -> Option<Connection> {
    let path = recipient.path();
    IDLE.with_borrow_mut(|pool| pool.take(recipient.endpoint, path))
}

/// A connection in use by a response.
#[derive(Debug)]
pub struct Lease {
    pub(super) endpoint: Endpoint,
    pub(super) connection: Option<Connection>,
}

impl Lease {
    /// Returns the connection to the pool for the next request; call it once the body has ended.
    pub fn recycle(&mut self) {
        self.recycle_for(DEFAULT_IDLE_TIMEOUT);
    }

    /// Like [`Self::recycle`], but keeps the idle connection for no longer than `timeout`.
    pub fn recycle_for(&mut self, timeout: Duration) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        connection.set_busy(false);
        if connection.is_closing() {
            return;
        }
        let expires = steady_millis() + timeout.as_millis() as u64;
        let idle = Idle {
            connection,
            expires,
        };
        IDLE.with_borrow_mut(|pool| pool.put(self.endpoint, idle));
    }
}
