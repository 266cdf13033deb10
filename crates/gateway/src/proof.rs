//! What the outcome of a send proves.
//!
//! This is the only place that decides whether a request may be sent again and whether a
//! refusal may say that it has not run.

use crate::model::Replay;

/// How one send to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No byte of the request left: no connection could be made, or it was closed before.
    NotSent,
    /// No byte of the request left: meanwhile operators emptied the server's failure domain, or the
    /// server said that it leaves or wants rest.
    Withheld,
    /// The server refused, and says that it did not run the request.
    Shed,
    /// Another server has the address by now.
    Misdirected,
    /// The connection broke after the request was written, before an answer.
    Lost,
    /// No answer came in time.
    Silent,
    /// The request is held from now on, and the send was cut.
    Cut,
    /// The answer belongs to another request.
    Stray,
    /// The answer's body broke off.
    Truncated,
    /// The server answered with a failure of its own.
    Failed,
    /// The server answered with success.
    Served,
}

/// Whether the request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It has not, and will not.
    No,
    /// It may have, or may still.
    Maybe,
    /// It has.
    Yes,
}

impl Outcome {
    /// Whether the request has run at the server.
    #[must_use]
    pub fn ran(self) -> Ran {
        match self {
            Self::NotSent | Self::Withheld | Self::Shed | Self::Misdirected => Ran::No,
            Self::Lost | Self::Silent | Self::Cut | Self::Stray => Ran::Maybe,
            Self::Truncated | Self::Failed | Self::Served => Ran::Yes,
        }
    }

    /// Whether something of the request may have come to the server. A send that hasn't costs
    /// no server anything, so the one that follows isn't a retry.
    #[must_use]
    pub fn has_arrived(self) -> bool {
        !matches!(self, Self::NotSent | Self::Withheld)
    }

    /// Whether the request may be sent to another server.
    #[must_use]
    pub fn may_retry(self, replay: Replay) -> bool {
        match (self, replay) {
            (Self::Served | Self::Cut, _) => false,
            (_, Replay::Whole) => true,
            // A failure that a server made for a stream is its answer.
            (Self::Failed, _) => false,
            (_, Replay::Resume) => true,
            (_, Replay::Never) => self.ran() == Ran::No,
        }
    }

    /// Its name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Withheld => "withheld",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Cut => "cut",
            Self::Stray => "stray",
            Self::Truncated => "truncated",
            Self::Failed => "failed",
            Self::Served => "served",
        }
    }
}
