//! Bodies of responses.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::Instant;

/// Time for a body to end by itself at its deadline.
const END_TIME: Duration = Duration::from_millis(100);

/// Body of a response: complete content or a stream of pieces.
///
/// When the stream fails, the connection is closed without the final chunk, so that the
/// client notices that the response is incomplete.
pub struct Body {
    pub(super) kind: Kind,
    /// When the connection is closed if the client hasn't taken the whole body.
    pub(super) deadline: Option<Instant>,
}

pub(super) enum Kind {
    Full(Bytes),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>),
}

impl Body {
    /// A body without content.
    #[must_use]
    pub fn empty() -> Self {
        Self::full(Bytes::new())
    }

    /// A body with complete content.
    pub fn full(content: impl Into<Bytes>) -> Self {
        Self {
            kind: Kind::Full(content.into()),
            deadline: None,
        }
    }

    /// Reads the pieces of a stream into complete content of up to `max` bytes.
    ///
    /// # Errors
    /// When the stream fails or is longer.
    pub(super) async fn collect(self, max: usize) -> io::Result<Self> {
        let Kind::Stream(mut stream) = self.kind else {
            return Ok(self);
        };
        let mut content = BytesMut::new();
        while let Some(piece) = stream.next().await {
            content.extend_from_slice(&piece?);
            if content.len() > max {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
        }
        Ok(Self::full(content))
    }

    /// A body that sends each piece of `stream` as soon as it is ready.
    pub fn stream(stream: impl Stream<Item = Result<Bytes, io::Error>> + 'static) -> Self {
        Self {
            kind: Kind::Stream(Box::pin(stream)),
            deadline: None,
        }
    }

    /// Closes the connection a moment after `deadline` if the client hasn't taken the whole body by
    /// then. The stream of a body isn't polled while the client doesn't read, so it can't end by itself.
    #[must_use]
    pub fn until(mut self, deadline: Instant) -> Self {
        self.deadline = Some(deadline + END_TIME);
        self
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::empty()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Full(content) => f.debug_tuple("Full").field(&content.len()).finish(),
            Kind::Stream(_) => f.write_str("Stream"),
        }
    }
}
