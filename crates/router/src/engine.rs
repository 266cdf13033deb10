//! Requests to model engines and plain services, as they expect them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::{ACCEPT, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use serde::Deserialize;
use swiftlink_types::RequestKey;

/// Header with the request key, for the backend server's own records.
pub const KEY_HEADER: &str = "x-request-key";
/// Header with the weight of the request's priority class.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header of a refusal of new work by a backend server that is leaving.
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

/// A request for the rest of a stream, from chunk `from` on.
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

/// A request without any further header.
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

/// Adds the request key and the class weight.
pub fn add_headers(headers: &mut HeaderMap, key: RequestKey, weight: u32) {
    if let Ok(value) = HeaderValue::from_str(&key.to_string()) {
        headers.insert(KEY_HEADER, value);
    }
    headers.insert(PRIORITY_HEADER, HeaderValue::from(weight));
}

/// Whether a backend server refused the request because it is leaving; nothing ran.
#[must_use]
pub fn is_draining(status: StatusCode, headers: &HeaderMap) -> bool {
    let marked = headers.get(DRAINING_HEADER);
    status == StatusCode::SERVICE_UNAVAILABLE && marked.is_some_and(|value| value == "true")
}

/// The engine's id of the answer's stream, if it is fit to stand in a path.
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
    /// Requests that it runs at a time.
    #[serde(default)]
    pub slots: u32,
    /// Share of the KV cache in use.
    #[serde(default)]
    pub kv_used: f64,
    /// Whether it is leaving.
    #[serde(default)]
    pub draining: bool,
    /// Age of the figures (ms).
    #[serde(default)]
    pub age_ms: u64,
}
