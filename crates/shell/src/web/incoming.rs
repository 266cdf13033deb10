//! The request type that services receive.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, Method, StatusCode, Uri, request};
use tokio::time::{Instant, timeout_at};
use xitca_web::body::{Body as _, Frame, RequestBody};

use super::connection::Connection;
use super::connections::Receiving;
use super::memory::Content;

/// Largest part of a refused body that is read and discarded, so that the client reads
/// the response instead of a connection reset.
const DISCARD_BYTES: usize = 4 * 1024 * 1024;
/// Largest part of an unread request body that is discarded after other responses.
const MAX_DRAIN_BYTES: usize = 256 * 1024;
/// Longest time that the client may take to send the part of a refused body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a body waits until those of clients that are behind have made room.
const ROOM_TIMEOUT: Duration = Duration::from_millis(500);

/// A request with its head, and a body that is read on demand.
pub struct Incoming {
    head: request::Parts,
    peer: SocketAddr,
    body_timeout: Duration,
    body: BodyReader,
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// Longer than the limit.
    #[error("the request body is too large")]
    TooLarge,
    /// Took longer than [`Limits::body`](super::Limits::body), or than the request's deadline allows.
    #[error("the request body took too long")]
    Timeout,
    /// Ended early or was malformed.
    #[error("the request body is broken")]
    Broken,
    /// Others needed the memory or the connection while the client was far behind in sending it.
    #[error("the request body came too slowly while others waited")]
    Stalled,
    /// The bodies of other requests take the memory.
    #[error("there is no memory for the request body now")]
    NoMemory,
}

impl BodyError {
    /// Status of the response to such a request.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout | Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Incoming {
    pub(super) fn new(
        head: request::Parts,
        peer: SocketAddr,
        body_timeout: Duration,
        body: BodyReader,
    ) -> Self {
        Self {
            head,
            peer,
            body_timeout,
            body,
        }
    }

    /// Method of the request.
    #[must_use]
    pub fn method(&self) -> &Method {
        &self.head.method
    }

    /// Target of the request: path and query.
    #[must_use]
    pub fn uri(&self) -> &Uri {
        &self.head.uri
    }

    /// Headers of the request.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// First value of a header, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Address that the request came from.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reads the whole body. A second call returns no more bytes.
    ///
    /// # Errors
    /// When the body is longer than `limit` bytes, takes too long, or ends early, or when the bodies of
    /// all requests fill the memory.
    pub async fn body(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        self.body_until(limit, Instant::now() + self.body_timeout)
            .await
    }

