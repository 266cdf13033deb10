//! Bodies of responses.

use std::fmt;
use std::io;
use std::pin::Pin;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};

/// Body of a response: complete content or a stream of pieces.
///
/// When the stream fails, the connection is closed without the final chunk, so that the
/// client notices that the response is incomplete.
pub struct Body(pub(super) Kind);

pub(super) enum Kind {
    Full(Bytes),
    Stream(Pin<Box<dyn Stream<Item = Result<Bytes, io::Error>>>>),
}

impl Body {
    /// A body without content.
    #[must_use]
    pub fn empty() -> Self {
        Self(Kind::Full(Bytes::new()))
    }

    /// A body with complete content.
    pub fn full(content: impl Into<Bytes>) -> Self {
        Self(Kind::Full(content.into()))
    }

    /// Reads the pieces of a stream into complete content of up to `max` bytes.
    ///
    /// # Errors
    /// When the stream fails or is longer.
    pub(super) async fn collect(self, max: usize) -> io::Result<Self> {
        let Kind::Stream(mut stream) = self.0 else {
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
        Self(Kind::Stream(Box::pin(stream)))
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::empty()
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Kind::Full(content) => f.debug_tuple("Full").field(&content.len()).finish(),
            Kind::Stream(_) => f.write_str("Stream"),
        }
    }
}
