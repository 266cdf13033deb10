//! HTTP/1 connections to backend servers and to peer routers.
//!
//! Idle connections are kept per thread, so that the request path takes no lock
//! and a connection's driver runs on the thread that uses it. A failure says
//! whether the request can have reached the other side: only a request that
//! certainly did not may be sent elsewhere when it must not run twice.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use swiftlink_routing::ErrorKind;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Idle connections kept per thread and address.
const IDLE_MAX: usize = 64;
/// How long an idle connection is kept when the other side doesn't say how long it
/// keeps it.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Why no answer head came back.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process: the other side refused or closed.
    #[error("not sent: {0}")]
    NotSent(String),
    /// There was no connection in time, and no byte of the request left this process.
    #[error("not sent: no connection in time")]
    Unreachable,
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
            Self::Silent => "no answer in time",
        }
    }

    /// What it says of the server.
    #[must_use]
    pub fn kind(&self) -> ErrorKind {
        match self {
            Self::NotSent(_) => ErrorKind::Connect,
            Self::Unreachable => ErrorKind::Unreachable,
            Self::Lost(_) => ErrorKind::Broken,
            Self::Silent => ErrorKind::Timeout,
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that no request uses.
struct Idle {
    sender: Sender,
    /// The other side may close it from then on.
    until: Instant,
}

thread_local! {
    static IDLE: RefCell<HashMap<SocketAddr, Vec<Idle>>> = RefCell::new(HashMap::new());
}

/// An answer whose body is still to be read.
///
/// Hand the connection back with [`Lease::recycle`] after the body's end.
#[derive(Debug)]
pub struct Answer {
    /// Head and body.
    pub response: Response<Incoming>,
    address: SocketAddr,
    sender: Option<Sender>,
}

impl Answer {
    /// Splits the answer into its response and the lease of its connection.
    #[must_use]
    pub fn split(self) -> (Response<Incoming>, Lease) {
        let lease = Lease {
            address: self.address,
            sender: self.sender,
        };
        (self.response, lease)
    }
}

/// A connection in use by an answer.
#[derive(Debug)]
pub struct Lease {
    address: SocketAddr,
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
        IDLE.with_borrow_mut(|idle| {
            let list = idle.entry(self.address).or_default();
            if list.len() < IDLE_MAX {
                let until = Instant::now() + keep;
                list.push(Idle { sender, until });
            }
        });
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

/// Sends `request` to `address` and waits for the answer's head.
///
/// # Errors
/// See [`SendError`].
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<Answer, SendError> {
    let mut request = request;
    if !options.fresh {
        while let Some(mut sender) = take_idle(address) {
            if sender.ready().await.is_err() {
                continue;
            }
            match attempt(sender, request, address, options.head).await {
                Ok(answer) => return Ok(answer),
                Err(Failed::Returned(back)) => request = *back,
                Err(Failed::Gone(error)) => return Err(SendError::Lost(error)),
                Err(Failed::Silent) => return Err(SendError::Silent),
            }
        }
    }
    let sender = connect(address, options.connect).await?;
    match attempt(sender, request, address, options.head).await {
        Ok(answer) => Ok(answer),
        Err(Failed::Returned(_)) => Err(SendError::NotSent("connection closed".to_owned())),
        Err(Failed::Gone(error)) => Err(SendError::Lost(error)),
        Err(Failed::Silent) => Err(SendError::Silent),
    }
}

enum Failed {
    Returned(Box<Request<Full<Bytes>>>),
    Gone(String),
    Silent,
}

async fn attempt(
    mut sender: Sender,
    request: Request<Full<Bytes>>,
    address: SocketAddr,
    head: Duration,
) -> Result<Answer, Failed> {
    let sent = timeout(head, sender.try_send_request(request)).await;
    let Ok(sent) = sent else {
        return Err(Failed::Silent);
    };
    match sent {
        Ok(response) => Ok(Answer {
            response,
            address,
            sender: Some(sender),
        }),
        Err(mut error) => match error.take_message() {
            Some(back) => Err(Failed::Returned(Box::new(back))),
            None => Err(Failed::Gone(error.error().to_string())),
        },
    }
}

fn take_idle(address: SocketAddr) -> Option<Sender> {
    IDLE.with_borrow_mut(|idle| {
        let list = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            if !idle.sender.is_closed() && now < idle.until {
                return Some(idle.sender);
            }
        }
        None
    })
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
