//! The writing half of a connection: a bounded queue, written in batches.

use std::io;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use swiftlink_wire::link::{Cancel, Frame, Reply, Request, frame, reply, request};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use tokio::sync::Notify;
use tokio::sync::mpsc::{self, Permit};
use tokio_util::codec::Encoder;
use tokio_util::sync::CancellationToken;

use crate::Closed;
use crate::codec::{FrameCodec, FrameError};

/// A peer that takes no byte for this long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Most frames taken from the queue at once.
const BATCH: usize = 256;

/// Encoded bytes after which a batch is written although more is queued.
const FLUSH_BYTES: usize = 256 * 1024;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Settles whether a queued request goes out or is withdrawn; never both.
#[derive(Debug, Default)]
pub(crate) struct Ticket(AtomicU8);

impl Ticket {
    /// Withdraws the request. False if it was, or may have been, sent.
    pub(crate) fn withdraw(&self) -> bool {
        self.settle(WITHDRAWN)
    }

    /// Claims the request for sending. False if it was withdrawn.
    fn begin(&self) -> bool {
        self.settle(SENT)
    }

    fn settle(&self, to: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        match self.0.compare_exchange(QUEUED, to, success, failure) {
            Ok(_queued) => true,
            Err(now) => now == to,
        }
    }
}

/// A frame in the queue of a connection.
#[derive(Debug)]
pub(crate) struct Outgoing {
    frame: Frame,
    ticket: Option<Arc<Ticket>>,
}

impl Outgoing {
    pub(crate) fn request(id: u64, kind: request::Kind, ticket: Arc<Ticket>) -> Self {
        let request = Request { kind: Some(kind) };
        Self::new(id, frame::Body::Request(request), Some(ticket))
    }

    pub(crate) fn reply(id: u64, kind: reply::Kind, last: bool) -> Self {
        let kind = Some(kind);
        Self::new(id, frame::Body::Reply(Reply { last, kind }), None)
    }

    pub(crate) fn cancel(id: u64) -> Self {
        Self::new(id, frame::Body::Cancel(Cancel {}), None)
    }

    /// Bytes of the encoded frame.
    pub(crate) fn size(&self) -> usize {
        prost::Message::encoded_len(&self.frame)
    }

    fn new(id: u64, body: frame::Body, ticket: Option<Arc<Ticket>>) -> Self {
        let frame = Frame {
            id,
            body: Some(body),
        };
        Self { frame, ticket }
    }

    fn begin(&self) -> bool {
        self.ticket.as_ref().is_none_or(|ticket| ticket.begin())
    }
}

/// Where frames go: straight to the socket while nothing else waits for it, else
/// into the queue of the task that writes.
///
/// The straight way saves a change of thread to those who wait for the answer.
#[derive(Debug, Clone)]
pub(crate) struct Outbound {
    queue: mpsc::Sender<Outgoing>,
    shared: Arc<Shared>,
}

/// What is queued for one connection, and the socket that it goes to.
#[derive(Debug)]
pub(crate) struct Backlog {
    queue: mpsc::Receiver<Outgoing>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Frames in the queue or taken from it, but not in `State::bytes` yet. While
    /// there are any, frames of the same caller must not go straight past them.
    queued: AtomicUsize,
    /// The socket did not take all bytes of a straight write.
    left: Notify,
}

#[derive(Debug)]
struct State {
    /// Nothing once the connection has ended.
    socket: Option<Arc<OwnedWriteHalf>>,
    codec: FrameCodec,
    /// Encoded, and not taken by the socket.
    bytes: BytesMut,
}

/// The two ends of the writing half of a connection, with room for `room` frames.
pub(crate) fn channel(socket: OwnedWriteHalf, room: usize) -> (Outbound, Backlog) {
    let (sender, queue) = mpsc::channel(room);
    let state = State {
        socket: Some(Arc::new(socket)),
        codec: FrameCodec::default(),
        bytes: BytesMut::new(),
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        queued: AtomicUsize::new(0),
        left: Notify::new(),
    });
    let outbound = Outbound {
        queue: sender,
        shared: Arc::clone(&shared),
    };
    (outbound, Backlog { queue, shared })
}

