//! What a run of a test left behind, seen from all sides.

use swiftlink_standins::engine::Run;
use swiftlink_wire::log::LogRecord;

use crate::caller::Answer;

/// How a call ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// The whole answer came.
    Whole {
        /// Text of the answer.
        text: String,
        /// Budget tokens charged, as told.
        charged: u64,
    },
    /// The call was refused with `not-run`.
    NotRun,
    /// The caller was told that the end is not known.
    Unknown,
    /// The connection broke before the answer's end.
    Cut,
}

/// One call of a caller. A retry is a call of its own under the same key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Call {
    /// Request key.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Budget that pays.
    pub budget: String,
    /// Price of the class (thousandths).
    pub price: u32,
    /// May not run twice.
    pub once: bool,
    /// Text that a whole answer must have.
    pub expected: Option<String>,
    /// Order of sending and answering among all calls of the history.
    pub began: u64,
    /// See `began`.
    pub ended: u64,
    /// How it ended.
    pub end: End,
}

/// All records of one budget stream from offset 0 on.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct LogStream {
    /// Name of the stream.
    pub name: String,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

/// The three sides of one history.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct History {
    /// What the callers sent and were told.
    pub calls: Vec<Call>,
    /// What all engines and services ran.
    pub runs: Vec<Run>,
    /// What stands on the log.
    pub streams: Vec<LogStream>,
}

impl From<&Answer> for End {
    fn from(answer: &Answer) -> Self {
        match answer.outcome.as_deref() {
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            _ if answer.is_served() => Self::Whole {
                text: answer.text.clone(),
                charged: answer.charged.unwrap_or(0),
            },
            _ => Self::Cut,
        }
    }
}
