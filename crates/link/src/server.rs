//! Accepts connections and serves the peers that prove the secret.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::replies::SharedHandler;
use crate::{Handler, Secret, handshake, session};

/// Connections that may be in the handshake at once; more are dropped.
const MAX_STRANGERS: usize = 256;

/// Pause after a failed accept, which mostly means too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running server.
pub struct Server {
    address: SocketAddr,
    refused: Arc<AtomicU64>,
    stop: DropGuard,
    task: JoinHandle<()>,
}

/// What all connections of a server share.
struct Shared {
    name: String,
    secret: Secret,
    handler: SharedHandler,
    strangers: Semaphore,
    refused: Arc<AtomicU64>,
    stop: CancellationToken,
}

impl Server {
    /// Serves `handler` on a bound listener under the server's `name`.
    ///
    /// # Errors
    /// When the listener can't be used. Must be called inside tokio.
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
            strangers: Semaphore::new(MAX_STRANGERS),
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

    /// Connections dropped because the peer did not prove the secret in time.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and requests, lets handlers end for a second,
    /// and joins all tasks.
    pub async fn stop(self) {
        self.stop.disarm().cancel();
        // A panic there has been reported by the runtime already.
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
                    connections.spawn(welcome(socket, Arc::clone(&shared)));
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

/// Serves the connection if its peer proves the secret.
async fn welcome(socket: TcpStream, shared: Arc<Shared>) {
    let Ok(place) = shared.strangers.try_acquire() else {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        return;
    };
    if socket.set_nodelay(true).is_err() {
        return;
    }

    let proved = tokio::select! {
        proved = handshake::accept(socket, &shared.name, &shared.secret) => proved,
        () = shared.stop.cancelled() => return,
    };
    drop(place);
    let Ok(proved) = proved else {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let handler = Arc::clone(&shared.handler);
    session::serve(proved, handler, shared.stop.clone()).await;
}
