//! Outcomes of attempts, and what each one proves.
//!
//! This is the only place that decides whether a request may be sent again and whether a
//! refusal may say that the request has not run.

use crate::model::Replay;

/// How one attempt at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// No byte of the request left: no connection could be made, or it was closed before.
    NotSent,
    /// No byte of the request left: after the server was chosen, operators drained its failure
    /// domain, its version stopped getting requests, the server announced that it is draining or asked
    /// for backoff, or the deadline of the request passed.
    Withheld,
    /// The server refused, and says that it did not run the request.
    Shed,
    /// Another server has the address by now.
    Misdirected,
    /// The connection broke after the request was written, before a response.
    Lost,
    /// No response came in time.
    TimedOut,
    /// The request was quarantined during the attempt, which was aborted.
    Quarantined,
    /// The response belongs to another request.
    Mismatched,
    /// The response body broke off.
    Truncated,
    /// The server responded with a failure of its own.
    Failed,
    /// The server responded with success.
    Served,
}

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It was not executed, and will not be.
    No,
    /// It may have been executed, or may still be.
    Maybe,
    /// It was executed.
    Yes,
}

impl Outcome {
    /// Whether the server executed the request.
    #[must_use]
    pub fn execution(self) -> Execution {
        match self {
            Self::NotSent | Self::Withheld | Self::Shed | Self::Misdirected => Execution::No,
            Self::Lost | Self::TimedOut | Self::Quarantined | Self::Mismatched => Execution::Maybe,
            Self::Truncated | Self::Failed | Self::Served => Execution::Yes,
        }
    }

    /// Whether any byte of the request may have arrived at the server. An attempt without one
    /// costs no server anything, so the attempt that follows isn't counted as a retry.
    #[must_use]
    pub fn may_have_arrived(self) -> bool {
        !matches!(self, Self::NotSent | Self::Withheld)
    }

    /// Whether the request may be sent to another server.
    #[must_use]
    pub fn may_retry(self, replay: Replay) -> bool {
        match (self, replay) {
            (Self::Served | Self::Quarantined, _) => false,
            (_, Replay::Whole) => true,
            // The failure that a server returned for a stream is the stream's response.
            (Self::Failed, _) => false,
            (_, Replay::Resume) => true,
            (_, Replay::Never) => self.execution() == Execution::No,
        }
    }

    /// Name in logs and metrics; some are older terms that operators' tools match.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Withheld => "withheld",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::TimedOut => "silent",
            Self::Quarantined => "cut",
            Self::Mismatched => "stray",
            Self::Truncated => "truncated",
            Self::Failed => "failed",
            Self::Served => "served",
        }
    }
}
