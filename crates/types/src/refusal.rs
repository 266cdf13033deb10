//! Refusals: why a request was not served in full, and what is known of its run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Header of every answer of a router that says what is known of the run.
pub const OUTCOME_HEADER: &str = "swiftlink-outcome";

/// What is known of a request's run.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran to its end and was charged.
    Ran,
    /// No backend server saw the request and no charge exists or will exist.
    NotRun,
    /// The request may have run, in part or in whole.
    Unknown,
}

impl Outcome {
    /// The header's value.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Kinds of refusal; each has one HTTP status and one problem type.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RefusalKind {
    /// The bearer key is missing or unknown.
    Unauthenticated,
    /// The key's workspace may not use the pool, the class or the stream.
    Forbidden,
    /// The model, pool or path does not exist.
    UnknownPool,
    /// A field of the body or a header is malformed; the refusal names it.
    Malformed,
    /// The body is over the limit.
    TooLarge,
    /// The budget has no free rights anywhere that the log or a peer knows of.
    NoBudget,
    /// The budget's rights are held elsewhere or are in quarantine for now.
    BudgetBusy,
    /// The queue is full or the deadline can't be met.
    Overloaded,
    /// No backend server of the pool can take work.
    NoServer,
    /// The log is out, and the request needs it before it may run.
    LogUnavailable,
    /// The process is stopping, or does not know a recent configuration.
    Unavailable,
    /// The key is older than the time for which keys are remembered.
    KeyTooOld,
    /// Another run of the same key exists or may exist.
    KeyInUse,
    /// The key was sent before with another request.
    KeyReused,
    /// The backend server failed after it may have begun to run the request.
    ServerFailed,
    /// The resume token is broken or its stream is gone.
    StreamGone,
}

impl RefusalKind {
    /// HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthenticated => 401,
            Self::NoBudget => 402,
            Self::Forbidden => 403,
            Self::UnknownPool => 404,
            Self::KeyInUse | Self::KeyTooOld => 409,
            Self::StreamGone => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::Overloaded | Self::BudgetBusy => 429,
            Self::ServerFailed => 502,
            Self::NoServer | Self::LogUnavailable | Self::Unavailable => 503,
        }
    }

    /// Last part of the problem type, stable across versions.
    #[must_use]
    pub fn slug(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::UnknownPool => "unknown-pool",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::NoBudget => "no-budget",
            Self::BudgetBusy => "budget-busy",
            Self::Overloaded => "overloaded",
            Self::NoServer => "no-server",
            Self::LogUnavailable => "log-out",
            Self::Unavailable => "unavailable",
            Self::KeyTooOld => "key-too-old",
            Self::KeyInUse => "key-in-use",
            Self::KeyReused => "key-reused",
            Self::ServerFailed => "server-failed",
            Self::StreamGone => "stream-gone",
        }
    }

    /// One-line title for people.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::Unauthenticated => "The API key is missing or unknown",
            Self::Forbidden => "The workspace may not use this",
            Self::UnknownPool => "No such model or pool",
            Self::Malformed => "The request is malformed",
            Self::TooLarge => "The request body is too large",
            Self::NoBudget => "Not enough of the prepaid budget is left",
            Self::BudgetBusy => "The budget's free tokens are held elsewhere for now",
            Self::Overloaded => "Too much work is queued",
            Self::NoServer => "No backend server can take the request",
            Self::LogUnavailable => "The platform's log is out",
            Self::Unavailable => "This router takes no new work",
            Self::KeyTooOld => "The idempotency key is too old",
            Self::KeyInUse => "The idempotency key is in use",
            Self::KeyReused => "The idempotency key was used for another request",
            Self::ServerFailed => "The backend server failed",
            Self::StreamGone => "The stream can't be resumed",
        }
    }
}

/// The final answer to a request that is not served in full.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// What is known of the run.
    pub outcome: Outcome,
    /// One sentence for people.
    pub detail: String,
    /// The field or header at fault, for [`RefusalKind::Malformed`].
    pub field: Option<String>,
    /// When a new try is expected to be taken.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that no backend server saw.
    #[must_use]
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail,
            field: None,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub fn unknown(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// A refusal of a request whose key has run to its end and was charged.
    #[must_use]
    pub fn ran(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Ran,
            ..Self::not_run(kind, detail)
        }
    }

    /// Names the field at fault.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Tells the caller when to come back.
    #[must_use]
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Whole seconds for `Retry-After`, rounded up, at least one.
    #[must_use]
    pub fn retry_secs(&self) -> Option<u64> {
        let after = self.retry_after?;
        let whole = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        Some(whole.max(1))
    }

    /// The body of the answer (RFC 9457).
    #[must_use]
    pub fn problem(&self) -> Problem {
        Problem {
            kind: format!("urn:swiftlink:problem:{}", self.kind.slug()),
            title: self.kind.title().to_owned(),
            status: self.kind.status(),
            detail: self.detail.clone(),
            outcome: self.outcome,
            field: self.field.clone(),
            retry_ms: self.retry_after.map(|after| after.as_millis() as u64),
        }
    }
}

/// Body of an `application/problem+json` answer (RFC 9457).
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type, a URN that ends in the refusal's slug.
    #[serde(rename = "type")]
    pub kind: String,
    /// One-line title, the same for every problem of the type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// What is known of the run.
    pub outcome: Outcome,
    /// Field or header at fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}
