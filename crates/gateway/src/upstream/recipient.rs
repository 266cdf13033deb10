//! Where requests are sent, and how connections are opened.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use swiftlink_fetch::set_timeouts;
use swiftlink_types::ServerInstance;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::SendError;
use super::guard::ReadGuard;
use super::idle::Connection;
use crate::paths::{Destination, Dialed, Dialer, PathState, PathWatch};

/// A server instance at an address. A connection is reused only for the instance that it was
/// opened to: when an instance ends behind a network partition, its connections still look open,
/// and a request sent on one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    pub(super) address: SocketAddr,
    /// Hash of the server's name and start time; 0 for whichever process listens.
    instance: u64,
}

impl Endpoint {
    /// The endpoint of a server instance.
    #[must_use]
    pub fn of(address: SocketAddr, instance: &ServerInstance) -> Self {
        let name = instance.name.as_str().as_bytes();
        Self {
            address,
            instance: xxh3_64_with_seed(name, instance.started),
        }
    }
}

/// Whichever process listens at an address.
impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            instance: 0,
        }
    }
}

/// The process that a request is sent to.
#[derive(Clone, Debug)]
pub struct Recipient {
    pub(super) endpoint: Endpoint,
    /// The server and what opens connections to it; `None` for a process that other routers don't
    /// open tunnels to.
    server: Option<(Destination, Arc<Dialer>)>,
}

impl From<Endpoint> for Recipient {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            server: None,
        }
    }
}

impl Recipient {
    /// A backend server, to which `dialer` opens connections.
    #[must_use]
    pub fn server(server: Destination, dialer: Arc<Dialer>) -> Self {
        Self {
            endpoint: Endpoint::of(server.address, &server.id.instance),
            server: Some((server, dialer)),
        }
    }

    /// State of the path.
    pub(super) fn path(&self) -> PathState {
        let server = self.server.as_ref();
        server.map_or_else(PathState::default, |(server, _)| server.path.state())
    }

    /// A watch over the path of a connection.
    pub(super) fn watch(&self, connection: &Connection) -> Option<PathWatch> {
        let (server, dialer) = self.server.as_ref()?;
        let is_relayed = connection.tunnel.is_some();
        Some(dialer.watch(server, connection.generation, is_relayed))
    }

    /// Opens a connection.
    pub(super) async fn connect(&self, limit: Duration) -> Result<Connection, SendError> {
        let Some((server, dialer)) = &self.server else {
            let stream = connect(self.endpoint.address, limit).await?;
            return handshake(stream).await;
        };
        let (dialed, generation) = dialer.dial(server, limit).await?;
        match dialed {
            Dialed::Direct(stream) => Ok(Connection {
                generation,
                ..handshake(stream).await?
            }),
            Dialed::Relayed(tunnel) => Ok(Connection {
                generation,
                tunnel: Some(tunnel.state()),
                ..handshake(tunnel).await?
            }),
        }
    }
}

/// Makes a connection for requests of a direct one that belongs to this generation of its path.
pub(super) async fn adopt(stream: TcpStream, generation: u64) -> Result<Connection, SendError> {
    let options = set_timeouts(&stream);
    options.map_err(|error| SendError::NotSent(format!("setting socket options: {error}")))?;
    Ok(Connection {
        generation,
        ..handshake(stream).await?
    })
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, SendError> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| SendError::Unreachable)?
        .map_err(|error| SendError::NotSent(format!("connect: {error}")))?;
    if let Err(error) = stream.set_nodelay(true) {
        return Err(SendError::NotSent(format!("set TCP_NODELAY: {error}")));
    }
    Ok(stream)
}

/// Makes a connection for requests of a direct one whose path isn't watched.
async fn handshake<S>(stream: S) -> Result<Connection, SendError>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let guard = ReadGuard::default();
    let stream = TokioIo::new(guard.wrap(stream));
    let (sender, connection) = http1::handshake::<_, Full<Bytes>>(stream)
        .await
        .map_err(|error| SendError::NotSent(format!("handshake: {error}")))?;
    tokio::spawn(async move {
        // The request that uses the connection gets the error too.
        let _ended = connection.await;
    });
    Ok(Connection {
        sender,
        guard,
        generation: 0,
        tunnel: None,
    })
}
