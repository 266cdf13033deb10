//! HTTP/1 connections to backend servers and to peer routers.
//!
//! Idle connections are pooled per thread, so that the request path takes no lock
//! and a connection's driver runs on the thread that uses it. An error tells
//! whether the request may have reached the other side: a request that must not run
//! twice may be sent elsewhere only if it certainly has not.

mod error;
mod framing;
mod guard;
mod idle;
mod recipient;

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::time::{Instant, timeout_at};

use crate::eligibility::{Admission, BlockReason};
use crate::paths::{Destination, Dialer, PathWatch, ProbeError};

pub use error::{ConnectionKind, SendError, SendFailure};
pub use framing::Framing;
pub use guard::ResponseBody;
use idle::Connection;
pub use idle::Lease;
pub use recipient::{Endpoint, Recipient};

/// How long an idle connection may take to be ready. Its driver has to notice the end of the last
/// response, which takes a turn of the thread's other tasks.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// A response whose body is still to be read.
///
/// Return the connection to the pool with [`Lease::recycle`] after the end of the body.
#[derive(Debug)]
pub struct PendingResponse {
    /// Head and body.
    pub response: Response<ResponseBody>,
    /// The connection that it came on.
    pub connection: ConnectionKind,
    /// Watches the path of the connection; `None` where nothing checks it.
    pub watch: Option<PathWatch>,
    lease: Lease,
}

impl PendingResponse {
    /// Splits it into the response and the lease of its connection.
    #[must_use]
    pub fn split(self) -> (Response<ResponseBody>, Lease) {
        (self.response, self.lease)
    }
}

/// Why no request may go to the server; `None` if one may, or if the recipient isn't a server.
fn block_reason(admission: Option<&Admission>) -> Option<BlockReason> {
    admission.and_then(Admission::block_reason)
}

/// Timeouts and connection reuse of a request.
#[derive(Debug, Clone, Copy)]
pub struct SendOptions {
    /// Maximum time for opening a connection.
    pub connect: Duration,
    /// Maximum time until the head of the response, from the call on. Nothing is sent after it.
    pub response: Duration,
    /// Never reuse an idle connection: the other side may be closing it, and
    /// then the outcome of a request sent on it is unknown.
    pub fresh: bool,
    /// Whether to give up the request when its connection is known to hang. It may have been
    /// executed.
    pub may_abort: bool,
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
    let recipient = Recipient::from(endpoint.into());
    let sent = send_within(&recipient, &mut None, request, options).await;
    sent.map_err(|failure| failure.error)
}

/// Like [`send`], but fails without sending if the server may not get the request when its bytes
/// would leave.
///
/// # Errors
/// See [`SendError`].
pub async fn send_to(
    admission: Admission,
    recipient: impl Into<Recipient>,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<PendingResponse, SendFailure> {
    send_within(&recipient.into(), &mut Some(admission), request, options).await
}

async fn send_within(
    recipient: &Recipient,
    admission: &mut Option<Admission>,
    request: Request<Full<Bytes>>,
    options: SendOptions,
) -> Result<PendingResponse, SendFailure> {
    let none = |error| SendFailure::new(error, ConnectionKind::None);
    let until = Instant::now() + options.response;
    if let Some(reason) = block_reason(admission.as_ref()) {
        return Err(none(SendError::Withheld(reason)));
    }
    let mut request = request;
    while let Some(mut idle) = idle::take(recipient).filter(|_| !options.fresh) {
        if !is_reusable(&mut idle, until).await {
            continue;
        }
        let kind = ConnectionKind::Reused;
        match send_on(idle, kind, request, recipient, admission, options, until).await {
            Ok(response) => return Ok(response),
            Err(AttemptError::Returned(back)) => request = *back,
            Err(AttemptError::Failed(error)) => return Err(SendFailure::new(error, kind)),
        }
    }
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(none(SendError::Expired));
    }
    let connecting = recipient.connect(options.connect.min(left));
    let connection = connecting.await.map_err(none)?;
    let kind = if connection.tunnel.is_some() {
        ConnectionKind::Relayed
    } else {
        ConnectionKind::New
    };
    let sent = send_on(
        connection, kind, request, recipient, admission, options, until,
    );
    let error = match sent.await {
        Ok(response) => return Ok(response),
        Err(AttemptError::Returned(_)) => SendError::NotSent("connection closed".to_owned()),
        Err(AttemptError::Failed(error)) => error,
    };
    Err(SendFailure::new(error, kind))
}

/// Whether a request can be sent on an idle connection. It can't where a part of the request before it
/// hasn't left: a server may respond before it has read a long request, and read on later or never.
async fn is_reusable(idle: &mut Connection, until: Instant) -> bool {
    let until = until.min(Instant::now() + READY_TIMEOUT);
    matches!(timeout_at(until, idle.sender.ready()).await, Ok(Ok(())))
}

/// Why an attempt on one connection failed.
enum AttemptError {
    /// The connection was closed before any byte left; the request may be sent on another one.
    Returned(Box<Request<Full<Bytes>>>),
    Failed(SendError),
}

async fn send_on(
    mut connection: Connection,
    kind: ConnectionKind,
    request: Request<Full<Bytes>>,
    recipient: &Recipient,
    admission: &mut Option<Admission>,
    options: SendOptions,
    until: Instant,
) -> Result<PendingResponse, AttemptError> {
    // Time may have passed since the server was chosen, and the bytes leave now.
    if Instant::now() >= until {
        return Err(AttemptError::Failed(SendError::Expired));
    }
    if let Some(admission) = admission {
        let entered = admission.enter().map_err(SendError::Withheld);
        entered.map_err(AttemptError::Failed)?;
    }
    connection.set_busy(true);
    let watch = recipient.watch(&connection);
    let guard = connection.guard.clone();
    guard.begin();
    let sent = tokio::select! {
        sent = timeout_at(until, connection.sender.try_send_request(request)) => sent,
        () = until_hung(watch.as_ref(), options.may_abort) => {
            return Err(AttemptError::Failed(SendError::Hung));
        }
    };
    let Ok(sent) = sent else {
        return Err(AttemptError::Failed(SendError::TimedOut));
    };
    match sent {
        Ok(response) => {
            if let Some(watch) = &watch {
                watch.on_heard();
            }
            Ok(PendingResponse {
                response: response.map(|body| ResponseBody::new(body, guard)),
                connection: kind,
                watch,
                lease: Lease {
                    endpoint: recipient.endpoint,
                    connection: Some(connection),
                },
            })
        }
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

/// Checks whether a process still listens at a server's address, and keeps the connection for the
/// next request for up to `idle`.
///
/// # Errors
/// Why there is no connection.
pub async fn probe(
    server: &Destination,
    dialer: &Arc<Dialer>,
    limit: Duration,
    idle: Duration,
) -> Result<(), ProbeError> {
    let generation = server.path.state().generation;
    let stream = dialer.probe(server, limit).await?;
    let recipient = Recipient::server(server.clone(), Arc::clone(dialer));
    // A connection that can't be kept was made all the same.
    if let Ok(connection) = recipient::adopt(stream, generation).await {
        let mut lease = Lease {
            endpoint: recipient.endpoint,
            connection: Some(connection),
        };
        lease.recycle_for(idle);
    }
    Ok(())
}

/// Resolves when the connection of a request that may be given up is known to hang.
pub async fn until_hung(watch: Option<&PathWatch>, may_abort: bool) {
    let Some(watch) = watch else {
        return pending().await;
    };
    watch.until_hung().await;
    if !may_abort {
        pending().await
    }
}
