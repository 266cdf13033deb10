//! Bodies of responses.

use std::fmt;
use std::io;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;

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
