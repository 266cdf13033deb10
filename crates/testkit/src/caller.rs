//! A caller of the routers, and what it was told.

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

/// Text of the end mark of a streamed answer.
const DONE: &str = "[DONE]";

/// One model request as a caller makes it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Idempotency key; the router makes one when there is none.
    pub key: Option<String>,
    /// Model's name.
    pub model: String,
    /// Prompt, sent as one message.
    pub prompt: String,
    /// Limit of the answer (tokens).
    pub max_tokens: u64,
    /// Priority class, unless the standard one.
    pub class: Option<String>,
    /// May not run twice.
    pub once: bool,
    /// Wants the answer as a stream.
    pub stream: bool,
    /// Deadline in ms from now.
    pub deadline_ms: Option<u64>,
}

impl Ask {
    /// A whole-answer request of the model `model`.
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

    /// Under this idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// As a stream.
    #[must_use]
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Not to be run twice.
    #[must_use]
    pub fn once(mut self) -> Self {
        self.once = true;
        self
    }

    /// The request's body.
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
    /// Token to resume after this event.
    pub id: String,
    /// Type of the event; `error` when the answer was cut.
    pub name: String,
    /// Data as sent.
    pub data: String,
}

/// An answer, whole or as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 when not even the head came.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// What the caller was told of the run: `ran`, `not-run`, `unknown`.
    pub outcome: Option<String>,
    /// Request key.
    pub key: Option<String>,
    /// Budget tokens charged, as told.
    pub charged: Option<u64>,
    /// The answer's text as far as it came.
    pub text: String,
    /// The body of an answer that is no stream.
    pub body: Bytes,
    /// The events of a streamed answer.
    pub events: Vec<Event>,
    /// The answer came to its end.
    pub whole: bool,
}

impl Answer {
    /// The body as JSON; null when it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// A header's text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Last part of the problem type of a refusal.
    #[must_use]
    pub fn slug(&self) -> Option<String> {
        let kind = self.json().get("type")?.as_str()?.to_owned();
        kind.rsplit(':').next().map(str::to_owned)
    }

    /// A whole answer with a status of success.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.whole && (200..300).contains(&self.status)
    }

    fn of_head(status: u16, headers: HeaderMap) -> Self {
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

    fn take_event(&mut self, event: Event) {
        if event.data == DONE {
            self.whole = true;
        } else if event.name == "error" {
            self.body = Bytes::from(event.data.clone());
            self.outcome = self.json()["outcome"].as_str().map(str::to_owned);
        } else if let Ok(data) = serde_json::from_str::<Value>(&event.data) {
            self.take_chunk(&data);
        }
        self.events.push(event);
    }

    fn take_chunk(&mut self, data: &Value) {
        let choice = &data["choices"][0];
        let content = choice["delta"]["content"].as_str();
        self.text
            .push_str(content.or(choice["text"].as_str()).unwrap_or_default());
        let told = &data["swiftlink"];
        if let Some(charged) = told["charged"].as_u64() {
            self.charged = Some(charged);
        }
        if let Some(outcome) = told["outcome"].as_str() {
            self.outcome = Some(outcome.to_owned());
        }
        if let Some(key) = told["key"].as_str() {
            self.key = Some(key.to_owned());
        }
    }

    fn take_body(&mut self, body: Bytes) {
        self.whole = true;
        self.body = body;
        let data = self.json();
        if data.get("choices").is_none() {
            // The answer of a plain service stands as it is.
            self.text = String::from_utf8_lossy(&self.body).into_owned();
            return;
        }
        let choice = &data["choices"][0];
        let content = choice["message"]["content"].as_str();
        let content = content.or(choice["text"].as_str());
        self.text = content.unwrap_or_default().to_owned();
    }
}

/// A streamed answer while it comes.
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
    /// The next event; nothing at the end or when the connection breaks.
    pub async fn next(&mut self) -> Option<Event> {
        let event = self.events.next().await??;
        self.answer.take_event(event.clone());
        Some(event)
    }

    /// Reads to the end.
    pub async fn finish(mut self) -> Answer {
        while self.next().await.is_some() {}
        self.answer
    }

    /// What came until now; closes the connection.
    #[must_use]
    pub fn leave(self) -> Answer {
        self.answer
    }

    /// What came until now.
    #[must_use]
    pub fn so_far(&self) -> &Answer {
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
    /// A caller with the API key `secret`.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self {
            http: Http::new(),
            secret: secret.to_owned(),
        }
    }

    /// A chat request at the router `router`, read to the answer's end. A
    /// failing connection gives an answer that is not whole.
    pub async fn ask(&self, router: SocketAddr, ask: &Ask) -> Answer {
        let request = self.chat(router, ask);
        if !ask.stream {
            return self.whole(request).await;
        }
        match self.stream(request).await {
            Ok(streaming) => streaming.finish().await,
            Err(answer) => answer,
        }
    }

    /// A streamed chat request.
    ///
    /// # Errors
    /// The answer, when it is no stream.
    pub async fn begin(&self, router: SocketAddr, ask: &Ask) -> Result<Streaming, Answer> {
        self.stream(self.chat(router, ask)).await
    }

    /// Resumes a streamed answer after the event `last` at any router.
    ///
    /// # Errors
    /// The answer, when it is no stream.
    pub async fn resume(&self, router: SocketAddr, last: &str) -> Result<Streaming, Answer> {
        let mut request = self.request(Method::GET, router, "/v1/streams", Bytes::new());
        set(&mut request, "last-event-id", last);
        self.stream(request).await
    }

    /// A call of a plain service through a router.
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
        self.whole(request).await
    }

    /// A request with the caller's API key, to be changed and sent by [`Caller::whole`].
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

    /// Sends a request and reads the whole answer.
    pub async fn whole(&self, request: Request<Full<Bytes>>) -> Answer {
        let Ok(reply) = self.http.open(request).await else {
            return Answer::default();
        };
        let (head, body) = reply.into_parts();
        let mut answer = Answer::of_head(head.status.as_u16(), head.headers);
        let body = tokio::time::timeout(CALL_LIMIT, body.collect()).await;
        if let Ok(Ok(body)) = body {
            answer.take_body(body.to_bytes());
        }
        answer
    }

    fn chat(&self, router: SocketAddr, ask: &Ask) -> Request<Full<Bytes>> {
        let body = Bytes::from(ask.body().to_string());
        let mut request = self.request(Method::POST, router, "/v1/chat/completions", body);
        if let Some(key) = &ask.key {
            set(&mut request, "idempotency-key", key);
        }
        if let Some(class) = &ask.class {
            set(&mut request, "x-priority", class);
        }
        if ask.once {
            set(&mut request, "swiftlink-run", "once");
        }
        if let Some(deadline_ms) = ask.deadline_ms {
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
        let mut answer = Answer::of_head(head.status.as_u16(), head.headers);
        let kind = answer.header("content-type").unwrap_or_default();
        if !kind.starts_with("text/event-stream") {
            if let Ok(body) = body.collect().await {
                answer.take_body(body.to_bytes());
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
/// When the value can't stand in a header.
pub fn set(request: &mut Request<Full<Bytes>>, name: &'static str, value: &str) {
    let value = value.parse().context("bad header value");
    let value = value.expect("the headers of tests are well-formed");
    request.headers_mut().insert(name, value);
}
