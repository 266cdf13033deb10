//! A client that maintains one connection to a server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use swiftlink_fetch::set_timeouts;
use swiftlink_log::Backoff;
use swiftlink_wire::link::{reply, request};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::connection::Connection;
use crate::handshake::{self, Authenticated, HANDSHAKE_TIMEOUT, HandshakeError};
use crate::stream::ReplyStream;
use crate::{LinkError, Secret};

const BACKOFF_BASE: Duration = Duration::from_millis(20);
const BACKOFF_CAP: Duration = Duration::from_secs(1);

/// A client of one server; connects and reconnects in a background task.
pub struct Client {
    shared: Arc<Shared>,
    stop: CancellationToken,
    /// Cancels the task when the client is dropped without [`Client::stop`].
    _guard: DropGuard,
    task: Mutex<Option<JoinHandle<()>>>,
}

struct Shared {
    address: SocketAddr,
    name: String,
    secret: Secret,
    current: ArcSwapOption<Connection>,
    up: watch::Sender<bool>,
    last_error: ArcSwapOption<String>,
}

impl Client {
    /// Starts a client that identifies itself as `name`. Must be called within a tokio
    /// runtime.
    #[must_use]
    pub fn spawn(address: SocketAddr, name: &str, secret: Secret) -> Arc<Self> {
        let shared = Arc::new(Shared {
            address,
            name: name.to_owned(),
            secret,
            current: ArcSwapOption::empty(),
            up: watch::Sender::new(false),
            last_error: ArcSwapOption::empty(),
        });
        let stop = CancellationToken::new();
        let task = tokio::spawn(run(Arc::clone(&shared), stop.clone()));
        Arc::new(Self {
            shared,
            _guard: stop.clone().drop_guard(),
            stop,
            task: Mutex::new(Some(task)),
        })
    }

    /// Sends a request and waits up to `timeout` for its first, or only, reply.
    ///
    /// Closes the connection if no byte arrives within `timeout`, so `timeout` should
    /// be longer than the time that the request lets the peer take.
    ///
    /// # Errors
    /// [`LinkError::Down`] only if the request was certainly not sent; after any other
    /// error it may have been.
    pub async fn call(
        &self,
        kind: request::Kind,
        timeout: Duration,
    ) -> Result<reply::Kind, LinkError> {
        self.current()?.call(kind, timeout).await
    }

    /// Sends a request and returns the stream of its replies.
    ///
    /// # Errors
    /// [`LinkError::Down`] only if the request was certainly not sent; after any other
    /// error it may have been.
    pub async fn stream(&self, kind: request::Kind) -> Result<ReplyStream, LinkError> {
        self.current()?.stream(kind).await
    }

    /// Whether there is an authenticated connection.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.current().is_ok()
    }

    /// Name that the server reported in the handshake; `None` while there is no
    /// connection.
    #[must_use]
    pub fn peer(&self) -> Option<Arc<str>> {
        let connection = self.current().ok()?;
        Some(connection.peer())
    }

    /// Address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Why the last connection attempt failed; `None` after a successful one.
    #[must_use]
    pub fn last_error(&self) -> Option<Arc<String>> {
        self.shared.last_error.load_full()
    }

    /// Waits up to `timeout` for a connection; returns whether there is one.
    pub async fn wait_up(&self, timeout: Duration) -> bool {
        let mut up = self.shared.up.subscribe();
        let wait = up.wait_for(|up| *up);
        tokio::time::timeout(timeout, wait).await.is_ok()
    }

    /// Closes the connection and ends the background task.
    pub async fn stop(&self) {
        self.stop.cancel();
        let task = self.lock_task().take();
        if let Some(task) = task {
            // The runtime has already reported a panic of the task.
            let _ended = task.await;
        }
    }

    fn current(&self) -> Result<Arc<Connection>, LinkError> {
        let current = self.shared.current.load_full();
        current
            .filter(|connection| connection.is_up())
            .ok_or(LinkError::Down)
    }

    fn lock_task(&self) -> std::sync::MutexGuard<'_, Option<JoinHandle<()>>> {
        self.task.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("address", &self.shared.address)
            .field("up", &self.is_up())
            .finish_non_exhaustive()
    }
}

#[derive(Debug, thiserror::Error)]
enum DialError {
    #[error("connect: {0}")]
    Connect(#[from] io::Error),
    #[error("connect timed out")]
    Timeout,
    #[error("handshake: {0}")]
    Handshake(#[from] HandshakeError),
}

async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
    while !stop.is_cancelled() {
        let dialed = tokio::select! {
            dialed = shared.dial() => dialed,
            () = stop.cancelled() => return,
        };
        match dialed {
            Ok(authenticated) => {
                let start = Instant::now();
                shared.run_connection(authenticated, &stop).await;
                // If the server closes each connection at once, the backoff keeps growing.
                if start.elapsed() >= BACKOFF_CAP {
                    backoff.reset();
                }
            }
            Err(error) => shared.last_error.store(Some(Arc::new(error.to_string()))),
        }

        let delay = backoff.next(rand::random());
        tokio::select! {
            () = sleep(delay) => {}
            () = stop.cancelled() => return,
        }
    }
}

impl Shared {
    async fn dial(&self) -> Result<Authenticated, DialError> {
        let connect = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(self.address));
        let socket = connect.await.map_err(|_elapsed| DialError::Timeout)??;
        set_timeouts(&socket)?;
        Ok(handshake::connect(socket, &self.name, &self.secret).await?)
    }

    async fn run_connection(&self, authenticated: Authenticated, stop: &CancellationToken) {
        let (connection, io) = Connection::new(authenticated);
        self.last_error.store(None);
        self.current.store(Some(Arc::clone(&connection)));
        self.up.send_replace(true);

        connection.run(io, stop).await;
        self.up.send_replace(false);
        self.current.store(None);
    }
}
