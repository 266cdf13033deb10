//! How the end of a response body is marked.

use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, Response};
use hyper::body::Body;

/// How the end of a response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, which doesn't tell a complete body from a truncated one.
    Close,
}

impl Framing {
    /// The framing of a response whose body hasn't been read.
    #[must_use]
    pub fn of(response: &Response<impl Body>) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Self::Length;
        }
        if is_chunked(response.headers()) {
            return Self::Chunked;
        }
        Self::Close
    }

    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// Whether `chunked` is the last transfer coding.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let codings = codings.and_then(|value| value.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
