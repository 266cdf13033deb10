//! Responses that the router makes itself.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use swiftlink_shell::web::{Response, problem};

use crate::admission::Overloaded;

/// Why a request isn't served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The router has no configuration yet.
    NotReady,
    /// The configuration was last confirmed longer ago than a change may take: the request's route
    /// or key may have been added since.
    StaleConfig,
    /// A header can't be parsed.
    Malformed,
    /// The request of a workspace with a prepaid budget doesn't say how many tokens a model engine may
    /// spend on it.
    NoUsage,
    /// No route matches.
    NoRoute,
    /// The route requires the API key of a workspace.
    NoKey,
    /// The body exceeds the limit.
    TooLarge,
    /// The caller sent its body too slowly.
    SlowBody,
    /// The caller was far behind in sending its body while others waited for its place.
    StalledBody,
    /// The bodies of other requests take the memory of the VM.
    NoMemory,
    /// The deadline has passed, and no server has executed the request.
    Expired,
    /// The body ended early, in most cases since the caller disconnected.
    BrokenBody,
    /// The remaining budget of the workspace doesn't cover the request.
    BudgetSpent,
    /// Other routers hold the remaining quota. One grants it after this time, if known.
    NoQuota(Option<Duration>),
    /// The remaining quota can't be claimed, since the store is unreachable. Some that is held may
    /// be used after this time, if known.
    StoreUnavailable(Option<Duration>),
    /// No server takes the request now, and none has executed it. One may take it after this time.
    NoServer(Duration),
    /// The pool has no capacity for the request now, and it was sent to no server.
    Overloaded(Overloaded),
    /// The caller resumes a stream, and which version of the servers' software began it isn't known.
    /// It may be after this time.
    OriginUnknown(Duration),
    /// Servers crashed while they worked on the request; it is quarantined for this time.
    Held(Duration),
    /// The request may have been executed, and there is no response.
    Lost,
    /// The request may have been executed, and no response came in time.
    Timeout,
}

/// When quota that other routers hold may be available: they return it in their next round of
/// claims, half a second or more from now, and the round after that brings it here.
const QUOTA_RETRY: Duration = Duration::from_millis(1_000);
/// When the store may be back: a noticeable outage lasts some seconds. Delays between 50 ms and
/// this served equally many callers, but with shorter ones callers were refused a second time.
const STORE_RETRY: Duration = Duration::from_secs(3);
/// When a server may take work again: after a few steps of a batch, or once a server is added.
pub(super) const SERVER_RETRY: Duration = Duration::from_millis(250);
/// When a starting router may be ready, or one with a stale configuration up to date: both read
/// the store a few times within this time. Other routers may be up to date already.
const CONFIG_RETRY: Duration = Duration::from_millis(500);

/// When there may be memory for a body again: clients that are behind make room after two seconds, and
/// other routers may have some already.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

impl Refusal {
    /// Status of the response. 408, 429 and 503 are used only for requests that have not been
    /// executed and never will be.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::StaleConfig
            | Self::NoServer(_)
            | Self::Overloaded(_)
            | Self::OriginUnknown(_)
            | Self::Expired
            | Self::NoMemory
            | Self::Held(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Malformed | Self::NoUsage | Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody | Self::StalledBody => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NoQuota(_) | Self::StoreUnavailable(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may retry.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotReady | Self::StaleConfig => Some(CONFIG_RETRY),
            Self::Expired => Some(SERVER_RETRY),
            Self::NoMemory | Self::StalledBody => Some(MEMORY_RETRY),
            Self::NoServer(wait) | Self::Held(wait) | Self::OriginUnknown(wait) => Some(wait),
            Self::Overloaded(overloaded) => Some(overloaded.after),
            Self::NoQuota(back) => Some(back.unwrap_or(QUOTA_RETRY)),
            Self::StoreUnavailable(back) => Some(back.unwrap_or(STORE_RETRY)),
            _ => None,
        }
    }

    /// Name in responses, logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::StaleConfig => "config_behind",
            Self::Malformed => "malformed",
            Self::NoUsage => "no_usage",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::TooLarge => "too_large",
            Self::SlowBody => "slow_body",
            Self::StalledBody => "stalled_body",
            Self::NoMemory => "no_memory",
            Self::Expired => "expired",
            Self::BrokenBody => "broken_body",
            Self::BudgetSpent => "budget_spent",
            Self::NoQuota(_) => "no_rights",
            Self::StoreUnavailable(_) => "store_away",
            Self::NoServer(_) => "no_server",
            Self::Overloaded(_) => "overloaded",
            Self::OriginUnknown(_) => "origin_unknown",
            Self::Held(_) => "held",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
        }
    }

    /// The response to the caller.
    pub(super) fn response(self) -> Response {
        let mut response = problem(self.status(), self.as_str());
        if let Some(after) = self.retry_after() {
            let secs = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&secs) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
