//! Adapter from response bodies to the body type that xitca's dispatcher polls.

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
use super::incoming::BodyReader;

/// Longest time that the client may take to send the unread part of a request body that is discarded
/// after the response.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A response body. Dropping it marks the connection as idle.
pub(super) struct ResponseBody {
    kind: Option<Kind>,
    size: SizeHint,
    drain: Option<Drain>,
    connection: Rc<Connection>,
}

/// State of discarding an unread request body.
struct Drain {
    rest: BodyReader,
    left: usize,
    end: Pin<Box<Sleep>>,
}

impl ResponseBody {
    pub(super) fn new(body: Body, connection: Rc<Connection>) -> Self {
        if let Some(deadline) = body.deadline {
            connection.set_deadline(deadline);
        }
        let size = match &body.kind {
            Kind::Full(content) => SizeHint::Exact(content.len() as u64),
            Kind::Stream(_) => SizeHint::Unknown,
        };
        Self {
            kind: Some(body.kind),
            size,
            drain: None,
            connection,
        }
    }

    /// Discards the unread rest of the request body after the content, so that the
    /// connection can serve the next request. Returns false for content of unknown length,
    /// where nothing is discarded: the final chunk would have to wait for it.
    pub(super) fn drain(&mut self, rest: BodyReader, time: Duration) -> bool {
        if !matches!(self.size, SizeHint::Exact(_)) {
            return false;
        }
        self.drain = Some(Drain {
            left: rest.max_drain(),
            rest,
            end: Box::pin(sleep(time.min(DRAIN_TIMEOUT))),
        });
        true
    }

    /// Drops the content but keeps its length, as a response to HEAD needs.
    pub(super) fn drop_content(&mut self) {
        self.kind = None;
    }

    /// Drops content and length, for statuses that allow neither.
    pub(super) fn drop_length(&mut self) {
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

impl XitcaBody for ResponseBody {
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
                Some(piece) => {
                    let bytes = piece.as_ref().map_or(0, Bytes::len);
                    this.connection.meter.on_sent(bytes);
                    return Poll::Ready(Some(piece.map(Frame::Data)));
                }
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

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.connection.end();
    }
}
