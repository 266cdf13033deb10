//! Errors of calls and of replies.

use swiftlink_wire::link::Failure;

/// Why a call has no reply.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// There is no connection; the request was certainly not sent.
    #[error("no connection to the peer")]
    Down,
    /// The request was sent, but no reply tells what became of it: the connection
    /// or the handler ended, or more replies came than were taken.
    #[error("the request was sent, its reply is lost")]
    Lost,
    /// No reply came in time; the request was sent.
    #[error("no reply in time")]
    Timeout,
    /// The peer answered with a failure.
    #[error("the peer failed the request: {}", .0.detail)]
    Failed(Failure),
}

/// The caller no longer takes replies, or its connection is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller takes no more replies")]
pub struct Closed;
