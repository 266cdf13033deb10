//! One connection: its limits, and its end by the client or by a stop of the server.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;
use std::io::{self, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr, TcpStream as StdStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use xitca_io::net::{Stream, TcpStream as HttpStream};
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

use super::bounded_stream::Surplus;
use super::connections::{Connections, Registration};
use super::gate::Gate;
use super::intake::Intake;
use super::memory::BodyMemory;
use super::meter::Meter;

const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";
/// How long a refused connection stays open, so that its client can read the response.
const LINGER: Duration = Duration::from_millis(500);
/// Maximum number of refused connections that get a response; further ones are just
/// closed.
pub(super) const MAX_REFUSALS: usize = 64;
const KEEPALIVE_PROBES: u32 = 3;
/// How long a new connection may take to begin its first request once the server stops.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Interval at which a stop checks the accepted connections that aren't registered yet.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

tokio::task_local! {
    /// The connection that the current future serves.
    pub(super) static CURRENT: Rc<Connection>;
}

/// State that all connections of a server share.
pub(super) struct Shared {
    pub(super) connections: Arc<Connections>,
    /// One permit for each refused connection that may get a response.
    pub(super) refusals: Semaphore,
    /// Whether new connections are accepted.
    pub(super) gate: Arc<Gate>,
    /// What became of new connections.
    pub(super) intake: Arc<Intake>,
    /// Cancelled when the server stops: no new requests.
    pub(super) stop: CancellationToken,
    /// Cancelled when the listener is closed and the accept queue is empty.
    pub(super) closed: CancellationToken,
    /// Number of accepted connections that are neither registered nor refused yet.
    pub(super) arriving: AtomicUsize,
    /// Cancelled when the grace period of a stop has expired.
    pub(super) abort: CancellationToken,
    /// See [`Limits::stall`](super::Limits::stall).
    pub(super) stall: Duration,
    /// See [`Limits::receive_buffer`](super::Limits::receive_buffer).
    pub(super) receive_buffer: usize,
    /// Memory of the bodies of requests.
    pub(super) memory: Arc<BodyMemory>,
    /// Bytes of requests and responses.
    pub(super) meter: Arc<Meter>,
}

impl Shared {
    /// Resolves when the listener is closed and every accepted connection was registered
    /// or refused.
    pub(super) async fn all_arrived(&self) {
        self.closed.cancelled().await;
        while self.arriving.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// A duplicate of a connection's socket, used to watch and close the connection while
/// xitca's dispatcher reads and writes it.
pub(super) struct Connection {
    socket: TcpStream,
    pub(super) registration: Registration,
    busy: Cell<bool>,
    /// Cancelled when the first request has begun.
    begun: CancellationToken,
    /// When the client has to have taken the response in flight.
    deadline: Cell<Option<Instant>>,
    /// Notified when a deadline is set.
    deadline_set: Notify,
    closing: Cell<bool>,
    shut: Cell<bool>,
    /// Bytes of the client that neither a head nor content account for.
    pub(super) surplus: Surplus,
    /// Memory of the bodies of all connections.
    pub(super) memory: Arc<BodyMemory>,
    /// Bytes of requests and responses of all connections.
    pub(super) meter: Arc<Meter>,
}

impl Connection {
    fn open(socket: &StdStream, shared: &Shared, registration: Registration) -> io::Result<Self> {
        let stall = shared.stall;
        let watched = socket.try_clone()?;
        let options = SockRef::from(&watched);
        options.set_tcp_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(stall)
            .with_interval(stall / KEEPALIVE_PROBES)
            .with_retries(KEEPALIVE_PROBES);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(stall))?;
        Ok(Self {
            socket: TcpStream::from_std(watched)?,
            registration,
            busy: Cell::new(false),
            begun: CancellationToken::new(),
            deadline: Cell::new(None),
            deadline_set: Notify::new(),
            closing: Cell::new(false),
            shut: Cell::new(false),
            surplus: Surplus::default(),
            memory: Arc::clone(&shared.memory),
            meter: Arc::clone(&shared.meter),
        })
    }

    /// Marks the connection as busy with a request.
    pub(super) fn begin(&self) {
        self.busy.set(true);
        self.surplus.on_head();
        self.registration.begin();
        self.begun.cancel();
    }

    /// Marks the connection as idle: the dispatcher has the complete response, or the
    /// response was dropped.
    pub(super) fn end(&self) {
        self.busy.set(false);
        self.deadline.set(None);
        self.registration.end();
        if self.closing.get() {
            self.shut_read();
        }
    }

    /// Sets when the client has to have taken the response in flight.
    pub(super) fn set_deadline(&self, deadline: Instant) {
        self.deadline.set(Some(deadline));
        self.deadline_set.notify_one();
    }

    /// Resolves when the client hasn't taken a response by its deadline.
    async fn overdue(&self) {
        loop {
            let deadline = self.deadline.get();
            let passed = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = passed => {
                    if self.deadline.get() == deadline {
                        return;
                    }
                }
                () = self.deadline_set.notified() => {}
            }
        }
    }

    /// Whether the connection closes after the request in flight.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether the client has closed its sending half and everything it sent was read.
    pub(super) fn peer_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.socket).peek(&mut byte), Ok(0))
    }

    fn close_when_idle(&self) {
        self.closing.set(true);
        if !self.busy.get() {
            self.shut_read();
        }
    }

    /// Makes the dispatcher's next read return end of file, upon which it writes the rest
    /// of the response and closes the connection.
    fn shut_read(&self) {
        self.shut.set(true);
        // Fails only when the connection is gone already.
        let _result = SockRef::from(&self.socket).shutdown(Shutdown::Read);
    }

    /// Resolves when the client closes the connection or its sending half.
    async fn hangup(&self) {
        loop {
            let Ok(ready) = self.socket.ready(Interest::READABLE).await else {
                return;
            };
            if ready.is_read_closed() {
                break;
            }
            // Clears this readiness without reading, so that the next event wakes the task.
            let blocked = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
            let _result = self.socket.try_io(Interest::READABLE, blocked);
        }
        if self.shut.get() {
            pending::<()>().await;
        }
    }

    /// Closes the connection once it should make room for another one. Resolves if there is no request
    /// in flight that needs a response.
    async fn make_room(&self) {
        let open = &self.registration.connection;
        tokio::select! {
            () = open.evicted.cancelled() => {
                if !self.busy.get() {
                    return;
                }
            }
            () = open.closing.cancelled() => {}
        }
        self.close_when_idle();
        pending().await
    }

    async fn stopped(&self, shared: &Shared) {
        shared.stop.cancelled().await;
        // The first request may be in flight, and clients don't retry a request that
        // failed on a new connection.
        let _late = tokio::time::timeout(FIRST_WAIT, self.begun.cancelled()).await;
        self.close_when_idle();
        shared.abort.cancelled().await;
    }
}

