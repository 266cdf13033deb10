//! The server's side of one proved connection.

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
use crate::handshake::Proved;
use crate::incoming::Reader;
use crate::outgoing::{self, Outgoing};
use crate::replies::{Ended, Replies, Shared, SharedHandler, failure};

/// Replies that wait to be written; handlers wait beyond it.
const QUEUE: usize = 64;

/// Requests in flight on one connection; more are refused at once.
const MAX_OPEN: usize = 4096;

/// Time that handlers get to end when the server stops.
const STOP_GRACE: Duration = Duration::from_secs(1);

/// Time that the peer gets to close its side after the last reply.
const LINGER: Duration = Duration::from_millis(250);

struct Session {
    peer: Arc<str>,
    handler: SharedHandler,
    shared: Shared,
    open: HashMap<u64, CancellationToken>,
    tasks: JoinSet<()>,
}

/// Serves the connection until it is lost or the server stops, and then until
/// the handlers have ended.
pub(crate) async fn serve(proved: Proved, handler: SharedHandler, stop: CancellationToken) {
    let (read, write) = proved.socket.into_split();
    let mut reader = Reader::new(read, proved.input);
    let (out, backlog) = outgoing::channel(write, QUEUE);
    let (ended, mut endings) = mpsc::unbounded_channel();
    let finish = CancellationToken::new();

    let mut session = Session {
        peer: proved.peer,
        handler,
        shared: Shared {
            out,
            ended,
            leaving: stop.clone(),
            in_flight: Arc::default(),
        },
        open: HashMap::new(),
        tasks: JoinSet::new(),
    };
    let writer = outgoing::write_all(backlog, finish.clone());
    let reading = async {
        session.read(&mut reader, &mut endings, &stop).await;
        session.wind_down(&mut endings, &stop).await;
        // Replies that a handler gave to another task may still hold the queue.
        finish.cancel();
    };
    tokio::join!(writer, reading);
    // Closing a socket with unread input would reset the connection, and the peer
    // might lose replies that it has not read yet.
    let _late = timeout(LINGER, discard(&mut reader)).await;
}

async fn discard(reader: &mut Reader) {
    while let Ok(Some(_frame)) = reader.next().await {}
}

impl Session {
    async fn read(
        &mut self,
        reader: &mut Reader,
        endings: &mut mpsc::UnboundedReceiver<Ended>,
        stop: &CancellationToken,
    ) {
        let out = self.shared.out.clone();
        loop {
            // Endings before frames, so that ended requests don't pile up.
            let going = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                () = out.closed() => Err(Closed),
                Some(ended) = endings.recv() => self.end(ended).await,
                Some(_ended) = self.tasks.join_next() => Ok(()),
                frame = reader.next() => match frame {
                    Ok(Some(frame)) => self.take(frame).await,
                    Ok(None) | Err(_) => Err(Closed),
                },
            };
            if going.is_err() {
                self.cancel_all();
                return;
            }
        }
    }

    /// Takes a frame; anything but a request or a cancel breaks the protocol.
    async fn take(&mut self, frame: Frame) -> Result<(), Closed> {
        match frame.body {
            Some(frame::Body::Request(request)) => self.begin(frame.id, request).await,
            Some(frame::Body::Cancel(_)) => {
                if let Some(gone) = self.open.get(&frame.id) {
                    gone.cancel();
                }
                Ok(())
            }
            _ => Err(Closed),
        }
    }

    async fn begin(&mut self, id: u64, request: Request) -> Result<(), Closed> {
        let Some(kind) = request.kind else {
            let unknown = failure(id, FailureKind::BadRequest, "unknown kind of request");
            return self.reply(unknown).await;
        };
        if self.open.contains_key(&id) {
            return Err(Closed);
        }
        if self.shared.in_flight.load(Ordering::Acquire) >= MAX_OPEN {
            let full = failure(id, FailureKind::Overloaded, "too many requests in flight");
            return self.reply(full).await;
        }

        let gone = CancellationToken::new();
        let replies = Replies::new(id, &self.shared, gone.clone());
        self.open.insert(id, gone);
        let handler = Arc::clone(&self.handler);
        let peer = Arc::clone(&self.peer);
        self.tasks.spawn(handle(handler, peer, kind, replies));
        Ok(())
    }

    async fn end(&mut self, ended: Ended) -> Result<(), Closed> {
        let Some(gone) = self.open.remove(&ended.id) else {
            return Ok(());
        };
        if ended.answered || gone.is_cancelled() {
            return Ok(());
        }
        // Of no meaning on purpose: the handler may have done all of its work.
        let unanswered = failure(ended.id, FailureKind::Unspecified, "no answer");
        self.reply(unanswered).await
    }

    async fn reply(&self, outgoing: Outgoing) -> Result<(), Closed> {
        self.shared.out.reserve().await?.send(outgoing);
        Ok(())
    }

    fn cancel_all(&self) {
        for gone in self.open.values() {
            gone.cancel();
        }
    }

    /// Waits for the requests in flight, once the server stops for a limited time.
    async fn wind_down(
        &mut self,
        endings: &mut mpsc::UnboundedReceiver<Ended>,
        stop: &CancellationToken,
    ) {
        tokio::select! {
            () = self.drain(endings) => {}
            () = stop.cancelled() => {
                let deadline = Instant::now() + STOP_GRACE;
                let _late = timeout_at(deadline, self.drain(endings)).await;
            }
        }
        self.cancel_all();
        self.tasks.shutdown().await;
    }

    async fn drain(&mut self, endings: &mut mpsc::UnboundedReceiver<Ended>) {
        while !self.open.is_empty() {
            let Some(ended) = endings.recv().await else {
                break;
            };
            if self.end(ended).await.is_err() {
                self.cancel_all();
            }
        }
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn handle(handler: SharedHandler, peer: Arc<str>, kind: request::Kind, replies: Replies) {
    handler.handle(&peer, kind, replies).await;
}
