//! The writing half of a connection: a bounded queue, written in batches.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use swiftlink_wire::link::{Cancel, Frame, Reply, Request, frame, reply, request};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::Encoder;
use tokio_util::sync::CancellationToken;

use crate::codec::FrameCodec;

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

/// Writes what is queued until the queue or the connection ends.
///
/// Frames that wait together go out in one write. After `finish` only what is
/// queued already is still written.
pub(crate) async fn write_all(
    mut socket: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Outgoing>,
    finish: CancellationToken,
) {
    let mut codec = FrameCodec::default();
    let mut bytes = BytesMut::with_capacity(FLUSH_BYTES);
    let mut batch = Vec::with_capacity(BATCH);

    loop {
        tokio::select! {
            biased;
            count = queue.recv_many(&mut batch, BATCH) => if count == 0 { break },
            () = finish.cancelled(), if !queue.is_closed() => {
                queue.close();
                continue;
            }
        }

        for outgoing in batch.drain(..) {
            if !outgoing.begin() {
                continue;
            }
            // Sizes were checked before the frame was queued.
            if codec.encode(&outgoing.frame, &mut bytes).is_err() {
                return;
            }
            if bytes.len() >= FLUSH_BYTES && flush(&mut socket, &mut bytes).await.is_none() {
                return;
            }
        }
        if flush(&mut socket, &mut bytes).await.is_none() {
            return;
        }
        if bytes.capacity() > 4 * FLUSH_BYTES {
            bytes = BytesMut::with_capacity(FLUSH_BYTES);
        }
    }

    // The peer may be gone already, which is no news.
    let _closed = tokio::time::timeout(WRITE_TIMEOUT, socket.shutdown()).await;
}

/// Writes all bytes; `None` when the connection is lost.
async fn flush(socket: &mut OwnedWriteHalf, bytes: &mut BytesMut) -> Option<()> {
    while bytes.has_remaining() {
        let write = tokio::time::timeout(WRITE_TIMEOUT, socket.write_buf(bytes));
        let written = write.await.ok()?.ok()?;
        if written == 0 {
            return None;
        }
    }
    Some(())
}
