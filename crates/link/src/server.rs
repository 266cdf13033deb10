//! Accepts connections and serves the peers that authenticate.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use swiftlink_fetch::set_timeouts;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::replies::SharedHandler;
use crate::{Handler, Secret, handshake, session, tunnel};

/// Maximum number of connections in the handshake at once; further ones are dropped.
const MAX_HANDSHAKES: usize = 256;

/// Delay after a failed accept, whose usual cause is too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running server.
pub struct Server {
    address: SocketAddr,
    refused: Arc<AtomicU64>,
    stop: DropGuard,
    task: JoinHandle<()>,
}

/// State shared by all connections of a server.
struct Shared {
    name: String,
    secret: Secret,
    handler: SharedHandler,
    handshakes: Semaphore,
    refused: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl Server {
    /// Serves `handler` on a bound listener; `name` is what clients see as the peer.
    ///
    /// Must be called within a tokio runtime.
    ///
    /// # Errors
    /// When the listener can't be used.
    pub fn bind(
        listener: std::net::TcpListener,
        name: &str,
        secret: Secret,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;

        let stop = CancellationToken::new();
        let refused = Arc::new(AtomicU64::new(0));
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            secret,
            handler,
            handshakes: Semaphore::new(MAX_HANDSHAKES),
            refused: Arc::clone(&refused),
            stop: stop.clone(),
        });
        Ok(Self {
            address,
            refused,
            stop: stop.drop_guard(),
            task: tokio::spawn(accept(listener, shared)),
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections dropped because the peer did not authenticate in time or
    /// too many were in the handshake.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and requests, waits up to one second for the
    /// handlers to end, and joins all tasks.
    pub async fn stop(self) {
        self.stop.disarm().cancel();
        // The runtime has already reported a panic of the task.
        let _ended = self.task.await;
    }
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _from)) => {
                    connections.spawn(serve_connection(socket, Arc::clone(&shared)));
                }
                Err(_error) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_ended) = connections.join_next() => {}
            () = shared.stop.cancelled() => break,
        }
    }

    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves the connection if its peer authenticates.
async fn serve_connection(socket: TcpStream, shared: Arc<Shared>) {
    let Ok(permit) = shared.handshakes.try_acquire() else {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        return;
    };
    if set_timeouts(&socket).is_err() {
        return;
    }

    let authenticated = tokio::select! {
        authenticated = handshake::accept(socket, &shared.name, &shared.secret) => authenticated,
        () = shared.stop.cancelled() => return,
    };
    drop(permit);
    let Ok(authenticated) = authenticated else {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let handler = Arc::clone(&shared.handler);
    if let Some(target) = &authenticated.tunnel {
        let opened = tokio::select! {
            opened = handler.open_tunnel(&authenticated.peer, target) => opened,
            () = shared.stop.cancelled() => return,
        };
        tunnel::serve(authenticated, opened, shared.stop.clone()).await;
        return;
    }
    session::serve(authenticated, handler, shared.stop.clone()).await;
}
