//! HTTP/1 connections to backend servers and to peer routers.
//!
//! Idle connections are pooled per thread, so that the request path takes no lock
//! and a connection's driver runs on the thread that uses it. An error tells
//! whether the request may have reached the other side: a request that must not run
//! twice may be sent elsewhere only if it certainly has not.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use swiftlink_routing::ErrorKind;
use swiftlink_types::ServerInstance;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::steady_millis;
use crate::eligibility::{Admission, BlockReason};

/// Maximum number of idle connections per thread and endpoint.
const MAX_IDLE: usize = 64;
/// How long an idle connection is kept if the other side doesn't specify a timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two searches for expired idle connections, each of which holds a file descriptor.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Why no response head was received.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process: the other side refused or closed the connection.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No connection was made in time, and no byte of the request left this process.
    #[error("not sent: no connection in time")]
    Unreachable,
    /// The server may get no requests now, and no byte of this one left this process.
    #[error("not sent: {0}")]
    Withheld(BlockReason),
    /// The request was sent, in part or in whole, and no response came back.
    #[error("lost after sending: {0}")]
    Lost(String),
    /// The request was sent, and no response came in time.
    #[error("no answer in time")]
    TimedOut,
}

impl SendError {
    /// What happened, for logs and responses.
    #[must_use]
    pub fn detail(&self) -> &str {
        match self {
            Self::NotSent(detail) | Self::Lost(detail) => detail,
            Self::Unreachable => "no connection in time",
            Self::Withheld(reason) => reason.as_str(),
            Self::TimedOut => "no answer in time",
        }
    }

    /// Kind of server error for the load balancing; `None` if the error says nothing about the
    /// server.
    #[must_use]
    pub fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::NotSent(_) => Some(ErrorKind::Connect),
            Self::Unreachable => Some(ErrorKind::Unreachable),
            Self::Withheld(_) => None,
            Self::Lost(_) => Some(ErrorKind::Broken),
            Self::TimedOut => Some(ErrorKind::Timeout),
        }
    }
}

/// The connection that an attempt used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// None was made.
    None,
    /// One that was opened for the attempt.
    New,
    /// One that an earlier attempt had opened.
    Reused,
}

impl ConnectionKind {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::New => "new",
            Self::Reused => "reused",
        }
    }
}

/// A failed attempt to send a request to a server.
#[derive(Debug, thiserror::Error)]
#[error("{error} (connection: {})", connection.as_str())]
pub struct SendFailure {
    /// Why no response head was received.
    #[source]
    pub error: SendError,
    /// The connection that failed.
    pub connection: ConnectionKind,
}

impl SendFailure {
    fn new(error: SendError, connection: ConnectionKind) -> Self {
        Self { error, connection }
    }
}

/// A server instance at an address. A connection is reused only for the instance that it was
/// opened to: when an instance ends behind a network partition, its connections still look open,
/// and a request sent on one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    address: SocketAddr,
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

type Sender = SendRequest<Full<Bytes>>;

/// A connection that no request uses.
struct Idle {
    sender: Sender,
    /// When the other side may close it, in milliseconds of the VM's monotonic clock, which also
    /// advances while this VM is suspended.
    expires: u64,
}

impl Idle {
    fn is_usable(&self, now: u64) -> bool {
        !self.sender.is_closed() && now < self.expires
    }
}

/// Why no request may go to the server; `None` if one may, or if the recipient isn't a server.
fn block_reason(admission: Option<&Admission>) -> Option<BlockReason> {
    admission.and_then(Admission::block_reason)
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

    fn take(&mut self, endpoint: Endpoint) -> Option<Sender> {
        let list = self.lists.get_mut(&endpoint)?;
        let now = steady_millis();
        while let Some(idle) = list.pop() {
            if idle.is_usable(now) {
                return Some(idle.sender);
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

/// A response whose body is still to be read.
///
/// Return the connection to the pool with [`Lease::recycle`] after the end of the body.
#[derive(Debug)]
pub struct PendingResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The connection that it came on.
    pub connection: ConnectionKind,
    endpoint: Endpoint,
    sender: Option<Sender>,
}

impl PendingResponse {
    /// Splits it into the response and the lease of its connection.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Lease) {
        let lease = Lease {
            endpoint: self.endpoint,
            sender: self.sender,
        };
        (self.response, lease)
    }
}

/// A connection in use by a response.
#[derive(Debug)]
pub struct Lease {
    endpoint: Endpoint,
    sender: Option<Sender>,
}

impl Lease {
    /// Returns the connection to the pool for the next request; call it once the body has ended.
    pub fn recycle(&mut self) {
        self.recycle_for(DEFAULT_IDLE_TIMEOUT);
    }

    /// Like [`Self::recycle`], but keeps the idle connection for no longer than `timeout`.
    pub fn recycle_for(&mut self, timeout: Duration) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let expires = steady_millis() + timeout.as_millis() as u64;
        let idle = Idle { sender, expires };
        IDLE.with_borrow_mut(|pool| pool.put(self.endpoint, idle));
    }
}

/// Timeouts and connection reuse of a request.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Maximum time for opening a connection.
    pub connect: Duration,
    /// Maximum time from sending to the head of the response.
    pub head: Duration,
    /// Never reuse an idle connection: the other side may be closing it, and
    /// then the outcome of a request sent on it is unknown.
    pub fresh: bool,
}

