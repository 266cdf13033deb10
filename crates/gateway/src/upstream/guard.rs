//! Bounds what a server sends that is no content of a response.
//!
//! Interim responses, the size lines and extensions of chunks and the like may come without end, as
//! fast as the link carries them. They are read and parsed, and neither the limit of a head nor that
//! of a body counts them. What has to grow with what is read is the content that is delivered.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of a response beyond its content: its head, and what the HTTP library reads ahead, up to
/// twice 400 KiB.
const MAX_OVERHEAD: u64 = 1 << 20;
/// Bytes read for each byte of content; a chunk of one byte has six.
const MAX_RATIO: u64 = 16;

/// Counts what is read on a connection and what of it is content; shared with its stream.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadGuard(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    read: AtomicU64,
    content: AtomicU64,
}

impl ReadGuard {
    /// Begins a request.
    pub(super) fn begin(&self) {
        self.0.read.store(0, Relaxed);
        self.0.content.store(0, Relaxed);
    }

    /// Guards the reads of `inner`.
    pub(super) fn wrap<S>(&self, inner: S) -> GuardedStream<S> {
        GuardedStream {
            inner,
            guard: self.clone(),
        }
    }

    fn is_exceeded(&self) -> bool {
        let content = self.0.content.load(Relaxed);
        self.0.read.load(Relaxed) > MAX_OVERHEAD + MAX_RATIO * content
    }
}

/// A stream whose reads fail once a response is too little content; see [`ReadGuard`].
#[derive(Debug)]
pub(super) struct GuardedStream<S> {
    inner: S,
    guard: ReadGuard,
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.guard.is_exceeded() {
            let text = "the server sends too much besides the content of its response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.guard.0.read.fetch_add(count as u64, Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// The body of a response, whose bytes count as content.
#[derive(Debug)]
pub struct ResponseBody {
    inner: Incoming,
    guard: ReadGuard,
}

impl ResponseBody {
    pub(super) fn new(inner: Incoming, guard: ReadGuard) -> Self {
        Self { inner, guard }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(data) = frame.data_ref()
        {
            self.guard.0.content.fetch_add(data.len() as u64, Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
