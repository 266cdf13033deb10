//! Errors of calls and of replies.

use swiftlink_wire::link::Failure;

/// Why a call has no reply.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// There is no connection; the request was certainly not sent.
    #[error("no connection to the peer")]
    Down,
    /// The request was sent, but its outcome is unknown: the connection or the handler
    /// ended before the last reply, or replies arrived faster than they were consumed.
    #[error("the request was sent, its reply is lost")]
    Lost,
    /// The request was sent, but no reply arrived in time.
    #[error("no reply in time")]
    Timeout,
    /// The peer answered with a failure.
    #[error("the peer failed the request: {}", .0.detail)]
    Failed(Failure),
}

/// The caller cancelled the request, got its last reply, or its connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the caller accepts no more replies")]
pub struct Closed;