/// Sends `request` to `endpoint` and waits for the head of the response.
///
/// # Errors
/// See [`SendError`].
pub async fn send(
    endpoint: impl Into<Endpoint>,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<PendingResponse, SendError> {
    let sent = send_within(endpoint.into(), &mut None, request, options).await;
    sent.map_err(|failure| failure.error)
}

/// Like [`send`], but fails without sending if the server may not get the request when its bytes
/// would leave.
///
/// # Errors
/// See [`SendError`].
pub async fn send_to(
    admission: Admission,
    endpoint: Endpoint,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<PendingResponse, SendFailure> {
    send_within(endpoint, &mut Some(admission), request, options).await
}

async fn send_within(
    endpoint: Endpoint,
    admission: &mut Option<Admission>,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<PendingResponse, SendFailure> {
    let none = |error| SendFailure::new(error, ConnectionKind::None);
    if let Some(reason) = block_reason(admission.as_ref()) {
        return Err(none(SendError::Withheld(reason)));
    }
    let mut request = request;
    if !options.fresh {
        while let Some(mut sender) = IDLE.with_borrow_mut(|pool| pool.take(endpoint)) {
            if sender.ready().await.is_err() {
                continue;
            }
            let kind = ConnectionKind::Reused;
            match send_on(sender, request, endpoint, admission, options.head, kind).await {
                Ok(response) => return Ok(response),
                Err(AttemptError::Returned(back)) => request = *back,
                Err(AttemptError::Failed(error)) => {
                    return Err(SendFailure::new(error, kind));
                }
            }
        }
    }
    let sender = connect(endpoint.address, options.connect).await;
    let sent = send_on(
        sender.map_err(none)?,
        request,
        endpoint,
        admission,
        options.head,
        ConnectionKind::New,
    );
    let error = match sent.await {
        Ok(response) => return Ok(response),
        Err(AttemptError::Returned(_)) => SendError::NotSent("connection closed".to_owned()),
        Err(AttemptError::Failed(error)) => error,
    };
    Err(SendFailure::new(error, ConnectionKind::New))
}

/// Why an attempt on one connection failed.
enum AttemptError {
    /// The connection was closed before any byte left; the request may be sent on another one.
    Returned(Box<Request<Full<Bytes>>>),
    Failed(SendError),
}

async fn send_on(
    mut sender: Sender,
    request: Request<Full<Bytes>>,
    endpoint: Endpoint,
    admission: &mut Option<Admission>,
    head: Duration,
    connection: ConnectionKind,
) -> Result<PendingResponse, AttemptError> {
    // Time may have passed since the server was chosen, and the bytes leave now.
    if let Some(admission) = admission {
        let entered = admission.enter().map_err(SendError::Withheld);
        entered.map_err(AttemptError::Failed)?;
    }
    let sent = timeout(head, sender.try_send_request(request)).await;
    let Ok(sent) = sent else {
        return Err(AttemptError::Failed(SendError::TimedOut));
    };
    match sent {
        Ok(response) => Ok(PendingResponse {
            response,
            connection,
            endpoint,
            sender: Some(sender),
        }),
        Err(mut error) => match error.take_message() {
            Some(back) => {
                if let Some(admission) = admission {
                    admission.undo();
                }
                Err(AttemptError::Returned(Box::new(back)))
            }
            None => {
                let detail = error.error().to_string();
                Err(AttemptError::Failed(SendError::Lost(detail)))
            }
        },
    }
}

/// Whether a process listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// A connection was made.
    Listening,
    /// The connection was refused: the VM is up, and no process listens.
    Refused,
    /// No connection was made in time, or it failed for another reason.
    Unknown,
}

/// Maximum time of a probe; within a region one takes a millisecond or two.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks whether a process still listens at an address.
pub async fn probe(endpoint: Endpoint) -> ListenerState {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(endpoint.address)).await {
        Ok(Ok(_closed)) => ListenerState::Listening,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ListenerState::Refused
        }
        Ok(Err(_)) | Err(_) => ListenerState::Unknown,
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender, SendError> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| SendError::Unreachable)?
        .map_err(|error| SendError::NotSent(format!("connect: {error}")))?;
    if let Err(error) = stream.set_nodelay(true) {
        return Err(SendError::NotSent(format!("set TCP_NODELAY: {error}")));
    }
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| SendError::NotSent(format!("handshake: {error}")))?;
    tokio::spawn(async move {
        // The request that uses the connection gets the error too.
        let _ended = connection.await;
    });
    Ok(sender)
}
