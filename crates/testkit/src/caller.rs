//! A caller of the routers, and the answers that it receives.

use std::net::SocketAddr;

use anyhow::Context as _;
use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt as _, Full};
use serde_json::{Value, json};

use crate::http::{CALL_LIMIT, Http, request};

/// Data of the event that ends a streamed answer.
const DONE_DATA: &str = "[DONE]";

/// One chat request to a model.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// Idempotency key; the router generates one when there is none.
    pub key: Option<String>,
    /// Name of the model.
    pub model: String,
    /// Prompt, sent as one message.
    pub prompt: String,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u64,
    /// Priority class; `None` for the default class.
    pub class: Option<String>,
    /// Whether the request must not run more than once.
    pub once: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Deadline in ms from now.
    pub deadline_ms: Option<u64>,
}

impl ChatRequest {
    /// Creates a request for an unstreamed answer of `model`.
    #[must_use]
    pub fn new(model: &str, prompt: &str) -> Self {
        Self {
            key: None,
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens: 64,
            class: None,
            once: false,
            stream: false,
            deadline_ms: None,
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Requests a streamed answer.
    #[must_use]
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Forbids that the request runs more than once.
    #[must_use]
    pub fn once(mut self) -> Self {
        self.once = true;
        self
    }

    /// Body of the HTTP request.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        })
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Resumption token for the position after this event.
    pub id: String,
    /// Type of the event; `error` when the answer was cut short.
    pub name: String,
    /// Data of the event, unparsed.
    pub data: String,
}

/// A complete or partial answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 when no response head arrived.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Reported outcome: `ran`, `not-run` or `unknown`.
    pub outcome: Option<String>,
    /// Request key.
    pub key: Option<String>,
    /// Budget tokens charged, as reported.
    pub charged: Option<u64>,
    /// Text of the answer received so far.
    pub text: String,
    /// Body of an unstreamed answer.
    pub body: Bytes,
    /// Events of a streamed answer.
    pub events: Vec<Event>,
    /// Whether the end of the answer was received.
    pub is_complete: bool,
}

impl Answer {
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

    /// Last component of a refusal's problem type.
    #[must_use]
    pub fn slug(&self) -> Option<String> {
        let kind = self.json().get("type")?.as_str()?.to_owned();
        kind.rsplit(':').next().map(str::to_owned)
    }

    /// Whether the answer is complete and has a success status.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.is_complete && (200..300).contains(&self.status)
    }

    fn from_head(status: u16, headers: HeaderMap) -> Self {
        let mut answer = Self {
            status,
            headers,
            ..Self::default()
        };
        answer.outcome = answer
            .header(swiftlink_types::OUTCOME_HEADER)
            .map(str::to_owned);
        answer.key = answer.header("swiftlink-key").map(str::to_owned);
        let charged = answer.header("swiftlink-charged");
        answer.charged = charged.and_then(|text| text.parse().ok());
        answer
    }

    fn push_event(&mut self, event: Event) {
        if event.data == DONE_DATA {
            self.is_complete = true;
        } else if event.name == "error" {
            self.body = Bytes::from(event.data.clone());
            self.outcome = self.json()["outcome"].as_str().map(str::to_owned);
        } else if let Ok(data) = serde_json::from_str::<Value>(&event.data) {
            self.push_chunk(&data);
        }
        self.events.push(event);
    }

    fn push_chunk(&mut self, data: &Value) {
        let choice = &data["choices"][0];
        let content = choice["delta"]["content"].as_str();
        self.text
            .push_str(content.or(choice["text"].as_str()).unwrap_or_default());
        let report = &data["swiftlink"];
        if let Some(charged) = report["charged"].as_u64() {
            self.charged = Some(charged);
        }
        if let Some(outcome) = report["outcome"].as_str() {
            self.outcome = Some(outcome.to_owned());
        }
        if let Some(key) = report["key"].as_str() {
            self.key = Some(key.to_owned());
        }
    }

    fn set_body(&mut self, body: Bytes) {
        self.is_complete = true;
        self.body = body;
        let data = self.json();
        if data.get("choices").is_none() {
            // The answer of a plain service is the body itself.
            self.text = String::from_utf8_lossy(&self.body).into_owned();
            return;
        }
        let choice = &data["choices"][0];
        let content = choice["message"]["content"].as_str();
        let content = content.or(choice["text"].as_str());
        self.text = content.unwrap_or_default().to_owned();
    }
}

/// A streamed answer in progress.
pub struct Streaming {
    answer: Answer,
    events: BoxStream<'static, Option<Event>>,
}

impl std::fmt::Debug for Streaming {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Streaming")
            .field("answer", &self.answer)
            .finish_non_exhaustive()
    }
}

