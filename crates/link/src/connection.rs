//! The client's side of one proved connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use swiftlink_wire::link::{Failure, FailureKind, Frame, Reply, frame, reply, request};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::LinkError;
use crate::codec::MAX_FRAME;
use crate::handshake::Proved;
use crate::incoming::Reader;
use crate::outgoing::{self, Backlog, Outbound, Outgoing, Ticket};
use crate::pending::{Delivery, Pending, STREAM_QUEUE, Sink, ended};
use crate::stream::ReplyStream;

/// Requests that wait to be written; callers wait beyond it.
const QUEUE: usize = 1024;

/// Time for which a full stream holds up its connection before it is ended: long
/// enough for a hiccup of its owner, short for the other requests.
const STALL_LIMIT: Duration = Duration::from_millis(50);

/// Requests in flight on one connection.
pub(crate) struct Connection {
    peer: Arc<str>,
    out: Outbound,
    pending: Pending,
    next_id: AtomicU64,
    heard: Arc<AtomicU64>,
    dead: CancellationToken,
}

/// The halves of the socket, for [`Connection::run`].
pub(crate) struct Io {
    reader: Reader,
    backlog: Backlog,
}

impl Connection {
    pub(crate) fn new(proved: Proved) -> (Arc<Self>, Io) {
        let (read, writer) = proved.socket.into_split();
        let reader = Reader::new(read, proved.input);
        let (out, backlog) = outgoing::channel(writer, QUEUE);
        let connection = Self {
            peer: proved.peer,
            out,
            pending: Pending::new(),
            next_id: AtomicU64::new(1),
            heard: reader.heard(),
            dead: CancellationToken::new(),
        };
        let io = Io { reader, backlog };
        (Arc::new(connection), io)
    }

    pub(crate) fn peer(&self) -> Arc<str> {
        Arc::clone(&self.peer)
    }

    /// Whether requests are still taken.
    pub(crate) fn is_up(&self) -> bool {
        !self.dead.is_cancelled()
    }

    /// Carries frames both ways until the connection is lost or `stop`.
    pub(crate) async fn run(&self, io: Io, stop: &CancellationToken) {
        let finish = CancellationToken::new();
        let write = outgoing::write_all(io.backlog, finish);
        tokio::select! {
            () = write => {}
            () = self.read(io.reader) => {}
            () = self.dead.cancelled() => {}
            () = stop.cancelled() => {}
        }
        self.dead.cancel();
        self.out.close();
        self.pending.close_all();
    }

    async fn read(&self, mut reader: Reader) {
        while let Ok(Some(frame)) = reader.next().await {
            let Frame { id, body } = frame;
            let Some(frame::Body::Reply(reply)) = body else {
                return;
            };
            self.take(id, reply).await;
        }
    }

    async fn take(&self, id: u64, reply: Reply) {
        let last = reply.last;
        let wanted = match self.pending.deliver(id, reply) {
            Delivery::Taken => true,
            Delivery::Unwanted => false,
            Delivery::Full(sink, reply) => {
                let sent = sink.send_timeout(reply, STALL_LIMIT).await;
                if last || sent.is_err() {
                    self.pending.close(id);
                }
                sent.is_ok()
            }
        };
        if !wanted && !last {
            self.send_cancel(id);
        }
    }

    pub(crate) async fn call(
        &self,
        kind: request::Kind,
        timeout: Duration,
    ) -> Result<reply::Kind, LinkError> {
        let (sink, answer) = oneshot::channel();
        let (id, ticket) = self.open(Sink::Once(sink))?;
        let guard = Guard::new(self, id, Arc::clone(&ticket));
        let heard = self.heard();

        let exchange = async {
            self.send(id, kind, &ticket).await?;
            answer.await.map_err(|_closed| ended(&ticket))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => value(result?),
            Err(_elapsed) => {
                self.check_silence(heard);
                drop(guard);
                if ticket.withdraw() {
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
        let (id, ticket) = self.open(Sink::Many(sink))?;
        // Made before the send, so that giving up the send removes the request.
        let stream = ReplyStream::new(Arc::clone(self), id, Arc::clone(&ticket), replies);
        self.send(id, kind, &ticket).await?;
        Ok(stream)
    }

    /// Count of the bytes read so far.
    pub(crate) fn heard(&self) -> u64 {
        self.heard.load(Ordering::Acquire)
    }

    /// Closes the connection if no byte came since `heard`.
    pub(crate) fn check_silence(&self, heard: u64) {
        if self.heard() == heard {
            self.dead.cancel();
        }
    }

    /// Ends a request that may still get replies.
    pub(crate) fn give_up(&self, id: u64, ticket: &Ticket) {
        if self.pending.close(id) && !ticket.withdraw() {
            self.send_cancel(id);
        }
    }

    fn open(&self, sink: Sink) -> Result<(u64, Arc<Ticket>), LinkError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.pending.open(id, sink)?;
        Ok((id, Arc::default()))
    }

    async fn send(
        &self,
        id: u64,
        kind: request::Kind,
        ticket: &Arc<Ticket>,
    ) -> Result<(), LinkError> {
        let outgoing = Outgoing::request(id, kind, Arc::clone(ticket));
        if outgoing.size() > MAX_FRAME {
            ticket.withdraw();
            return Err(LinkError::Failed(Failure {
                kind: FailureKind::BadRequest.into(),
                detail: "request is too large".to_owned(),
            }));
        }
        let place = self.out.reserve().await;
        place.map_err(|_closed| LinkError::Down)?.send(outgoing);
        Ok(())
    }

    /// If the queue is full the next unwanted reply tries again.
    fn send_cancel(&self, id: u64) {
        if let Some(place) = self.out.try_reserve() {
            place.send(Outgoing::cancel(id));
        }
    }
}

/// The kind of a reply, a failure as an error.
///
/// A failure of no known meaning says nothing of what became of the request.
pub(crate) fn value(reply: Reply) -> Result<reply::Kind, LinkError> {
    match reply.kind {
        Some(reply::Kind::Failure(failure)) if failure.kind() == FailureKind::Unspecified => {
            Err(LinkError::Lost)
        }
        Some(reply::Kind::Failure(failure)) => Err(LinkError::Failed(failure)),
        Some(kind) => Ok(kind),
        None => Err(LinkError::Lost),
    }
}

/// Gives up a call's request when the call ends early or is dropped.
struct Guard<'a> {
    connection: &'a Connection,
    id: u64,
    ticket: Arc<Ticket>,
}

impl<'a> Guard<'a> {
    fn new(connection: &'a Connection, id: u64, ticket: Arc<Ticket>) -> Self {
        Self {
            connection,
            id,
            ticket,
        }
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.connection.give_up(self.id, &self.ticket);
    }
}
