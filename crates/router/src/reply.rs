//! The answer of a request's task, on its way to the thread of the caller's connection.

use std::io;

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderMap, Response, StatusCode};
use swiftlink_shell::web::Body;
use swiftlink_types::{Refusal, RequestKey};
use tokio::sync::{mpsc, oneshot};

use crate::problem;

/// Pieces of a streamed answer that wait for the caller's connection.
const PIECES: usize = 32;

/// An answer.
#[derive(Debug)]
pub enum Reply {
    /// Not served in full.
    Refused(Refusal),
    /// Whole.
    Whole(StatusCode, HeaderMap, Bytes),
    /// In pieces.
    Pieces(StatusCode, HeaderMap, mpsc::Receiver<Piece>),
}

/// A piece of a streamed answer; an error cuts the caller's connection.
pub type Piece = Result<Bytes, io::Error>;

/// Where a request's task puts its answer.
pub type ReplySender = oneshot::Sender<Reply>;

/// The two ends of a streamed answer.
#[must_use]
pub fn pieces() -> (mpsc::Sender<Piece>, mpsc::Receiver<Piece>) {
    mpsc::channel(PIECES)
}

impl Reply {
    /// The HTTP response.
    #[must_use]
    pub fn into_response(self, key: RequestKey) -> Response<Body> {
        let (status, headers, body) = match self {
            Self::Refused(refusal) => return problem::respond(&refusal, Some(key)),
            Self::Whole(status, headers, body) => (status, headers, Body::full(body)),
            Self::Pieces(status, headers, receiver) => {
                (status, headers, Body::stream(stream(receiver)))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        problem::set_key(response.headers_mut(), key);
        response
    }
}

fn stream(receiver: mpsc::Receiver<Piece>) -> impl Stream<Item = Piece> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let piece = receiver.recv().await?;
        Some((piece, receiver))
    })
}