impl Streaming {
    /// Returns the next event, or `None` at the end or when the connection fails.
    pub async fn next(&mut self) -> Option<Event> {
        let event = self.events.next().await??;
        self.answer.push_event(event.clone());
        Some(event)
    }

    /// Reads the rest of the stream and returns the answer.
    pub async fn finish(mut self) -> Answer {
        while self.next().await.is_some() {}
        self.answer
    }

    /// Closes the connection and returns the answer received so far.
    #[must_use]
    pub fn disconnect(self) -> Answer {
        self.answer
    }

    /// The answer received so far.
    #[must_use]
    pub fn received(&self) -> &Answer {
        &self.answer
    }
}

/// A caller with an API key.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Http,
    secret: String,
}

impl Caller {
    /// Creates a caller with the API key `secret`.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            http: Http::new(),
            secret: secret.to_owned(),
        }
    }

    /// Sends a chat request to `router` and reads the complete answer. A connection that
    /// fails gives an incomplete answer.
    pub async fn ask(&self, router: SocketAddr, chat: &ChatRequest) -> Answer {
        let request = self.chat_request(router, chat);
        if !chat.stream {
            return self.send(request).await;
        }
        match self.stream(request).await {
            Ok(streaming) => streaming.finish().await,
            Err(answer) => answer,
        }
    }

    /// Sends a chat request for a streamed answer.
    ///
    /// # Errors
    /// The answer, when it is not a stream.
    pub async fn begin(&self, router: SocketAddr, chat: &ChatRequest) -> Result<Streaming, Answer> {
        self.stream(self.chat_request(router, chat)).await
    }

    /// Resumes a streamed answer after the event `last`, at any router.
    ///
    /// # Errors
    /// The answer, when it is not a stream.
    pub async fn resume(&self, router: SocketAddr, last: &str) -> Result<Streaming, Answer> {
        let mut request = self.request(Method::GET, router, "/v1/streams", Bytes::new());
        set(&mut request, "last-event-id", last);
        self.stream(request).await
    }

    /// Calls a plain service through a router.
    pub async fn service(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Answer {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let mut request = self.request(method, router, path, body);
        if let Some(key) = key {
            set(&mut request, "idempotency-key", key);
        }
        self.send(request).await
    }

    /// Builds a request with the caller's API key, for [`Caller::send`].
    #[must_use]
    pub fn request(
        &self,
        method: Method,
        router: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut request = request(method, router, path, body);
        set(
            &mut request,
            "authorization",
            &format!("Bearer {}", self.secret),
        );
        request
    }

    /// Sends a request and reads the complete answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Answer {
        let Ok(reply) = self.http.open(request).await else {
            return Answer::default();
        };
        let (head, body) = reply.into_parts();
        let mut answer = Answer::from_head(head.status.as_u16(), head.headers);
        let body = tokio::time::timeout(CALL_LIMIT, body.collect()).await;
        if let Ok(Ok(body)) = body {
            answer.set_body(body.to_bytes());
        }
        answer
    }

    fn chat_request(&self, router: SocketAddr, chat: &ChatRequest) -> Request<Full<Bytes>> {
        let body = Bytes::from(chat.body().to_string());
        let mut request = self.request(Method::POST, router, "/v1/chat/completions", body);
        if let Some(key) = &chat.key {
            set(&mut request, "idempotency-key", key);
        }
        if let Some(class) = &chat.class {
            set(&mut request, "x-priority", class);
        }
        if chat.once {
            set(&mut request, "swiftlink-run", "once");
        }
        if let Some(deadline_ms) = chat.deadline_ms {
            set(
                &mut request,
                "swiftlink-deadline-ms",
                &deadline_ms.to_string(),
            );
        }
        request
    }

    async fn stream(&self, request: Request<Full<Bytes>>) -> Result<Streaming, Answer> {
        let Ok(reply) = self.http.open(request).await else {
            return Err(Answer::default());
        };
        let (head, body) = reply.into_parts();
        let mut answer = Answer::from_head(head.status.as_u16(), head.headers);
        let kind = answer.header("content-type").unwrap_or_default();
        if !kind.starts_with("text/event-stream") {
            if let Ok(body) = body.collect().await {
                answer.set_body(body.to_bytes());
            }
            return Err(answer);
        }
        let events = body.into_data_stream().eventsource().map(|event| {
            let event = event.ok()?;
            Some(Event {
                id: event.id,
                name: event.event,
                data: event.data,
            })
        });
        Ok(Streaming {
            answer,
            events: events.boxed(),
        })
    }
}

/// Sets a header of a request.
///
/// # Panics
/// When the value is not a valid header value.
pub fn set(request: &mut Request<Full<Bytes>>, name: &'static str, value: &str) {
    let value = value.parse().context("bad header value");
    let value = value.expect("the headers of tests are well-formed");
    request.headers_mut().insert(name, value);
}
