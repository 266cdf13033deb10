//! HTTP/1 connections to backend servers and to peer routers.
//!
//! Idle connections are kept per thread, so that the request path takes no lock
//! and a connection's driver runs on the thread that uses it. A failure says
//! whether the request can have reached the other side: only a request that
//! certainly did not may be sent elsewhere when it must not run twice.

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
use crate::standing::{Bar, Standing};

/// Idle connections kept per thread and endpoint.
const IDLE_MAX: usize = 64;
/// How long an idle connection is kept when the other side doesn't say how long it
/// keeps it.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Time between two looks for idle connections that are over: each is a descriptor.
const PRUNE_PERIOD: Duration = Duration::from_secs(5);

/// Why no answer head came back.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process: the other side refused or closed.
    #[error("not sent: {0}")]
    NotSent(String),
    /// There was no connection in time, and no byte of the request left this process.
    #[error("not sent: no connection in time")]
    Unreachable,
    /// The server may get no request now, and no byte of it left this process.
    #[error("not sent: {0}")]
    Withheld(Bar),
    /// The request was sent, in part or in whole, and no answer came back.
    #[error("lost after sending: {0}")]
    Lost(String),
    /// The request was sent, and no answer came in time.
    #[error("no answer in time")]
    Silent,
}

impl SendError {
    /// What happened, for logs and answers.
    #[must_use]
    pub fn why(&self) -> &str {
        match self {
            Self::NotSent(why) | Self::Lost(why) => why,
            Self::Unreachable => "no connection in time",
            Self::Withheld(bar) => bar.as_str(),
            Self::Silent => "no answer in time",
        }
    }

    /// What it says of the server; `None` where that is nothing.
    #[must_use]
    pub fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::NotSent(_) => Some(ErrorKind::Connect),
            Self::Unreachable => Some(ErrorKind::Unreachable),
            Self::Withheld(_) => None,
            Self::Lost(_) => Some(ErrorKind::Broken),
            Self::Silent => Some(ErrorKind::Timeout),
        }
    }
}

/// Who is reached at an address. A connection is used for the start of the server that it was
/// opened to and no other: one to a start that ended behind a cut looks open, and a request
/// sent on it is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Endpoint {
    address: SocketAddr,
    /// Hash of the name and the start of the server; 0: whoever listens.
    start: u64,
}

impl Endpoint {
    /// A start of a server.
    #[must_use]
    pub fn of(address: SocketAddr, start: &ServerInstance) -> Self {
        let name = start.name.as_str().as_bytes();
        Self {
            address,
            start: xxh3_64_with_seed(name, start.started),
        }
    }
}

/// Whoever listens at an address.
impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self { address, start: 0 }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that no request uses.
struct Idle {
    sender: Sender,
    /// The other side may close it from then on, also while this VM is suspended, in
    /// milliseconds of the VM's steady clock.
    until: u64,
}

impl Idle {
    fn is_usable(&self, now: u64) -> bool {
        !self.sender.is_closed() && now < self.until
    }
}

/// Why requests to a server have to stay here; none to whoever listens at an address.
fn bar(standing: Option<&Standing>) -> Option<Bar> {
    standing.and_then(Standing::bar)
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
        if list.len() < IDLE_MAX {
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

    /// Drops what can't be used any more, with the endpoints that are gone.
    fn prune(&mut self) {
        let now = Instant::now();
        if now < self.pruned_at + PRUNE_PERIOD {
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

/// An answer whose body is still to be read.
///
/// Hand the connection back with [`Lease::recycle`] after the body's end.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    endpoint: Endpoint,
    sender: Option<Sender>,
}

impl Answer {
    /// Splits the answer into its response and the lease of its connection.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Lease) {
        let lease = Lease {
            endpoint: self.endpoint,
            sender: self.sender,
        };
        (self.response, lease)
    }
}

/// A connection in use by an answer.
#[derive(Debug)]
pub struct Lease {
    endpoint: Endpoint,
    sender: Option<Sender>,
}

impl Lease {
    /// Keeps the connection for the next request; call it once the body has ended.
    pub fn recycle(&mut self) {
        self.recycle_for(IDLE_TIME);
    }

    /// Like [`Self::recycle`], for no longer than `keep`.
    pub fn recycle_for(&mut self, keep: Duration) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let until = steady_millis() + keep.as_millis() as u64;
        let idle = Idle { sender, until };
        IDLE.with_borrow_mut(|pool| pool.put(self.endpoint, idle));
    }
}

/// How a request may use connections and time.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Longest time for a new connection.
    pub connect: Duration,
    /// Longest time from sending to the answer's head.
    pub head: Duration,
    /// Never reuse an idle connection: the other side may be closing it, and
    /// then the end of a request sent on it isn't known.
    pub fresh: bool,
}