    /// Like [`Self::body`], but takes no longer than until `deadline`.
    ///
    /// # Errors
    /// When the body is longer than `limit` bytes, takes too long, or ends early, or when the bodies of
    /// all requests fill the memory.
    pub async fn body_until(
        &mut self,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, BodyError> {
        let end = deadline.min(Instant::now() + self.body_timeout);
        let read = timeout_at(end, self.read(limit)).await;
        let read = read.unwrap_or(Err(BodyError::Timeout));
        if read == Err(BodyError::TooLarge) {
            // The response doesn't depend on whether the client sends the rest.
            let end = end.min(Instant::now() + DISCARD_TIMEOUT);
            let _rest = timeout_at(end, self.discard_too_large(limit)).await;
        }
        self.on_read(&read, limit);
        read
    }

    /// Counts a body that wasn't read to its end.
    fn on_read(&self, read: &Result<Bytes, BodyError>, limit: usize) {
        let memory = &self.body.connection.memory;
        match read {
            Err(BodyError::NoMemory) => {
                memory.count_refused();
                self.body.set_drain(limit);
            }
            Err(BodyError::Stalled) => memory.count_stalled(),
            Ok(_) | Err(BodyError::TooLarge | BodyError::Timeout | BodyError::Broken) => {}
        }
    }

    async fn read(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let declared_len = self.declared_len();
        if declared_len.is_some_and(|length| length > limit as u64) {
            return Err(BodyError::TooLarge);
        }
        let connection = Rc::clone(&self.body.connection);
        let receiving = connection.registration.receive();
        let mut content = Content::empty(&connection.memory);
        if let Some(length) = declared_len {
            make_room(&mut content, &receiving, length as usize).await?;
        }
        while let Some(piece) = self.next_piece(&receiving).await? {
            let length = content.len() + piece.len();
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            if length > content.lease().bytes() {
                let capacity = length.next_power_of_two().clamp(length, limit);
                make_room(&mut content, &receiving, capacity).await?;
            }
            content.push(&piece);
            receiving.advance(piece.len());
        }
        if declared_len.is_some_and(|length| length != content.len() as u64) && content.len() > 0 {
            return Err(BodyError::Broken);
        }
        Ok(content.freeze())
    }

    /// The next piece of the body; `None` after the last.
    async fn next_piece(&self, receiving: &Receiving<'_>) -> Result<Option<Bytes>, BodyError> {
        tokio::select! {
            biased;
            piece = self.body.next() => piece.transpose(),
            () = receiving.evicted() => Err(BodyError::Stalled),
        }
    }

    /// Discards the rest of a body that is too large, unless the client waits for `100 Continue` or
    /// the declared length exceeds the limit by more than [`DISCARD_BYTES`].
    async fn discard_too_large(&mut self, limit: usize) {
        let waits = self.head.headers.contains_key(EXPECT);
        let far = self.declared_len() > Some((limit + DISCARD_BYTES) as u64);
        if !waits && !far {
            self.body.discard(limit + DISCARD_BYTES).await;
        }
    }

    fn declared_len(&self) -> Option<u64> {
        self.header(CONTENT_LENGTH.as_str())?.parse().ok()
    }
}

/// Makes room for `capacity` bytes of a body. If the memory is full, the bodies of clients that are
/// behind make room.
async fn make_room(
    content: &mut Content,
    receiving: &Receiving<'_>,
    capacity: usize,
) -> Result<(), BodyError> {
    let end = Instant::now() + ROOM_TIMEOUT;
    let memory = Arc::clone(content.lease().memory());
    loop {
        let released = memory.released.notified();
        tokio::pin!(released);
        // Registers for what is released from now on.
        released.as_mut().enable();
        if content.reserve(capacity) {
            receiving.hold(capacity);
            return Ok(());
        }
        if !receiving.evict_others(capacity, |bytes| memory.is_same_part(bytes, capacity)) {
            return Err(BodyError::NoMemory);
        }
        let released = timeout_at(end, released).await;
        released.map_err(|_elapsed| BodyError::NoMemory)?;
    }
}

impl fmt::Debug for Incoming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Headers hold credentials, so they are left out.
        f.debug_struct("Incoming")
            .field("method", &self.head.method)
            .field("path", &self.head.uri.path())
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

/// The unread part of a request's body. The request and its response share it: the
/// response discards what the service has not read.
#[derive(Clone)]
pub(super) struct BodyReader {
    body: Rc<RefCell<Option<RequestBody>>>,
    /// Largest number of bytes that are discarded after the response.
    drain: Rc<Cell<usize>>,
    connection: Rc<Connection>,
}

impl BodyReader {
    pub(super) fn new(body: Option<RequestBody>, connection: Rc<Connection>) -> Self {
        Self {
            body: Rc::new(RefCell::new(body)),
            drain: Rc::new(Cell::new(MAX_DRAIN_BYTES)),
            connection,
        }
    }

    /// Lets a body of up to `bytes` be discarded after the response, so that a client which sends it
    /// whole first reads the response instead of a connection reset.
    fn set_drain(&self, bytes: usize) {
        self.drain.set(bytes.max(MAX_DRAIN_BYTES));
    }

    /// Largest number of bytes that are discarded after the response.
    pub(super) fn max_drain(&self) -> usize {
        self.drain.get()
    }

    pub(super) fn is_done(&self) -> bool {
        self.body.borrow().is_none()
    }

    async fn next(&self) -> Option<Result<Bytes, BodyError>> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads and discards up to `max` bytes.
    async fn discard(&self, max: usize) {
        let mut left = max;
        while let Some(Ok(piece)) = self.next().await {
            let Some(rest) = left.checked_sub(piece.len()) else {
                return;
            };
            left = rest;
        }
    }

    pub(super) fn poll_next(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let mut body = self.body.borrow_mut();
        loop {
            let Some(inner) = body.as_mut() else {
                return Poll::Ready(None);
            };
            match ready!(Pin::new(inner).poll_frame(cx)) {
                Some(Ok(Frame::Data(piece))) => {
                    self.connection.meter.on_received(piece.len());
                    self.connection.surplus.on_content(piece.len());
                    return Poll::Ready(Some(Ok(piece)));
                }
                Some(Ok(Frame::Trailers(_))) => {}
                Some(Err(_error)) => {
                    *body = None;
                    return Poll::Ready(Some(Err(BodyError::Broken)));
                }
                None => {
                    *body = None;
                    return Poll::Ready(self.is_truncated().then_some(Err(BodyError::Broken)));
                }
            }
        }
    }

    /// Whether the body may have ended only because the client closed the connection; the
    /// decoder reports a complete and a truncated body alike.
    fn is_truncated(&self) -> bool {
        self.connection.peer_closed()
    }
}
