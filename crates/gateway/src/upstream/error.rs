//! Why an attempt to send a request failed.

use swiftlink_routing::ErrorKind;

use crate::eligibility::BlockReason;

/// Why no response head was received.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request left this process: the other side refused or closed the connection.
    #[error("not sent: {0}")]
    NotSent(String),
    /// No connection was made in time, and no byte of the request left this process.
    #[error("not sent: no connection in time")]
    Unreachable,
    /// The server may get no requests now, and no byte of this one left this process.
    #[error("not sent: {0}")]
    Withheld(BlockReason),
    /// The time for the response has passed, and no byte of the request left this process.
    #[error("not sent: the deadline has passed")]
    Expired,
    /// The request was sent, in part or in whole, and no response came back.
    #[error("lost after sending: {0}")]
    Lost(String),
    /// The request was sent, and no response came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The request was sent, and the path to the server turned out to be cut.
    #[error("the connection hangs")]
    Hung,
}

impl SendError {
    /// What happened, for logs and responses.
    #[must_use]
    pub fn detail(&self) -> &str {
        match self {
            Self::NotSent(detail) | Self::Lost(detail) => detail,
            Self::Unreachable => "no connection in time",
            Self::Withheld(reason) => reason.as_str(),
            Self::Expired => "the deadline has passed",
            Self::TimedOut => "no answer in time",
            Self::Hung => "the connection hangs",
        }
    }

    /// Kind of server error for the load balancing; `None` if the error says nothing about the
    /// server.
    #[must_use]
    pub fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::NotSent(_) => Some(ErrorKind::Connect),
            Self::Unreachable => Some(ErrorKind::Unreachable),
            Self::Withheld(_) | Self::Expired | Self::Hung => None,
            Self::Lost(_) => Some(ErrorKind::Broken),
            Self::TimedOut => Some(ErrorKind::Timeout),
        }
    }
}

/// The connection that an attempt used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// None was made.
    None,
    /// One that was opened for the attempt.
    New,
    /// One that an earlier attempt had opened.
    Reused,
    /// One through another router.
    Relayed,
}

impl ConnectionKind {
    /// Name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::New => "new",
            Self::Reused => "reused",
            Self::Relayed => "relayed",
        }
    }
}

/// A failed attempt to send a request to a server.
#[derive(Debug, thiserror::Error)]
#[error("{error} (connection: {})", connection.as_str())]
pub struct SendFailure {
    /// Why no response head was received.
    #[source]
    pub error: SendError,
    /// The connection that failed.
    pub connection: ConnectionKind,
}

impl SendFailure {
    pub(super) fn new(error: SendError, connection: ConnectionKind) -> Self {
        Self { error, connection }
    }
}