/// Sends `request` to `endpoint` and waits for the answer's head.
///
/// # Errors
/// See [`SendError`].
pub async fn send(
    endpoint: impl Into<Endpoint>,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<Answer, SendError> {
    send_within(endpoint.into(), None, request, options).await
}

/// The same to a server, unless its `standing` bars that when the request would leave.
///
/// # Errors
/// See [`SendError`].
pub async fn send_to(
    standing: Standing,
    endpoint: Endpoint,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<Answer, SendError> {
    send_within(endpoint, Some(standing), request, options).await
}

async fn send_within(
    endpoint: Endpoint,
    standing: Option<Standing>,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<Answer, SendError> {
    if let Some(bar) = bar(standing.as_ref()) {
        return Err(SendError::Withheld(bar));
    }
    let mut request = request;
    if !options.fresh {
        while let Some(mut sender) = IDLE.with_borrow_mut(|pool| pool.take(endpoint)) {
            if sender.ready().await.is_err() {
                continue;
            }
            match attempt(sender, request, endpoint, &standing, options.head).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::Withheld(bar)) => return Err(SendError::Withheld(bar)),
                Err(Failed::Returned(back)) => request = *back,
                Err(Failed::Gone(error)) => return Err(SendError::Lost(error)),
                Err(Failed::Silent) => return Err(SendError::Silent),
            }
        }
    }
    let sender = connect(endpoint.address, options.connect).await?;
    match attempt(sender, request, endpoint, &standing, options.head).await {
        Ok(answer) => Ok(answer),
        Err(Failed::Withheld(bar)) => Err(SendError::Withheld(bar)),
        Err(Failed::Returned(_)) => Err(SendError::NotSent("connection closed".to_owned())),
        Err(Failed::Gone(error)) => Err(SendError::Lost(error)),
        Err(Failed::Silent) => Err(SendError::Silent),
    }
}

enum Failed {
    Withheld(Bar),
    Returned(Box<Request<Full<Bytes>>>),
    Gone(String),
    Silent,
}

async fn attempt(
    mut sender: Sender,
    request: Request<Full<Bytes>>,
    endpoint: Endpoint,
    standing: &Option<Standing>,
    head: Duration,
) -> Result<Answer, Failed> {
    // The bytes leave now, whenever the server was chosen.
    if let Some(bar) = bar(standing.as_ref()) {
        return Err(Failed::Withheld(bar));
    }
    let sent = timeout(head, sender.try_send_request(request)).await;
    let Ok(sent) = sent else {
        return Err(Failed::Silent);
    };
    match sent {
        Ok(response) => Ok(Answer {
            response,
            endpoint,
            sender: Some(sender),
        }),
        Err(mut error) => match error.take_message() {
            Some(back) => Err(Failed::Returned(Box::new(back))),
            None => Err(Failed::Gone(error.error().to_string())),
        },
    }
}

/// Whether somebody listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// A connection was made.
    Here,
    /// The connection was refused: the VM is there, and nobody listens.
    Gone,
    /// No connection in time, or none for another reason.
    Unknown,
}

/// Longest time to find out whether somebody listens; within a region it takes a millisecond or
/// two.
const ASK_TIME: Duration = Duration::from_millis(400);

/// Asks whether somebody still listens at an address.
pub async fn ask(endpoint: Endpoint) -> Presence {
    match timeout(ASK_TIME, TcpStream::connect(endpoint.address)).await {
        Ok(Ok(_closed)) => Presence::Here,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Presence::Gone,
        Ok(Err(_)) | Err(_) => Presence::Unknown,
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
        // An error here also reaches the request that uses the connection.
        let _ended = connection.await;
    });
    Ok(sender)
}
