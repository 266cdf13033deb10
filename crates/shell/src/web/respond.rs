//! Constructors of common responses.

use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use serde::Serialize;

use super::{Body, Response};

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const PROBLEM: HeaderValue = HeaderValue::from_static("application/problem+json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

/// A JSON response.
pub fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(content) => build(status, JSON, content),
        Err(error) => problem(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// A plain-text response.
pub fn text(status: StatusCode, content: impl Into<String>) -> Response {
    build(status, TEXT, content.into().into_bytes())
}

/// An error as RFC 9457 problem+json, with the status's reason phrase as its title.
pub fn problem(status: StatusCode, detail: &str) -> Response {
    let value = serde_json::json!({
        "type": "about:blank",
        "title": status.canonical_reason().unwrap_or("Error"),
        "status": status.as_u16(),
        "detail": detail,
    });
    build(status, PROBLEM, value.to_string().into_bytes())
}

fn build(status: StatusCode, kind: HeaderValue, content: Vec<u8>) -> Response {
    let mut response = Response::new(Body::full(content));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
