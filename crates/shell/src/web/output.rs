//! Response bodies as xitca's dispatcher polls them.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use xitca_web::body::{Body as XitcaBody, Frame, SizeHint};

use super::body::{Body, Kind};
use super::connection::Connection;
use super::incoming::Source;

/// Most of an unread request body that is thrown away after the response.
const DRAIN_BYTES: usize = 256 * 1024;

/// A response body that ends its request on the connection when it is dropped.
pub(super) struct Output {
    kind: Option<Kind>,
    size: SizeHint,
    rest: Option<Source>,
    left: usize,
    connection: Rc<Connection>,
}

impl Output {
    /// `rest` is what the service left of the request's body.
    pub(super) fn new(body: Body, rest: Source, connection: Rc<Connection>) -> Self {
        let size = match &body.0 {
            Kind::Full(content) => SizeHint::Exact(content.len() as u64),
            Kind::Stream(_) => SizeHint::Unknown,
        };
        // The end mark of a stream would have to wait for the rest of the request.
        let drains = matches!(size, SizeHint::Exact(_)) && !rest.is_done();
        Self {
            kind: Some(body.0),
            size,
            rest: drains.then_some(rest),
            left: DRAIN_BYTES,
            connection,
        }
    }

    /// Leaves out the content but keeps its length, as the response to HEAD.
    pub(super) fn without_content(mut self) -> Self {
        self.kind = None;
        self
    }

    /// Leaves out content and length, as for the statuses that have neither.
    pub(super) fn without_length(mut self) -> Self {
        self.kind = None;
        self.size = SizeHint::None;
        self
    }

    fn poll_content(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        match self.kind.take() {
            None => Poll::Ready(None),
            Some(Kind::Full(content)) if content.is_empty() => Poll::Ready(None),
            Some(Kind::Full(content)) => Poll::Ready(Some(Ok(content))),
            Some(Kind::Stream(mut stream)) => {
                let polled = stream.as_mut().poll_next(cx);
                if !matches!(polled, Poll::Ready(None)) {
                    self.kind = Some(Kind::Stream(stream));
                }
                polled
            }
        }
    }

    /// Reads the rest of the request, so that the connection can serve the next one.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(rest) = &self.rest {
            let piece = ready!(rest.poll_next(cx));
            let taken = match piece {
                Some(Ok(piece)) => self.left.checked_sub(piece.len()),
                _ => None,
            };
            match taken {
                Some(left) => self.left = left,
                None => self.rest = None,
            }
        }
        Poll::Ready(())
    }
}

impl XitcaBody for Output {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        loop {
            match ready!(this.poll_content(cx)) {
                // An empty chunk would end a chunked body.
                Some(Ok(piece)) if piece.is_empty() => {}
                Some(piece) => return Poll::Ready(Some(piece.map(Frame::Data))),
                None => break,
            }
        }
        ready!(this.poll_drain(cx));
        Poll::Ready(None)
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}

impl Drop for Output {
    fn drop(&mut self) {
        self.connection.end();
    }
}
