//! HTTP client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{Method, Request, Response, StatusCode, header};
use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use prost::Message;
use serde::Deserialize;
use swiftlink_fetch::{connector, error_chain};
use swiftlink_types::StreamName;
use swiftlink_wire::log::LogPage;

use crate::{Log, LogError};

/// Maximum size of a response body, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Maximum number of idle connections kept open: enough for a follower and several
/// concurrent appends.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Characters of a stream name that are percent-encoded in a path.
const PATH_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// HTTP client of the log service at one address.
#[derive(Debug)]
pub struct HttpLog {
    client: Client<HttpConnector, Full<Bytes>>,
    base: String,
    agent: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Deserialize)]
struct Trimmed {
    first: u64,
}

/// The response to a call; `body` is an error if it could not be read in full.
struct CallResponse {
    status: StatusCode,
    body: Result<Bytes, String>,
}

impl HttpLog {
    /// Creates a client of the log at `address` that sends `name` as its user agent.
    ///
    /// A call times out after `timeout`, a read after its wait plus `timeout`.
    /// Connections are opened when they are first needed.
    #[must_use]
    pub fn open(address: SocketAddr, name: &str, timeout: Duration) -> Self {
        // Well below the call's own timeout, so that a failure to connect can be told
        // from a missing response.
        let connector = connector(timeout / 2);

        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        Self {
            client,
            base: format!("http://{address}/streams/"),
            agent: name.to_owned(),
            timeout,
        }
    }

    fn url(&self, stream: &StreamName) -> String {
        let name = utf8_percent_encode(stream.as_str(), PATH_ESCAPES);
        format!("{}{name}", self.base)
    }

    async fn call(
        &self,
        method: Method,
        uri: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<CallResponse, LogError> {
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::USER_AGENT, &self.agent)
            .body(Full::new(body))
            .map_err(|error| LogError::Protocol(error.to_string()))?;

        let exchange = async {
            let sent = self.client.request(request).await;
            let response = sent.map_err(|error| classify(&error))?;
            Ok(receive(response).await)
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(LogError::Unknown(format!("no response in {timeout:?}"))),
        }
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        let uri = self.url(stream);
        let response = self.call(Method::POST, uri, data, self.timeout).await?;
        if response.status != StatusCode::OK {
            return Err(error_of(&response));
        }

        // The status says that the record was appended, so only the offset is unknown if
        // the body is invalid.
        let body = response.body.map_err(LogError::Unknown)?;
        match serde_json::from_slice::<Appended>(&body) {
            Ok(appended) => Ok(appended.offset),
            Err(error) => Err(LogError::Unknown(error.to_string())),
        }
    }

    async fn read(
        &self,
        stream: &StreamName,
        from: u64,
        max: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let url = self.url(stream);
        let wait_ms = wait.as_millis();
        let uri = format!("{url}?from={from}&max={max}&wait_ms={wait_ms}");
        let timeout = wait.saturating_add(self.timeout);
        let called = self.call(Method::GET, uri, Bytes::new(), timeout).await;
        let response = called.map_err(read_error)?;
        if response.status != StatusCode::OK {
            return Err(read_error(error_of(&response)));
        }

        let body = response.body.map_err(LogError::Unavailable)?;
        LogPage::decode(body).map_err(|error| LogError::Protocol(error.to_string()))
    }
}

async fn receive(response: Response<hyper::body::Incoming>) -> CallResponse {
    let (head, body) = response.into_parts();
    let limited = Limited::new(body, MAX_BODY);
    let body = match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(error.to_string()),
    };
    CallResponse {
        status: head.status,
        body,
    }
}

/// Maps a failed request: without a connection it was certainly not sent.
fn classify(error: &hyper_util::client::legacy::Error) -> LogError {
    let detail = error_chain(error);
    if error.is_connect() {
        LogError::Unavailable(detail)
    } else {
        LogError::Unknown(detail)
    }
}

/// Returns the error of a response whose status is not 200.
fn error_of(response: &CallResponse) -> LogError {
    let status = response.status;
    let detail = format!("status {status}");
    if status == StatusCode::GONE {
        let body = response.body.as_deref().unwrap_or_default();
        return match serde_json::from_slice::<Trimmed>(body) {
            Ok(trimmed) => LogError::Trimmed {
                first: trimmed.first,
            },
            Err(error) => LogError::Protocol(error.to_string()),
        };
    }

    if status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS {
        return LogError::Unavailable(detail);
    }
    if status.is_client_error() {
        return LogError::Protocol(detail);
    }
    LogError::Unknown(detail)
}

/// Maps the error of a read, which has no effect that could be in doubt.
fn read_error(error: LogError) -> LogError {
    match error {
        LogError::Unknown(detail) => LogError::Unavailable(detail),
        other => other,
    }
}
