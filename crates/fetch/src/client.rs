//! The HTTP/1.1 client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::interim::limit_interim;
use crate::json::Limits;
use crate::socket::connector;

/// Time limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response head, and of a read. A connection's task makes up to 128 reads before
/// other tasks run, among them the one that ends an endless head.
const MAX_READ_BYTES: usize = 16 << 10;
/// Largest response body that is read.
const MAX_BODY_BYTES: usize = 32 << 20;

/// An HTTP request.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Request method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query, already percent-encoded.
    pub path: &'a str,
    /// Bearer token of the `authorization` header.
    pub token: Option<&'a str>,
    /// Additional headers.
    pub headers: Vec<(&'static str, &'a str)>,
    /// Body; its content type is JSON unless `headers` contains another one.
    pub body: Bytes,
}

impl<'a> Call<'a> {
    /// Creates a GET request without a token.
    #[must_use]
    pub fn get(address: SocketAddr, path: &'a str) -> Self {
        Self {
            method: Method::GET,
            address,
            path,
            token: None,
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

/// Why a call got no complete response.
#[derive(Debug, Clone, thiserror::Error)]
pub enum HttpError {
    /// No connection was established: the request was certainly not sent.
    #[error("can't connect: {0}")]
    Unreachable(String),
    /// The connection broke, or the response was too large; the request may have been served.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The time limit expired; the request may have been served.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The request is malformed and was not sent.
    #[error("not a valid request: {0}")]
    Invalid(String),
}

/// Time limits of a call whose response may be large.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time for the head of the response.
    pub head: Duration,
    /// Time for its body.
    pub body: Duration,
    /// Time for each `chunk` bytes of the body.
    pub stall: Duration,
    /// See `stall`. The rest of a body may be shorter.
    pub chunk: usize,
}

/// A part of a response that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The head.
    Head,
    /// Bytes of the body.
    Bytes(usize),
}

/// HTTP client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: Arc<ArcSwap<HyperClient>>,
    agent: Arc<str>,
}

type HyperClient = Client<HttpConnector, Full<Bytes>>;

fn new_client() -> HyperClient {
    Client::builder(TokioExecutor::new())
        .http1_max_buf_size(MAX_READ_BYTES)
        .build(connector(CONNECT_TIMEOUT))
}

impl Http {
    /// Creates a client that sends `agent` as its `user-agent`.
    #[must_use]
    pub fn open(agent: impl Into<Arc<str>>) -> Self {
        let client = Arc::new(ArcSwap::from_pointee(new_client()));
        let agent = agent.into();
        Self { client, agent }
    }

    /// Closes all idle connections. After a call without an answer they may be silent, too, and each
    /// would cost the next call its time limit. Calls that are in flight go on.
    pub fn close_idle(&self) {
        self.client.store(Arc::new(new_client()));
    }

    /// Makes a call and reads the complete response, all within `timeout`.
    ///
    /// # Errors
    /// When no complete response arrives in time.
    pub async fn fetch(&self, call: &Call<'_>, timeout: Duration) -> Result<Answer, HttpError> {
        let limits = Limits {
            time: timeout,
            bytes: MAX_BODY_BYTES,
        };
        self.fetch_within(call, limits).await
    }

    pub(crate) async fn fetch_within(
        &self,
        call: &Call<'_>,
        limits: Limits,
    ) -> Result<Answer, HttpError> {
        let exchange = async {
            let response = self.send(call).await?;
            read_body(response, limits.bytes).await
        };
        with_timeout(limits.time, exchange).await
    }

    /// Makes a call with separate time limits for the parts of the response, and calls `on_arrival`
    /// for each. For large responses over slow links: a server that doesn't respond, or doesn't go
    /// on, is detected before the time limit of the whole body.
    ///
    /// # Errors
    /// When no complete response arrives in time.
    pub async fn fetch_large(
        &self,
        call: &Call<'_>,
        pace: &Pace,
        on_arrival: impl Fn(Arrival),
    ) -> Result<Answer, HttpError> {
        let response = with_timeout(pace.head, self.send(call)).await?;
        on_arrival(Arrival::Head);
        let body = read_paced(response, pace, on_arrival);
        with_timeout(pace.body, body).await
    }

    /// Makes a call and returns once the head of the response arrives. Has no time limit except
    /// for connecting.
    ///
    /// # Errors
    /// When the request is malformed, no connection is established or it breaks.
    pub async fn send(&self, call: &Call<'_>) -> Result<Response<Incoming>, HttpError> {
        let mut request = self.request(call)?;
        let excess = Arc::new(Notify::new());
        let notified = Arc::clone(&excess);
        limit_interim(&mut request, move || notified.notify_one());
        let client = self.client.load_full();
        let response = tokio::select! {
            response = client.request(request) => response,
            () = excess.notified() => {
                return Err(HttpError::Lost("too many interim responses".to_owned()));
            }
        };
        response.map_err(|error| {
            let text = error_chain(&error);
            if error.is_connect() {
                HttpError::Unreachable(text)
            } else {
                HttpError::Lost(text)
            }
        })
    }

    fn request(&self, call: &Call<'_>) -> Result<Request<Full<Bytes>>, HttpError> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut builder = Request::builder()
            .method(call.method.clone())
            .uri(uri)
            .header("user-agent", &*self.agent);
        if let Some(token) = call.token {
            builder = builder.header("authorization", format!("Bearer {token}"));
        }
        let has_type = call.headers.iter().any(|(name, _)| *name == CONTENT_TYPE);
        if !call.body.is_empty() && !has_type {
            builder = builder.header("content-type", "application/json");
        }
        for (name, value) in &call.headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(call.body.clone()));
        request.map_err(|error| HttpError::Invalid(error.to_string()))
    }
}

/// Reads the body of `response`, which may have up to `max_bytes`.
async fn read_body(response: Response<Incoming>, max_bytes: usize) -> Result<Answer, HttpError> {
    let status = response.status();
    let headers = response.headers().clone();
    let body = Limited::new(response.into_body(), max_bytes)
        .collect()
        .await;
    let body = body.map_err(|error| HttpError::Lost(error.to_string()))?;
    Ok(Answer {
        status,
        headers,
        body: body.to_bytes(),
    })
}

/// Reads the body of `response`, each part within the time limits of `pace`.
async fn read_paced(
    response: Response<Incoming>,
    pace: &Pace,
    on_arrival: impl Fn(Arrival),
) -> Result<Answer, HttpError> {
    let (head, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut bytes = BytesMut::new();
    let mut chunk_end = pace.chunk;
    let mut due = Instant::now() + pace.stall;
    loop {
        let frame = timeout_at(due, body.frame()).await;
        let frame = frame.map_err(|_elapsed| HttpError::Timeout(pace.stall))?;
        let Some(frame) = frame else {
            return Ok(Answer {
                status: head.status,
                headers: head.headers,
                body: bytes.freeze(),
            });
        };
        let frame = frame.map_err(|error| HttpError::Lost(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        on_arrival(Arrival::Bytes(data.len()));
        bytes.extend_from_slice(&data);
        if bytes.len() >= chunk_end {
            chunk_end = bytes.len() + pace.chunk;
            due = Instant::now() + pace.stall;
        }
    }
}

async fn with_timeout<T>(
    time: Duration,
    exchange: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    let result = tokio::time::timeout(time, exchange).await;
    result.map_err(|_elapsed| HttpError::Timeout(time))?
}

/// Formats an error and its sources on one line, separated by `: `.
#[must_use]
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
