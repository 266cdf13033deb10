//! The platform's log service over HTTP.

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
use swiftlink_fetch::on_one_line;
use swiftlink_types::StreamName;
use swiftlink_wire::log::LogPage;

use crate::{Log, LogError};

/// Most bytes taken of one answer.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Connections kept open while idle: a follower and some appends at once.
const MAX_IDLE: usize = 8;

/// Characters of a stream name that stand as they are in a path.
const PATH_SET: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Client of the log service at one address.
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

/// What came back of a call.
struct Answer {
    status: StatusCode,
    body: Result<Bytes, String>,
}

impl HttpLog {
    /// A client of the log at `address` that calls itself `name`.
    ///
    /// A call is given up after `timeout` (a read after its wait and `timeout`).
    /// Connections are made when they are first needed.
    #[must_use]
    pub fn open(address: SocketAddr, name: &str, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Well before the call's own end, so that a connection that can't be made
        // is told apart from an answer that does not come.
        connector.set_connect_timeout(Some(timeout / 2));

        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE)
            .build(connector);
        Self {
            client,
            base: format!("http://{address}/streams/"),
            agent: name.to_owned(),
            timeout,
        }
    }

    fn path(&self, stream: &StreamName) -> String {
        let name = utf8_percent_encode(stream.as_str(), PATH_SET);
        format!("{}{name}", self.base)
    }

    async fn call(
        &self,
        method: Method,
        uri: String,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, LogError> {
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
            Err(_elapsed) => Err(LogError::Unknown(format!("no answer in {timeout:?}"))),
        }
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, stream: &StreamName, data: Bytes) -> Result<u64, LogError> {
        let uri = self.path(stream);
        let answer = self.call(Method::POST, uri, data, self.timeout).await?;
        if answer.status != StatusCode::OK {
            return Err(refusal(&answer));
        }

        // The status says that the record was taken, so a broken body leaves only
        // the offset unknown.
        let body = answer.body.map_err(LogError::Unknown)?;
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
        let path = self.path(stream);
        let wait_ms = wait.as_millis();
        let uri = format!("{path}?from={from}&max={max}&wait_ms={wait_ms}");
        let timeout = wait.saturating_add(self.timeout);
        let called = self.call(Method::GET, uri, Bytes::new(), timeout).await;
        let answer = called.map_err(without_effect)?;
        if answer.status != StatusCode::OK {
            return Err(without_effect(refusal(&answer)));
        }

        let body = answer.body.map_err(LogError::Unavailable)?;
        LogPage::decode(body).map_err(|error| LogError::Protocol(error.to_string()))
    }
}

async fn receive(response: Response<hyper::body::Incoming>) -> Answer {
    let (head, body) = response.into_parts();
    let limited = Limited::new(body, MAX_ANSWER);
    let body = match limited.collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) => Err(error.to_string()),
    };
    Answer {
        status: head.status,
        body,
    }
}

/// A request that found no connection was certainly not sent.
fn classify(error: &hyper_util::client::legacy::Error) -> LogError {
    let detail = on_one_line(error);
    if error.is_connect() {
        LogError::Unavailable(detail)
    } else {
        LogError::Unknown(detail)
    }
}

/// The error of an answer whose status is not 200.
fn refusal(answer: &Answer) -> LogError {
    let status = answer.status;
    let detail = format!("status {status}");
    if status == StatusCode::GONE {
        let body = answer.body.as_deref().unwrap_or_default();
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

/// A read changes nothing, so no doubt is left about its effect.
fn without_effect(error: LogError) -> LogError {
    match error {
        LogError::Unknown(detail) => LogError::Unavailable(detail),
        other => other,
    }
}
