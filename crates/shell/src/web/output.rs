//! Response bodies as xitca's dispatcher polls them.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Sleep, sleep};
use xitca_web::body::{Body as XitcaBody, Frame, SizeHint};

use super::body::{Body, Kind};
use super::connection::Connection;
use super::incoming::Source;

/// Most of an unread request body that is thrown away after the response.
const DRAIN_BYTES: usize = 256 * 1024;
/// How long the client may take to send it.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// A response body that ends its request on the connection when it is dropped.
pub(super) struct Output {
    kind: Option<Kind>,
    size: SizeHint,
    drain: Option<Drain>,
    connection: Rc<Connection>,
}

/// An unread request body on its way to nowhere.
struct Drain {
    rest: Source,
    left: usize,
    end: Pin<Box<Sleep>>,
}

impl Output {
    pub(super) fn new(body: Body, connection: Rc<Connection>) -> Self {
        let size = match &body.0 {
            Kind::Full(content) => SizeHint::Exact(content.len() as u64),
            Kind::Stream(_) => SizeHint::Unknown,
        };
        Self {
            kind: Some(body.0),
            size,
            drain: None,
            connection,
        }
    }

    /// Reads the rest of the request behind the content, so that the connection can serve
    /// the next one. Gives whether it will, which it does for content of known length
    /// only: the end mark of a stream would have to wait for it.
    pub(super) fn drain(&mut self, rest: Source, time: Duration) -> bool {
        if !matches!(self.size, SizeHint::Exact(_)) {
            return false;
        }
        self.drain = Some(Drain {
            rest,
            left: DRAIN_BYTES,
            end: Box::pin(sleep(time.min(DRAIN_TIME))),
        });
        true
    }

    /// Leaves out the content but keeps its length, as the response to HEAD.
    pub(super) fn leave_content(&mut self) {
        self.kind = None;
    }

    /// Leaves out content and length, as for the statuses that have neither.
    pub(super) fn leave_length(&mut self) {
        self.kind = None;
        self.size = SizeHint::None;
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

    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while let Some(drain) = &mut self.drain {
            let piece = match drain.rest.poll_next(cx) {
                Poll::Ready(piece) => piece,
                Poll::Pending => {
                    ready!(drain.end.as_mut().poll(cx));
                    None
                }
            };
            let taken = match piece {
                Some(Ok(piece)) => drain.left.checked_sub(piece.len()),
                _ => None,
            };
            match taken {
                Some(left) => drain.left = left,
                None => self.drain = None,
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