impl Outbound {
    /// Room for one frame; waits for it.
    pub(crate) async fn reserve(&self) -> Result<Place<'_>, Closed> {
        let permit = self.queue.reserve().await.map_err(|_closed| Closed)?;
        Ok(Place {
            permit,
            shared: &self.shared,
        })
    }

    /// Room for one frame, if there is some now.
    pub(crate) fn try_reserve(&self) -> Option<Place<'_>> {
        let permit = self.queue.try_reserve().ok()?;
        Some(Place {
            permit,
            shared: &self.shared,
        })
    }

    /// Resolves once no more frames are taken.
    pub(crate) async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Closes the socket at once.
    pub(crate) fn close(&self) {
        self.shared.lock().socket = None;
    }
}

/// Room for one frame on a connection.
pub(crate) struct Place<'a> {
    permit: Permit<'a, Outgoing>,
    shared: &'a Shared,
}

impl Place<'_> {
    /// Puts a frame on its way.
    pub(crate) fn send(self, outgoing: Outgoing) {
        if let Some(outgoing) = self.shared.write_straight(outgoing) {
            self.shared.queued.fetch_add(1, Ordering::AcqRel);
            self.permit.send(outgoing);
        }
    }
}

impl Shared {
    /// Writes the frame if nothing waits before it; else gives it back.
    fn write_straight(&self, outgoing: Outgoing) -> Option<Outgoing> {
        let Ok(mut state) = self.state.try_lock() else {
            return Some(outgoing);
        };
        if self.queued.load(Ordering::Acquire) > 0 || !state.bytes.is_empty() {
            return Some(outgoing);
        }
        let Some(socket) = state.socket.clone() else {
            return Some(outgoing);
        };
        if !outgoing.begin() {
            return None;
        }
        // Sizes were checked before; on an error the writing task ends the connection.
        if state.encode(&outgoing).is_err() || !matches!(state.write(&socket), Ok(true)) {
            self.left.notify_one();
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every change is whole before the guard is dropped.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn encode(&mut self, outgoing: &Outgoing) -> Result<(), FrameError> {
        self.codec.encode(&outgoing.frame, &mut self.bytes)
    }

    /// Writes until all is written, which it tells, or the socket takes no more.
    fn write(&mut self, socket: &OwnedWriteHalf) -> io::Result<bool> {
        while self.bytes.has_remaining() {
            match socket.try_write(&self.bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.bytes.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }
}

/// Writes what is queued until the queue or the connection ends.
///
/// Frames that wait together go out in one write. After `finish` only what is
/// queued already is still written.
pub(crate) async fn write_all(mut backlog: Backlog, finish: CancellationToken) {
    let shared = Arc::clone(&backlog.shared);
    let Some(socket) = shared.lock().socket.clone() else {
        return;
    };
    let mut batch = Vec::with_capacity(BATCH);

    loop {
        tokio::select! {
            biased;
            count = backlog.queue.recv_many(&mut batch, BATCH) => if count == 0 { break },
            () = shared.left.notified() => {}
            () = finish.cancelled(), if !backlog.queue.is_closed() => {
                backlog.queue.close();
                continue;
            }
        }

        for outgoing in batch.drain(..) {
            let is_full = {
                let mut state = shared.lock();
                // Sizes were checked before the frame was queued.
                if outgoing.begin() && state.encode(&outgoing).is_err() {
                    return;
                }
                shared.queued.fetch_sub(1, Ordering::AcqRel);
                state.bytes.len() >= FLUSH_BYTES
            };
            if is_full && flush(&shared, &socket).await.is_none() {
                return;
            }
        }
        if flush(&shared, &socket).await.is_none() {
            return;
        }
        let mut state = shared.lock();
        if state.bytes.is_empty() && state.bytes.capacity() > 4 * FLUSH_BYTES {
            state.bytes = BytesMut::new();
        }
    }

    let last = shared.lock().socket.take();
    drop(last);
    if let Some(mut socket) = Arc::into_inner(socket) {
        // The peer may be gone already, which is no news.
        let _closed = tokio::time::timeout(WRITE_TIMEOUT, socket.shutdown()).await;
    }
}

/// Writes all bytes; `None` when the connection is lost.
async fn flush(shared: &Shared, socket: &OwnedWriteHalf) -> Option<()> {
    loop {
        if shared.lock().write(socket).ok()? {
            return Some(());
        }
        let room = tokio::time::timeout(WRITE_TIMEOUT, socket.writable());
        room.await.ok()?.ok()?;
    }
}
