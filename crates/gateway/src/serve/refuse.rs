//! Answers that the router gives by itself.

use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use swiftlink_shell::web::{Response, problem};

/// Why a request isn't served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The router has no configuration yet.
    NotReady,
    /// Changes of the configuration weren't heard of for longer than one may take: the request's
    /// route or key may have been added.
    Behind,
    /// The headers make no sense.
    Malformed,
    /// No route takes it.
    NoRoute,
    /// The route's requests need a key that a workspace has.
    NoKey,
    /// Longer than the limit.
    TooLarge,
    /// The caller sent its body too slowly.
    Slow,
    /// The body ended early; mostly the caller has left.
    BrokenBody,
    /// What the workspace has left doesn't cover it.
    Spent,
    /// Other routers hold the rights that are left. One grants them after this time, where it is
    /// known.
    NoRights(Option<Duration>),
    /// The rights that are left can't be claimed: the store is out of reach. Some that are held may
    /// be used after this time, where it is known.
    StoreAway(Option<Duration>),
    /// No server takes it now; it has not run. One may after this time.
    NoServer(Duration),
    /// Servers ended while they worked on it; it isn't tried again before this time.
    Held(Duration),
    /// It may have run, and there is no answer.
    Lost,
    /// It may have run, and no answer came in time.
    Timeout,
}

/// When rights that others hold may be back: they give them back in their next round of
/// claims, half a second or more from now, and the round after that brings them here.
const RIGHTS_WAIT: Duration = Duration::from_millis(1_000);
/// When the store may be back: an outage that is noticed lasts some seconds. Between 50 ms and
/// this, callers were served alike, and sooner returns were refused a second time.
const STORE_WAIT: Duration = Duration::from_secs(3);
/// When a server may take work again: a few steps of a batch, or a new server.
pub(super) const SERVER_WAIT: Duration = Duration::from_millis(250);
/// When a starting router may be ready, or one that hears of no changes may hear of them again:
/// both ask the store a few times within it. Other routers may know already.
const START_WAIT: Duration = Duration::from_millis(500);

impl Refusal {
    /// Status of the answer. Only those for requests that have not run and never will
    /// are among 408, 429 and 503.
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::NotReady | Self::Behind | Self::NoServer(_) | Self::Held(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Malformed | Self::BrokenBody => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow => StatusCode::REQUEST_TIMEOUT,
            Self::Spent => StatusCode::PAYMENT_REQUIRED,
            Self::NoRights(_) | Self::StoreAway(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may come back.
    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotReady | Self::Behind => Some(START_WAIT),
            Self::NoServer(wait) | Self::Held(wait) => Some(wait),
            Self::NoRights(back) => Some(back.unwrap_or(RIGHTS_WAIT)),
            Self::StoreAway(back) => Some(back.unwrap_or(STORE_WAIT)),
            _ => None,
        }
    }

    /// Name in logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Behind => "config_behind",
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::TooLarge => "too_large",
            Self::Slow => "slow_body",
            Self::BrokenBody => "broken_body",
            Self::Spent => "budget_spent",
            Self::NoRights(_) => "no_rights",
            Self::StoreAway(_) => "store_away",
            Self::NoServer(_) => "no_server",
            Self::Held(_) => "held",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
        }
    }

    /// The answer.
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
