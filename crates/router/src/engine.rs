//! Requests to model engines and plain services, and their headers and load reports.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{ACCEPT, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use swiftlink_types::RequestKey;

/// Header with the request key, for the logs of the backend server.
pub const KEY_HEADER: &str = "x-request-key";
/// Header with the weight of the request's priority class.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header of a refusal of new work by a draining backend server.
pub const DRAINING_HEADER: &str = "x-draining";
/// Header with the engine's id of an answer's stream.
pub const STREAM_HEADER: &str = "x-stream-id";

/// A request for a model's answer.
#[must_use]
pub fn post(
    address: SocketAddr,
    path: &str,
    body: Bytes,
    key: RequestKey,
    weight: u32,
) -> Request<Full<Bytes>> {
    let mut request = plain(address, Method::POST, path, body);
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(ACCEPT, HeaderValue::from_static("text/event-stream"));
    add_headers(headers, key, weight);
    request
}

/// A request for the remainder of a stream, starting with chunk `from`.
#[must_use]
pub fn resume(address: SocketAddr, stream: &str, from: u64) -> Request<Full<Bytes>> {
    let path = format!("/v1/streams/{stream}?from={from}");
    plain(address, Method::GET, &path, Bytes::new())
}

/// A request to end a stream early.
#[must_use]
pub fn cancel(address: SocketAddr, stream: &str) -> Request<Full<Bytes>> {
    let path = format!("/v1/streams/{stream}");
    plain(address, Method::DELETE, &path, Bytes::new())
}

/// A request with no header but `Host`.
#[must_use]
pub fn plain(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}

/// Adds the headers with the request key and the class weight.
pub fn add_headers(headers: &mut HeaderMap, key: RequestKey, weight: u32) {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(KEY_HEADER, value);
    }
    headers.insert(PRIORITY_HEADER, HeaderValue::from(weight));
}

/// Whether a backend server refused the request because it is draining. The request
/// was not run.
#[must_use]
pub fn is_draining(status: StatusCode, headers: &HeaderMap) -> bool {
    let marked = headers.get(DRAINING_HEADER);
    status == StatusCode::SERVICE_UNAVAILABLE && marked.is_some_and(|value| value == "true")
}

/// The engine's id of the answer's stream, if it is safe to use in a path.
#[must_use]
pub fn stream_id(headers: &HeaderMap) -> Option<String> {
    let id = headers.get(STREAM_HEADER)?.to_str().ok()?;
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let fit = !id.is_empty() && id.chars().all(plain);
    fit.then(|| id.to_owned())
}

/// Body of a backend server's `GET /load`.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    #[serde(default)]
    pub running: u32,
    /// Requests waiting inside the server.
    #[serde(default)]
    pub waiting: u32,
    /// Maximum number of requests that run at a time.
    #[serde(default)]
    pub slots: u32,
    /// Share of the KV cache in use.
    #[serde(default)]
    pub kv_used: f64,
    /// Whether the server is draining.
    #[serde(default)]
    pub draining: bool,
    /// Age of the figures (ms).
    #[serde(default)]
    pub age_ms: u64,
}
