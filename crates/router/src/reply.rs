//! Replies that a request's task sends to the caller's connection.

use std::io;

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderMap, Response, StatusCode};
use swiftlink_shell::web::Body;
use swiftlink_types::{Refusal, RequestKey};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::problem;

/// Largest number of buffered pieces of a streamed answer.
const MAX_PIECES: usize = 32;

/// Reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// A refusal or a failure.
    Refused(Refusal),
    /// A complete answer.
    Complete(StatusCode, HeaderMap, Bytes),
    /// A streamed answer.
    Stream(StreamedReply),
}

/// A streamed answer.
#[derive(Debug)]
pub struct StreamedReply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub pieces: mpsc::Receiver<Piece>,
    /// When the caller has to have taken the whole body.
    pub deadline: Option<Instant>,
}

/// A piece of a streamed answer; an error closes the caller's connection early.
pub type Piece = Result<Bytes, io::Error>;

/// Sends the reply of a request's task.
pub type ReplySender = oneshot::Sender<Reply>;

/// Creates the channel of a streamed answer.
#[must_use]
pub fn channel() -> (mpsc::Sender<Piece>, mpsc::Receiver<Piece>) {
    mpsc::channel(MAX_PIECES)
}

impl Reply {
    /// Builds the HTTP response.
    #[must_use]
    pub fn into_response(self, key: RequestKey) -> Response<Body> {
        let (status, headers, body) = match self {
            Self::Refused(refusal) => return problem::respond(&refusal, Some(key)),
            Self::Complete(status, headers, body) => (status, headers, Body::full(body)),
            Self::Stream(reply) => {
                let body = Body::stream(stream(reply.pieces));
                let body = match reply.deadline {
                    Some(deadline) => body.until(deadline),
                    None => body,
                };
                (reply.status, reply.headers, body)
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
