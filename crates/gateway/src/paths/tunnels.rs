//! Opens connections to backend servers for other routers.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::{TunnelRefusal, TunnelTarget};
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, ServerInstance, ServerName};
use swiftlink_wire::link::{OpenTunnel, TunnelState};
use tokio::sync::{Semaphore, TryAcquireError};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::dial::{Dialer, connect};
use crate::fleet::Pools;

/// Maximum time for connecting to a server, whatever the peer asks for.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(400);
/// Interval at which a shutdown checks whether all tunnels have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves tunnels to this router's servers. It connects directly only, so a tunnel crosses one other
/// router at most.
#[derive(Debug)]
pub(crate) struct TunnelServer {
    pools: Arc<Pools>,
    dialer: Arc<Dialer>,
    permits: Arc<Semaphore>,
    /// Maximum number of tunnels.
    max: usize,
    leaving: CancellationToken,
}

impl TunnelServer {
    /// Serves up to `max` tunnels.
    pub(crate) fn new(pools: Arc<Pools>, dialer: Arc<Dialer>, max: usize) -> Self {
        Self {
            pools,
            dialer,
            permits: Arc::new(Semaphore::new(max)),
            max,
            leaving: CancellationToken::new(),
        }
    }

    /// Number of open tunnels.
    pub(crate) fn len(&self) -> usize {
        self.max - self.permits.available_permits()
    }

    /// Opens no further tunnels, and waits until the open ones have ended, or until `end`.
    pub(crate) async fn stop(&self, end: Instant) {
        self.leaving.cancel();
        while self.len() > 0 && Instant::now() < end {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Connects to the server that a peer asks for.
    ///
    /// # Errors
    /// Why there is no connection.
    pub(crate) async fn open(
        &self,
        peer: &str,
        target: &OpenTunnel,
    ) -> Result<TunnelTarget, TunnelRefusal> {
        let refusal = |state| TunnelRefusal {
            state,
            tunnels: u32::try_from(self.len()).unwrap_or(u32::MAX),
        };
        if self.leaving.is_cancelled() {
            return Err(refusal(TunnelState::Full));
        }
        let permit = match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => permit,
            Err(TryAcquireError::NoPermits | TryAcquireError::Closed) => {
                return Err(refusal(TunnelState::Full));
            }
        };
        let pool = self.pools.get(&PoolName::from(target.pool.as_str()));
        let name = ServerName::from(target.server.as_str());
        let instance = ServerInstance::new(name, target.born);
        let found = pool.and_then(|pool| pool.find(&instance));
        let server = found.filter(|server| server.eligibility.block_reason().is_none());
        let Some(server) = server else {
            return Err(refusal(TunnelState::Closed));
        };
        let server = server.destination;
        let state = server.path.state();
        if state.is_relayed {
            return Err(refusal(TunnelState::Cut));
        }
        let time = Duration::from_millis(u64::from(target.wait_ms)).min(MAX_CONNECT_TIME);
        let Ok(stream) = connect(server.address, Instant::now() + time).await else {
            // Tells whether the server is down, or the path of this router.
            self.dialer.suspects().on_failed(&server);
            return Err(refusal(TunnelState::Unreachable));
        };
        event!(debug, "tunnel.opened", peer = peer, server = instance.name);
        Ok(TunnelTarget {
            stream,
            permit,
            tunnels: u32::try_from(self.len()).unwrap_or(u32::MAX),
            leaving: self.leaving.clone(),
            hung: Box::pin(async move { server.path.until_hung(state.generation).await }),
        })
    }
}
