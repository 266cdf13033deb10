//! This router's network paths to backend servers, and the paths through other routers that take
//! their place.
//!
//! A server that this router can't reach may be reachable for others. So where a connection isn't
//! made at once, another router is asked for a tunnel to the server ([`Tunnel`]), and the request
//! goes out on whichever opens first. Nothing of a request is sent before that, and the tunnel
//! carries bytes only: server, quota, retries, limits and deadline are decided here, as without it.
//!
//! - [`ServerPath`] says which connections to a server may carry requests, and which ones hang.
//! - [`Dialer`] opens connections, directly or through a tunnel.
//! - `check` finds connections that hang, and the end of a cut.
//! - [`Helpers`] asks other routers for tunnels, in the order that [`HelperBook`] returns.
//! - `tunnels` opens connections for other routers, always over a direct connection.

mod book;
mod check;
mod dial;
mod helpers;
mod path;
mod tunnels;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use swiftlink_link::{Tunnel, TunnelError};
use swiftlink_types::{PoolName, ServerInstance, VmName};

pub use book::{HelperBook, MAX_ASKED};
pub(crate) use check::run;
pub use check::{Destination, SUSPECT_AFTER, Suspects};
pub use dial::{Dialed, Dialer, ProbeError};
pub use helpers::{Helpers, NoTunnel};
pub use path::{PathState, PathWatch, ServerPath};
pub(crate) use tunnels::TunnelServer;

/// A backend server that tunnels are opened to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerId {
    /// Pool of the server.
    pub pool: PoolName,
    /// Name and start time.
    pub instance: ServerInstance,
}

/// Opens tunnels through other routers.
#[async_trait]
pub trait Tunnels: std::fmt::Debug + Send + Sync {
    /// The routers that may be asked: those of the own failure domain, and all others.
    fn candidates(&self) -> (Vec<VmName>, Vec<VmName>);

    /// Opens a tunnel to a server through the router on `vm`.
    ///
    /// # Errors
    /// Why there is none; no byte reached the server.
    async fn open(
        &self,
        vm: &VmName,
        target: &ServerId,
        time: std::time::Duration,
    ) -> Result<Tunnel, TunnelError>;
}

/// The paths to all listed server instances.
#[derive(Debug, Default)]
pub struct Paths(Mutex<HashMap<ServerInstance, Arc<ServerPath>>>);

impl Paths {
    /// The path to a server instance that is listed now.
    #[must_use]
    pub fn of(&self, instance: &ServerInstance) -> Arc<ServerPath> {
        let mut paths = self.lock();
        let path = paths.entry(instance.clone()).or_default();
        Arc::clone(path)
    }

    /// Removes the paths that nothing else refers to.
    pub fn prune(&self) {
        self.lock().retain(|_, path| Arc::strong_count(path) > 1);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ServerInstance, Arc<ServerPath>>> {
        // The map is consistent between any two calls.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
