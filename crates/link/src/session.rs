//! The server's side of one authenticated connection.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use swiftlink_wire::link::{FailureKind, Frame, Request, frame, request};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::Closed;
use crate::handshake::Authenticated;
use crate::incoming::Reader;
use crate::outgoing::{self, OutgoingFrame};
use crate::replies::{Replies, RequestEnd, Shared, SharedHandler, failure};

/// Capacity of the queue of replies to be written; handlers wait while it is full.
const SEND_QUEUE: usize = 64;

/// Maximum number of requests in flight on one connection; further ones are refused.
const MAX_IN_FLIGHT: usize = 4096;

/// Time for handlers to end when the server stops.
const STOP_GRACE: Duration = Duration::from_secs(1);

/// Time for the peer to close its side after the last reply.
const LINGER: Duration = Duration::from_millis(250);

/// A connection's requests and the tasks of their handlers.
struct Session {
    peer: Arc<str>,
    handler: SharedHandler,
    shared: Shared,
    /// Cancelled when the caller gives up the request.
    requests: HashMap<u64, CancellationToken>,
    tasks: JoinSet<()>,
}

/// Serves the connection until it is lost or the server stops, then waits for the
/// handlers to end.
pub(crate) async fn serve(
    authenticated: Authenticated,
    handler: SharedHandler,
    stop: CancellationToken,
) {
    let (read, write) = authenticated.socket.into_split();
    let mut reader = Reader::new(read, authenticated.input);
    let (out, write_queue) = outgoing::channel(write, SEND_QUEUE);
    let (ended, mut endings) = mpsc::unbounded_channel();
    let finish = CancellationToken::new();

    let mut session = Session {
        peer: authenticated.peer,
        handler,
        shared: Shared {
            out,
            ended,
            stopping: stop.clone(),
            in_flight: Arc::default(),
        },
        requests: HashMap::new(),
        tasks: JoinSet::new(),
    };
    let writer = outgoing::write_all(write_queue, finish.clone());
    let reading = async {
        session.read(&mut reader, &mut endings, &stop).await;
        session.shut_down(&mut endings, &stop).await;
        // Needed because a handler may have passed its replies to another task, which
        // keeps the queue open.
        finish.cancel();
    };
    tokio::join!(writer, reading);
    // Closing a socket with unread input would reset the connection, and the peer could
    // lose replies that it has not read yet.
    let _timed_out = timeout(LINGER, discard(&mut reader)).await;
}

async fn discard(reader: &mut Reader) {
    while let Ok(Some(_frame)) = reader.next().await {}
}

impl Session {
    async fn read(
        &mut self,
        reader: &mut Reader,
        endings: &mut mpsc::UnboundedReceiver<RequestEnd>,
        stop: &CancellationToken,
    ) {
        let out = self.shared.out.clone();
        loop {
            // Ended requests come before new frames, so that they don't accumulate.
            let result = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                () = out.closed() => Err(Closed),
                Some(ended) = endings.recv() => self.finish_request(ended).await,
                Some(_ended) = self.tasks.join_next() => Ok(()),
                frame = reader.next() => match frame {
                    Ok(Some(frame)) => self.handle_frame(frame).await,
                    Ok(None) | Err(_) => Err(Closed),
                },
            };
            if result.is_err() {
                self.cancel_all();
                return;
            }
        }
    }

    /// Handles a frame; fails if it is neither a request nor a cancel.
    async fn handle_frame(&mut self, frame: Frame) -> Result<(), Closed> {
        match frame.body {
            Some(frame::Body::Request(request)) => self.start_request(frame.id, request).await,
            Some(frame::Body::Cancel(_)) => {
                if let Some(cancelled) = self.requests.get(&frame.id) {
                    cancelled.cancel();
                }
                Ok(())
            }
            _ => Err(Closed),
        }
    }

    async fn start_request(&mut self, id: u64, request: Request) -> Result<(), Closed> {
        let Some(kind) = request.kind else {
            let unknown = failure(id, FailureKind::BadRequest, "unknown kind of request");
            return self.reply(unknown).await;
        };
        if self.requests.contains_key(&id) {
            return Err(Closed);
        }
        if self.shared.in_flight.load(Ordering::Acquire) >= MAX_IN_FLIGHT {
            let full = failure(id, FailureKind::Overloaded, "too many requests in flight");
            return self.reply(full).await;
        }

        let cancelled = CancellationToken::new();
        let replies = Replies::new(id, &self.shared, cancelled.clone());
        self.requests.insert(id, cancelled);
        let handler = Arc::clone(&self.handler);
        let peer = Arc::clone(&self.peer);
        self.tasks.spawn(handle(handler, peer, kind, replies));
        Ok(())
    }

    async fn finish_request(&mut self, ended: RequestEnd) -> Result<(), Closed> {
        let Some(cancelled) = self.requests.remove(&ended.id) else {
            return Ok(());
        };
        if ended.answered || cancelled.is_cancelled() {
            return Ok(());
        }
        // The kind is unspecified on purpose: the handler may have done its work, and a
        // specific kind would claim to know.
        let unanswered = failure(ended.id, FailureKind::Unspecified, "no answer");
        self.reply(unanswered).await
    }

    async fn reply(&self, frame: OutgoingFrame) -> Result<(), Closed> {
        self.shared.out.reserve().await?.send(frame);
        Ok(())
    }

    fn cancel_all(&self) {
        for cancelled in self.requests.values() {
            cancelled.cancel();
        }
    }

    /// Waits for the requests in flight; once the server stops, for up to
    /// [`STOP_GRACE`].
    async fn shut_down(
        &mut self,
        endings: &mut mpsc::UnboundedReceiver<RequestEnd>,
        stop: &CancellationToken,
    ) {
        tokio::select! {
            () = self.drain(endings) => {}
            () = stop.cancelled() => {
                let deadline = Instant::now() + STOP_GRACE;
                let _timed_out = timeout_at(deadline, self.drain(endings)).await;
            }
        }
        self.cancel_all();
        self.tasks.shutdown().await;
    }

    async fn drain(&mut self, endings: &mut mpsc::UnboundedReceiver<RequestEnd>) {
        while !self.requests.is_empty() {
            let Some(ended) = endings.recv().await else {
                break;
            };
            if self.finish_request(ended).await.is_err() {
                self.cancel_all();
            }
        }
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn handle(handler: SharedHandler, peer: Arc<str>, kind: request::Kind, replies: Replies) {
    handler.handle(&peer, kind, replies).await;
}
