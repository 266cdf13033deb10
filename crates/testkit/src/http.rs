//! HTTP client for tests.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;

/// Timeout of every call.
pub const CALL_LIMIT: Duration = Duration::from_secs(60);

/// A request with its complete body.
pub type Call = Request<Full<Bytes>>;

/// A client that opens a new connection for every request.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// The body as JSON, or null if it isn't valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Http {
    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        // Idle connections would delay planned stops and hide dead peers.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    /// When no response head arrives.
    pub async fn open(&self, request: Call) -> anyhow::Result<Response<Incoming>> {
        let answer = tokio::time::timeout(CALL_LIMIT, self.client.request(request));
        let answer = answer.await.context("timed out waiting for a response")?;
        answer.context("no response")
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// When the connection fails before the end of the response.
    pub async fn call(&self, request: Call) -> anyhow::Result<Reply> {
        let answer = self.open(request).await?;
        let (head, body) = answer.into_parts();
        let body = tokio::time::timeout(CALL_LIMIT, body.collect());
        let body = body.await.context("timed out reading the body")?;
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: body.context("the body is truncated")?.to_bytes(),
        })
    }

    /// Reads the first `count` lines of an endless response, then closes the connection.
    ///
    /// # Errors
    /// When no response head or not enough lines arrive in time.
    pub async fn lines(&self, request: Call, count: usize) -> anyhow::Result<Vec<String>> {
        let mut body = self.open(request).await?.into_body();
        let mut text = String::new();
        while text.matches('\n').count() < count {
            let frame = tokio::time::timeout(CALL_LIMIT, body.frame());
            let frame = frame.await.context("timed out waiting for a line")?;
            let Some(frame) = frame else {
                break;
            };
            if let Ok(data) = frame.context("the body is truncated")?.into_data() {
                text.push_str(&String::from_utf8_lossy(&data));
            }
        }
        Ok(text.lines().take(count).map(str::to_owned).collect())
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// Same as for [`Http::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<Reply> {
        self.call(request(Method::GET, address, path, Bytes::new()))
            .await
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    /// Same as for [`Http::call`].
    pub async fn send<T: Serialize>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> anyhow::Result<Reply> {
        let body = serde_json::to_vec(body).context("the body can't be written as JSON")?;
        self.call(request(method, address, path, Bytes::from(body)))
            .await
    }
}

/// Builds a request with the content type JSON and no other headers.
///
/// # Panics
/// When `path` is malformed.
#[must_use]
pub fn request(method: Method, address: SocketAddr, path: &str, body: Bytes) -> Call {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .expect("the paths of tests are well-formed")
}
