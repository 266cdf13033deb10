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

/// A connection whose peer accepts no byte for this long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of frames taken from the queue at once.
const MAX_BATCH: usize = 256;

/// Number of encoded bytes at which they are written although more frames are queued.
const FLUSH_BYTES: usize = 256 * 1024;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const WITHDRAWN: u8 = 2;

/// Whether a request is queued, was sent or was withdrawn.
///
/// A request leaves the queue in one way only: it is either sent or withdrawn.
#[derive(Debug, Default)]
pub(crate) struct SendState(AtomicU8);

impl SendState {
    /// Withdraws the request; false if it was, or may have been, sent.
    pub(crate) fn try_withdraw(&self) -> bool {
        self.transition(WITHDRAWN)
    }

    /// Marks the request as sent; false if it was withdrawn.
    fn try_send(&self) -> bool {
        self.transition(SENT)
    }

    fn transition(&self, to: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        match self.0.compare_exchange(QUEUED, to, success, failure) {
            Ok(_queued) => true,
            Err(current) => current == to,
        }
    }
}

/// A frame in the queue of a connection.
#[derive(Debug)]
pub(crate) struct OutgoingFrame {
    message: Frame,
    send_state: Option<Arc<SendState>>,
}

impl OutgoingFrame {
    pub(crate) fn request(id: u64, kind: request::Kind, send_state: Arc<SendState>) -> Self {
        let request = Request { kind: Some(kind) };
        Self::new(id, frame::Body::Request(request), Some(send_state))
    }

    pub(crate) fn reply(id: u64, kind: reply::Kind, last: bool) -> Self {
        let kind = Some(kind);
        Self::new(id, frame::Body::Reply(Reply { last, kind }), None)
    }

    pub(crate) fn cancel(id: u64) -> Self {
        Self::new(id, frame::Body::Cancel(Cancel {}), None)
    }

    /// Size of the encoded frame in bytes.
    pub(crate) fn size(&self) -> usize {
        prost::Message::encoded_len(&self.message)
    }

    fn new(id: u64, body: frame::Body, send_state: Option<Arc<SendState>>) -> Self {
        let message = Frame {
            id,
            body: Some(body),
        };
        Self {
            message,
            send_state,
        }
    }

    /// Marks the frame as sent; false if its request was withdrawn.
    fn try_send(&self) -> bool {
        self.send_state
            .as_ref()
            .is_none_or(|send_state| send_state.try_send())
    }
}

/// Sends frames: directly to the socket while no other frame waits for it, otherwise
/// through the queue of the writing task.
///
/// Writing directly saves the callers that wait for the reply a thread switch.
#[derive(Debug, Clone)]
pub(crate) struct FrameSender {
    queue: mpsc::Sender<OutgoingFrame>,
    shared: Arc<Shared>,
}

/// The frames queued for one connection, and the socket to write them to.
#[derive(Debug)]
pub(crate) struct WriteQueue {
    queue: mpsc::Receiver<OutgoingFrame>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Number of frames in the queue, or taken from it and not encoded into
    /// `State::bytes` yet. While there are any, a direct write could overtake an
    /// earlier frame of the same caller.
    queued: AtomicUsize,
    /// Notified when a direct write could not write all bytes to the socket.
    unflushed: Notify,
}

#[derive(Debug)]
struct State {
    /// `None` once the connection is closed.
    socket: Option<Arc<OwnedWriteHalf>>,
    codec: FrameCodec,
    /// Encoded frames that are not written to the socket yet.
    bytes: BytesMut,
}

/// Creates the two ends of a connection's write queue, which holds `capacity` frames.
pub(crate) fn channel(socket: OwnedWriteHalf, capacity: usize) -> (FrameSender, WriteQueue) {
    let (sender, queue) = mpsc::channel(capacity);
    let state = State {
        socket: Some(Arc::new(socket)),
        codec: FrameCodec::default(),
        bytes: BytesMut::new(),
    };
    let shared = Arc::new(Shared {
        state: Mutex::new(state),
        queued: AtomicUsize::new(0),
        unflushed: Notify::new(),
    });
    let sender = FrameSender {
        queue: sender,
        shared: Arc::clone(&shared),
    };
    (sender, WriteQueue { queue, shared })
}

