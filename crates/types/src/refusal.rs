//! Refusals: why a request was not served in full, and whether it was executed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Response header, set in every answer of a router, that holds the request's [`Outcome`].
pub const OUTCOME_HEADER: &str = "swiftlink-outcome";

/// Whether a request was executed, as far as the router knows.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed completely and charged.
    Ran,
    /// No backend server received the request; it was not and will not be charged.
    NotRun,
    /// The request may have been executed, in part or completely.
    Unknown,
}

impl Outcome {
    /// Value of [`OUTCOME_HEADER`].
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
    /// The API key's workspace may not use the pool, the priority class or the stream.
    Forbidden,
    /// The model, pool or path does not exist.
    UnknownPool,
    /// A field of the body or a header is malformed; [`Refusal::field`] names it.
    Malformed,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body hasn't arrived by the deadline.
    SlowBody,
    /// The budget's free tokens and the quota that routers hold, as far as known, don't cover the
    /// request.
    NoBudget,
    /// The budget's quota is held by other routers or in quarantine for now.
    BudgetBusy,
    /// The queue is full, or the request would miss its deadline.
    Overloaded,
    /// No backend server of the pool accepts requests.
    NoServer,
    /// The log is unavailable or too slow, and the request needs it before it may be executed: for
    /// a claim of quota or for the record of its key.
    LogUnavailable,
    /// The process is shutting down, or its configuration is stale.
    Unavailable,
    /// The idempotency key is older than the retention time of keys.
    KeyTooOld,
    /// Another execution under the same idempotency key exists or may exist.
    KeyInUse,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// The backend server failed after it may have started to execute the request.
    ServerFailed,
    /// The resume token is invalid, or its stream no longer exists.
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
            Self::SlowBody => 408,
            Self::KeyInUse | Self::KeyTooOld => 409,
            Self::StreamGone => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::Overloaded | Self::BudgetBusy => 429,
            Self::ServerFailed => 502,
            Self::NoServer | Self::LogUnavailable | Self::Unavailable => 503,
        }
    }

    /// Last part of the problem type URN, stable across versions.
    #[must_use]
    pub fn slug(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::UnknownPool => "unknown-pool",
            Self::Malformed => "malformed",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
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

    /// Human-readable title of one line.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            Self::Unauthenticated => "The API key is missing or unknown",
            Self::Forbidden => "The workspace may not use this",
            Self::UnknownPool => "No such model or pool",
            Self::Malformed => "The request is malformed",
            Self::TooLarge => "The request body is too large",
            Self::SlowBody => "The request body arrived too slowly",
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

/// Final answer to a request that is not served in full.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Human-readable explanation, one sentence.
    pub detail: String,
    /// The invalid field or header, for [`RefusalKind::Malformed`].
    pub field: Option<String>,
    /// Time after which a retry is expected to be accepted.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that no backend server received.
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

    /// Refuses a request that may have been executed.
    #[must_use]
    pub fn unknown(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Refuses a request whose idempotency key was executed completely and charged.
    #[must_use]
    pub fn ran(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Ran,
            ..Self::not_run(kind, detail)
        }
    }

    /// Sets the name of the invalid field.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Value of `Retry-After`: seconds, rounded up, at least one.
    #[must_use]
    pub fn retry_secs(&self) -> Option<u64> {
        let after = self.retry_after?;
        let whole = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        Some(whole.max(1))
    }

    /// Body of the response (RFC 9457).
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

/// Body of an `application/problem+json` response (RFC 9457).
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type, a URN that ends in the refusal's slug.
    #[serde(rename = "type")]
    pub kind: String,
    /// One-line title, the same for every problem of the type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Explanation for this request.
    pub detail: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// The invalid field or header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Time after which a retry is expected to be accepted, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}
