//! Refusals as HTTP responses with problem details (RFC 9457).

use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use swiftlink_shell::web::Body;
use swiftlink_types::{OUTCOME_HEADER, Refusal, RequestKey};

/// Response header with the request key.
pub const KEY_HEADER: &str = "swiftlink-key";
/// Response header with the budget tokens charged.
pub const CHARGED_HEADER: &str = "swiftlink-charged";
/// Media type of problem details.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Builds the response for a refused or failed request.
#[must_use]
pub fn respond(refusal: &Refusal, key: Option<RequestKey>) -> Response<Body> {
    let body = serde_json::to_vec(&refusal.problem()).unwrap_or_default();
    let mut response = Response::new(Body::full(body));
    let status = StatusCode::from_u16(refusal.kind.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    let outcome = HeaderValue::from_static(refusal.outcome.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    if let Some(secs) = refusal.retry_secs() {
        headers.insert(RETRY_AFTER, HeaderValue::from(secs));
    }
    if let Some(key) = key {
        set_key(headers, key);
    }
    response
}

/// Adds the request key to the response headers.
pub fn set_key(headers: &mut HeaderMap, key: RequestKey) {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(KEY_HEADER, value);
    }
}
