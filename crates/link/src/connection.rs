//! The client's side of one authenticated connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use swiftlink_wire::link::{Failure, FailureKind, Frame, Reply, frame, reply, request};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::LinkError;
use crate::codec::MAX_FRAME;
use crate::handshake::Authenticated;
use crate::incoming::Reader;
use crate::outgoing::{self, FrameSender, OutgoingFrame, SendState, WriteQueue};
use crate::pending::{Delivery, Pending, STREAM_QUEUE, Sink, closed_error};
use crate::stream::ReplyStream;

/// Capacity of the queue of requests to be written; callers wait while it is full.
const SEND_QUEUE: usize = 1024;

/// Time for which a full stream may block its connection before the stream is ended: long
/// enough for a short pause of its consumer, yet short for the other requests on the
/// connection.
const STALL_LIMIT: Duration = Duration::from_millis(50);

/// One connection and its requests in flight.
pub(crate) struct Connection {
    peer: Arc<str>,
    out: FrameSender,
    pending: Pending,
    next_id: AtomicU64,
    received: Arc<AtomicU64>,
    closed: CancellationToken,
}

/// The halves of the socket, for [`Connection::run`].
pub(crate) struct Io {
    reader: Reader,
    write_queue: WriteQueue,
}

impl Connection {
    pub(crate) fn new(authenticated: Authenticated) -> (Arc<Self>, Io) {
        let (read, writer) = authenticated.socket.into_split();
        let reader = Reader::new(read, authenticated.input);
        let (out, write_queue) = outgoing::channel(writer, SEND_QUEUE);
        let connection = Self {
            peer: authenticated.peer,
            out,
            pending: Pending::new(),
            next_id: AtomicU64::new(1),
            received: reader.received(),
            closed: CancellationToken::new(),
        };
        let io = Io {
            reader,
            write_queue,
        };
        (Arc::new(connection), io)
    }

    pub(crate) fn peer(&self) -> Arc<str> {
        Arc::clone(&self.peer)
    }

    /// Whether requests are still accepted.
    pub(crate) fn is_up(&self) -> bool {
        !self.closed.is_cancelled()
    }

    /// Reads and writes frames until the connection is lost or `stop` is cancelled.
    pub(crate) async fn run(&self, io: Io, stop: &CancellationToken) {
        let finish = CancellationToken::new();
        let write = outgoing::write_all(io.write_queue, finish);
        tokio::select! {
            () = write => {}
            () = self.read(io.reader) => {}
            () = self.closed.cancelled() => {}
            () = stop.cancelled() => {}
        }
        self.closed.cancel();
        self.out.close();
        self.pending.close_all();
    }

    async fn read(&self, mut reader: Reader) {
        while let Ok(Some(frame)) = reader.next().await {
            let Frame { id, body } = frame;
            let Some(frame::Body::Reply(reply)) = body else {
                return;
            };
            self.dispatch(id, reply).await;
        }
    }

    async fn dispatch(&self, id: u64, reply: Reply) {
        let last = reply.last;
        let is_wanted = match self.pending.deliver(id, reply) {
            Delivery::Delivered => true,
            Delivery::Unwanted => false,
            Delivery::Full(sink, reply) => {
                let sent = sink.send_timeout(reply, STALL_LIMIT).await;
                if last || sent.is_err() {
                    self.pending.remove(id);
                }
                sent.is_ok()
            }
        };
        if !is_wanted && !last {
            self.send_cancel(id);
        }
    }

    pub(crate) async fn call(
        &self,
        kind: request::Kind,
        timeout: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let (sink, reply) = oneshot::channel();
        let (id, send_state) = self.register(Sink::Once(sink))?;
        let guard = CancelOnDrop::new(self, id, Arc::clone(&send_state));
        let received = self.received();

        let exchange = async {
            self.send(id, kind, &send_state).await?;
            reply.await.map_err(|_closed| closed_error(&send_state))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => into_result(result?),
            Err(_elapsed) => {
                self.close_if_silent(received);
                drop(guard);
                if send_state.try_withdraw() {
                    Err(LinkError::Down)
                } else {
                    Err(LinkError::Timeout)
                }
            }
        }
    }

    pub(crate) async fn stream(
        self: &Arc<Self>,
        kind: request::Kind,
    ) -> Result<ReplyStream, LinkError> {
        let (sink, replies) = mpsc::channel(STREAM_QUEUE);
        let (id, send_state) = self.register(Sink::Many(sink))?;
        // Created before the send, so that dropping this future removes the request.
        let stream = ReplyStream::new(Arc::clone(self), id, Arc::clone(&send_state), replies);
        self.send(id, kind, &send_state).await?;
        Ok(stream)
    }

    /// Number of bytes received so far.
    pub(crate) fn received(&self) -> u64 {
        self.received.load(Ordering::Acquire)
    }

    /// Closes the connection if no byte arrived since [`Self::received`] returned
    /// `received`.
    pub(crate) fn close_if_silent(&self, received: u64) {
        if self.received() == received {
            self.closed.cancel();
        }
    }

    /// Ends a request that may still get replies, and tells the peer if it was sent.
    pub(crate) fn cancel(&self, id: u64, send_state: &SendState) {
        if self.pending.remove(id) && !send_state.try_withdraw() {
            self.send_cancel(id);
        }
    }

    fn register(&self, sink: Sink) -> Result<(u64, Arc<SendState>), LinkError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.pending.insert(id, sink)?;
        Ok((id, Arc::default()))
    }

    async fn send(
        &self,
        id: u64,
        kind: request::Kind,
        send_state: &Arc<SendState>,
    ) -> Result<(), LinkError> {
        let frame = OutgoingFrame::request(id, kind, Arc::clone(send_state));
        if frame.size() > MAX_FRAME {
            send_state.try_withdraw();
            return Err(LinkError::Failed(Failure {
                kind: FailureKind::BadRequest.into(),
                detail: "request is too large".to_owned(),
            }));
        }
        let permit = self.out.reserve().await;
        permit.map_err(|_closed| LinkError::Down)?.send(frame);
        Ok(())
    }

    /// Tells the peer that no more replies are wanted.
    ///
    /// Does nothing while the queue is full; the next unwanted reply tries again.
    fn send_cancel(&self, id: u64) {
        if let Some(permit) = self.out.try_reserve() {
            permit.send(OutgoingFrame::cancel(id));
        }
    }
}

/// Returns the kind of a reply, or an error for a failure.
///
/// A failure of an unspecified kind leaves open whether the request took effect, so it
/// is reported as [`LinkError::Lost`].
pub(crate) fn into_result(reply: Reply) -> Result<reply::Kind, LinkError> {
    match reply.kind {
        Some(reply::Kind::Failure(failure)) if failure.kind() == FailureKind::Unspecified => {
            Err(LinkError::Lost)
        }
        Some(reply::Kind::Failure(failure)) => Err(LinkError::Failed(failure)),
        Some(kind) => Ok(kind),
        None => Err(LinkError::Lost),
    }
}

/// Cancels a call's request when the call ends early or is dropped.
struct CancelOnDrop<'a> {
    connection: &'a Connection,
    id: u64,
    send_state: Arc<SendState>,
}

impl<'a> CancelOnDrop<'a> {
    fn new(connection: &'a Connection, id: u64, send_state: Arc<SendState>) -> Self {
        Self {
            connection,
            id,
            send_state,
        }
    }
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.connection.cancel(self.id, &self.send_state);
    }
}