/// Middleware that wraps the HTTP service in [`ConnectionHandler`].
pub(super) struct ConnectionLayer(pub(super) Arc<Shared>);

impl<S, E> Service<Result<S, E>> for ConnectionLayer {
    type Response = ConnectionHandler<S>;
    type Error = E;

    async fn call(&self, http: Result<S, E>) -> Result<Self::Response, E> {
        Ok(ConnectionHandler {
            http: http?,
            shared: Arc::clone(&self.0),
        })
    }
}

/// Service that enforces the connection limit and serves each connection.
pub(super) struct ConnectionHandler<S> {
    http: S,
    shared: Arc<Shared>,
}

impl<S> ConnectionHandler<S> {
    /// Closes a connection above the limit; with a response, unless there are too many of them.
    async fn reject(&self, socket: StdStream) {
        let Ok(_refusal) = self.shared.refusals.try_acquire() else {
            self.shared.intake.count_closed();
            return;
        };
        self.shared.intake.count_refused();
        refuse(socket).await;
    }
}

impl<S: Service<(HttpStream, SocketAddr)>> Service<Stream> for ConnectionHandler<S> {
    type Response = ();
    type Error = Infallible;

    async fn call(&self, stream: Stream) -> Result<(), Infallible> {
        let Stream::Tcp(socket, peer) = stream else {
            return Ok(());
        };
        let registration = self.shared.connections.register().await;
        self.shared.arriving.fetch_sub(1, Ordering::SeqCst);
        let Some(registration) = registration else {
            self.reject(socket).await;
            return Ok(());
        };
        self.shared.intake.count_taken();
        let Ok(connection) = Connection::open(&socket, &self.shared, registration) else {
            return Ok(());
        };
        let connection = Rc::new(connection);
        let Ok(stream) = HttpStream::from_std(socket) else {
            return Ok(());
        };
        let work = self.http.call((stream, peer));
        tokio::select! {
            biased;
            _result = CURRENT.scope(Rc::clone(&connection), work) => {}
            () = connection.hangup() => {}
            () = connection.stopped(&self.shared) => {}
            () = connection.make_room() => {}
            () = connection.overdue() => {}
        }
        Ok(())
    }
}

impl<S> ReadyService for ConnectionHandler<S> {
    type Ready = ();

    async fn ready(&self) {}
}

/// Responds with 503, as there are too many connections.
async fn refuse(mut socket: StdStream) {
    // The send buffer is empty, so this can't block. A failure means that the client has
    // disconnected.
    if socket.write_all(BUSY_RESPONSE).is_err() || socket.shutdown(Shutdown::Write).is_err() {
        return;
    }
    // Closing with unread data would reset the connection before the client has read
    // the response.
    tokio::time::sleep(LINGER).await;
}
