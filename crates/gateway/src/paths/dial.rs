//! Opens connections to backend servers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use swiftlink_fetch::set_timeouts;
use swiftlink_link::Tunnel;
use swiftlink_telemetry::event;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout_at};

use super::check::{Destination, Suspects};
use super::{Helpers, NoTunnel, PathState, PathWatch};
use crate::upstream::SendError;

/// Delay before other routers are asked for a tunnel while the direct connection isn't made: the
/// least that RFC 8305 recommends between two connection attempts. On a busy VM, a connection may
/// take tens of milliseconds.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of tunnels that are being opened to servers whose direct paths aren't known to be
/// cut: a crashed pool must not make every request ask other routers.
const MAX_UNPROVEN: usize = 8;

/// Why a probe made no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeError {
    /// It was refused, and not only for this router: the VM is up, and no process listens.
    Refused,
    /// It was refused, and no other router can tell whether only for this one.
    RefusedHere,
    /// It was refused, and another router reaches the server.
    PathCut,
    /// It wasn't made in time, or failed for another reason.
    Unknown,
}

/// A connection to a server on which nothing has been sent.
#[derive(Debug)]
pub enum Dialed {
    /// Over this router's own path.
    Direct(TcpStream),
    /// Through another router.
    Relayed(Tunnel),
}

/// Opens connections to servers.
#[derive(Debug)]
pub struct Dialer {
    helpers: Helpers,
    suspects: Arc<Suspects>,
    unproven: Semaphore,
}

impl Default for Dialer {
    fn default() -> Self {
        Self {
            helpers: Helpers::default(),
            suspects: Arc::default(),
            unproven: Semaphore::new(MAX_UNPROVEN),
        }
    }
}

impl Dialer {
    /// The routers that open tunnels.
    #[must_use]
    pub fn helpers(&self) -> &Helpers {
        &self.helpers
    }

    /// Servers whose paths are to be checked.
    #[must_use]
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// A watch over a connection of this generation.
    #[must_use]
    pub fn watch(&self, server: &Destination, generation: u64, is_relayed: bool) -> PathWatch {
        PathWatch {
            server: server.clone(),
            generation,
            is_relayed,
            suspects: Arc::clone(&self.suspects),
        }
    }

    /// Opens a connection within `limit`. Returns it with the generation of the path that it
    /// belongs to.
    ///
    /// # Errors
    /// Why there is no connection.
    pub async fn dial(
        &self,
        server: &Destination,
        limit: Duration,
    ) -> Result<(Dialed, u64), SendError> {
        let end = Instant::now() + limit;
        if server.path.state().is_relayed
            && let Ok(tunnel) = self.helpers.open(&server.id, limit).await
        {
            return Ok((Dialed::Relayed(tunnel), server.path.state().generation));
        }
        self.race(server, end).await
    }

    /// Connects directly. If that fails or takes long, opens a tunnel at the same time and takes
    /// what is open first. A tunnel doesn't prove that the path is cut, so that is checked.
    async fn race(&self, server: &Destination, end: Instant) -> Result<(Dialed, u64), SendError> {
        let generation = server.path.state().generation;
        let direct = connect(server.address, end);
        tokio::pin!(direct);
        let refused = tokio::select! {
            connected = &mut direct => match connected {
                Ok(stream) => return Ok((Dialed::Direct(stream), generation)),
                Err(error) => Some(error),
            },
            () = sleep(TUNNEL_DELAY) => None,
        };
        let tunnel = self.open_unproven(server, end);
        tokio::pin!(tunnel);
        if let Some(error) = refused {
            let tunnel = tunnel.await.ok_or(error)?;
            self.suspects.queue(server);
            return Ok((Dialed::Relayed(tunnel), generation));
        }
        tokio::select! {
            connected = &mut direct => match connected {
                Ok(stream) => Ok((Dialed::Direct(stream), generation)),
                Err(error) => {
                    let tunnel = tunnel.await.ok_or(error)?;
                    self.suspects.queue(server);
                    Ok((Dialed::Relayed(tunnel), generation))
                }
            },
            opened = &mut tunnel => match opened {
                Some(tunnel) => {
                    self.suspects.queue(server);
                    Ok((Dialed::Relayed(tunnel), generation))
                }
                None => Ok((Dialed::Direct(direct.await?), generation)),
            },
        }
    }

    /// Opens a tunnel to a server whose direct path isn't known to be cut.
    async fn open_unproven(&self, server: &Destination, end: Instant) -> Option<Tunnel> {
        let _permit = self.unproven.try_acquire().ok()?;
        let left = end.saturating_duration_since(Instant::now());
        self.helpers.open(&server.id, left).await.ok()
    }

    /// Checks whether a process still listens at a server's address, and again through other routers
    /// if it refuses this one. Both take up to `limit`.
    ///
    /// # Errors
    /// Why there is no connection. A server that only this router can't reach isn't known to have
    /// ended.
    pub(crate) async fn probe(
        &self,
        server: &Destination,
        limit: Duration,
    ) -> Result<TcpStream, ProbeError> {
        let end = Instant::now() + limit;
        match timeout_at(end, TcpStream::connect(server.address)).await {
            Ok(Ok(stream)) => return Ok(stream),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {}
            Ok(Err(_)) | Err(_) => return Err(ProbeError::Unknown),
        }
        match self.helpers.open(&server.id, limit).await {
            Ok(_tunnel) => {
                self.suspects.queue(server);
                Err(ProbeError::PathCut)
            }
            Err(NoTunnel::Unknown) => Err(ProbeError::RefusedHere),
            Err(NoTunnel::Alone | NoTunnel::Unreachable) => Err(ProbeError::Refused),
        }
    }

    /// Another router reaches a server that this one doesn't.
    pub(super) fn on_cut(&self, server: &Destination, how: &str) {
        if server.path.update(PathState::cut) {
            event!(
                info,
                "path.cut",
                pool = server.id.pool,
                server = server.id.instance.name,
                how = how,
            );
            self.suspects.on_cut(server);
        }
    }
}

/// Connects to a server until `end`.
pub(super) async fn connect(address: SocketAddr, end: Instant) -> Result<TcpStream, SendError> {
    let stream = timeout_at(end, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| SendError::Unreachable)?
        .map_err(|error| SendError::NotSent(format!("connect: {error}")))?;
    let options = set_timeouts(&stream);
    options.map_err(|error| SendError::NotSent(format!("setting socket options: {error}")))?;
    Ok(stream)
}