impl FrameSender {
    /// Reserves a place in the queue for one frame; waits while the queue is full.
    pub(crate) async fn reserve(&self) -> Result<SendPermit<'_>, Closed> {
        let permit = self.queue.reserve().await.map_err(|_closed| Closed)?;
        Ok(SendPermit {
            permit,
            shared: &self.shared,
        })
    }

    /// Reserves a place in the queue for one frame; `None` if the queue is full or
    /// closed.
    pub(crate) fn try_reserve(&self) -> Option<SendPermit<'_>> {
        let permit = self.queue.try_reserve().ok()?;
        Some(SendPermit {
            permit,
            shared: &self.shared,
        })
    }

    /// Waits until the queue accepts no more frames.
    pub(crate) async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Gives up the socket at once, without writing what is queued.
    pub(crate) fn close(&self) {
        self.shared.lock().socket = None;
    }
}

/// A reserved place for one frame on a connection.
pub(crate) struct SendPermit<'a> {
    permit: Permit<'a, OutgoingFrame>,
    shared: &'a Shared,
}

impl SendPermit<'_> {
    /// Writes the frame directly if possible, otherwise queues it.
    pub(crate) fn send(self, frame: OutgoingFrame) {
        if let Some(frame) = self.shared.write_directly(frame) {
            self.shared.queued.fetch_add(1, Ordering::AcqRel);
            self.permit.send(frame);
        }
    }
}

impl Shared {
    /// Writes the frame if no other is queued before it; otherwise returns it.
    fn write_directly(&self, frame: OutgoingFrame) -> Option<OutgoingFrame> {
        let Ok(mut state) = self.state.try_lock() else {
            return Some(frame);
        };
        if self.queued.load(Ordering::Acquire) > 0 || !state.bytes.is_empty() {
            return Some(frame);
        }
        let Some(socket) = state.socket.clone() else {
            return Some(frame);
        };
        if !frame.try_send() {
            return None;
        }
        // The size was checked before, so encoding doesn't fail; on an error of the
        // socket the writing task ends the connection.
        if state.encode(&frame).is_err() || !matches!(state.write(&socket), Ok(true)) {
            self.unflushed.notify_one();
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // A poisoned lock is usable: no change is left half done when a guard is dropped.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn encode(&mut self, frame: &OutgoingFrame) -> Result<(), FrameError> {
        self.codec.encode(&frame.message, &mut self.bytes)
    }

    /// Writes until all bytes are written (true) or the socket would block (false).
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

/// Writes the queued frames until the queue is closed or the connection is lost.
///
/// Frames that are queued together go out in one write. After `finish` is cancelled, the
/// frames that are already queued are still written.
pub(crate) async fn write_all(mut write_queue: WriteQueue, finish: CancellationToken) {
    let shared = Arc::clone(&write_queue.shared);
    let Some(socket) = shared.lock().socket.clone() else {
        return;
    };
    let mut batch = Vec::with_capacity(MAX_BATCH);

    loop {
        tokio::select! {
            biased;
            count = write_queue.queue.recv_many(&mut batch, MAX_BATCH) => if count == 0 { break },
            () = shared.unflushed.notified() => {}
            () = finish.cancelled(), if !write_queue.queue.is_closed() => {
                write_queue.queue.close();
                continue;
            }
        }

        for frame in batch.drain(..) {
            let is_full = {
                let mut state = shared.lock();
                // The size was checked before the frame was queued.
                if frame.try_send() && state.encode(&frame).is_err() {
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
        // An error only means that the peer has closed the connection already.
        let _closed = tokio::time::timeout(WRITE_TIMEOUT, socket.shutdown()).await;
    }
}

/// Writes all encoded bytes; `None` when the connection is lost or the peer accepts no
/// byte for [`WRITE_TIMEOUT`].
async fn flush(shared: &Shared, socket: &OwnedWriteHalf) -> Option<()> {
    loop {
        if shared.lock().write(socket).ok()? {
            return Some(());
        }
        let writable = tokio::time::timeout(WRITE_TIMEOUT, socket.writable());
        writable.await.ok()?.ok()?;
    }
}
