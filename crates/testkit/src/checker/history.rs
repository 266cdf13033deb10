//! The history of a test run, as seen by callers, backend servers and the log.

use swiftlink_standins::engine::Run;
use swiftlink_wire::log::LogRecord;

use crate::caller::Answer;

/// How a call ended for its caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum CallOutcome {
    /// The complete answer was received.
    Complete {
        /// Text of the answer.
        text: String,
        /// Budget tokens charged, as reported to the caller.
        charged: u64,
    },
    /// The call was refused with the outcome `not-run`.
    NotRun,
    /// The call failed with the outcome `unknown`.
    Unknown,
    /// The connection closed before the end of the answer.
    Disconnected,
}

/// One call of a caller. Each retry is a separate call under the same key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Call {
    /// Request key.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Budget that is charged.
    pub budget: String,
    /// Price of the priority class, in thousandths.
    pub price: u32,
    /// Whether the request must not run more than once.
    pub once: bool,
    /// Expected text of a complete answer.
    pub expected: Option<String>,
    /// Position of the send in the order of all sends and completions of the history.
    pub began: u64,
    /// Position of the completion in the same order as `began`.
    pub ended: u64,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// All records of one budget stream, starting at offset 0.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct LogStream {
    /// Name of the stream.
    pub name: String,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

/// One history: calls, runs on backend servers, and log records.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct History {
    /// The callers' requests and their results.
    pub calls: Vec<Call>,
    /// Runs on all engines and services.
    pub runs: Vec<Run>,
    /// Records of the budget streams.
    pub streams: Vec<LogStream>,
}

impl From<&Answer> for CallOutcome {
    fn from(answer: &Answer) -> Self {
        match answer.outcome.as_deref() {
            Some("not-run") => Self::NotRun,
            Some("unknown") => Self::Unknown,
            _ if answer.is_served() => Self::Complete {
                text: answer.text.clone(),
                charged: answer.charged.unwrap_or(0),
            },
            _ => Self::Disconnected,
        }
    }
}
