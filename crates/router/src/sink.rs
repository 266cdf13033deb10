//! Sinks for the chunks of a model's answer: events to the caller, or one collected body.

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, StatusCode};
use swiftlink_stream::{AnswerBuilder, Completion, StreamEvent, parse_event};
use swiftlink_types::{OUTCOME_HEADER, Outcome, Refusal, RequestKey, Tokens, wall_ms};
use tokio::sync::mpsc;

use crate::answer::{self, CompleteAnswer, Receipt};
use crate::problem::CHARGED_HEADER;
use crate::reply::{Piece, Reply, ReplySender, StreamedReply, channel};
use crate::serve::send_reply;

/// Receives the chunks of one answer in order.
#[derive(Debug)]
pub enum Sink {
    /// Streams each chunk to the caller as it arrives.
    Events(Events),
    /// Collects the chunks into one body.
    Collect(Collector),
}

/// A streamed answer.
#[derive(Debug)]
pub struct Events {
    /// Unused until the first chunk, so that an earlier failure gets its own status code.
    reply: Option<ReplySender>,
    sender: mpsc::Sender<Piece>,
    receiver: Option<mpsc::Receiver<Piece>>,
    token: String,
    is_disconnected: bool,
    sent: u64,
}

/// An answer that is being collected.
#[derive(Debug)]
pub struct Collector {
    reply: Option<ReplySender>,
    builder: AnswerBuilder,
    id: String,
    model: String,
    chat: bool,
}

impl Sink {
    /// Creates a sink that streams.
    #[must_use]
    pub fn events(reply: ReplySender) -> Self {
        let (sender, receiver) = channel();
        Self::Events(Events {
            reply: Some(reply),
            sender,
            receiver: Some(receiver),
            token: String::new(),
            is_disconnected: false,
            sent: 0,
        })
    }

    /// Creates a sink that collects.
    #[must_use]
    pub fn collect(reply: ReplySender, model: &str, chat: bool) -> Self {
        Self::Collect(Collector {
            reply: Some(reply),
            builder: AnswerBuilder::default(),
            id: String::new(),
            model: model.to_owned(),
            chat,
        })
    }

    /// Begins the stream of a new dispatch; `token` resumes it.
    pub fn begin(&mut self, token: String) {
        match self {
            Self::Events(events) => events.token = token,
            Self::Collect(collect) => collect.builder = AnswerBuilder::default(),
        }
    }

    /// Accepts a chunk that is not the last one.
    pub async fn push(&mut self, number: u64, data: &str) {
        match self {
            Self::Events(events) => {
                let piece = answer::event(&events.token, number, data);
                events.put(piece).await;
            }
            Self::Collect(collect) => collect.add(data),
        }
    }

    /// Whether the caller has disconnected.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        match self {
            Self::Events(events) => events.is_disconnected,
            Self::Collect(collect) => {
                let reply = collect.reply.as_ref();
                reply.is_none_or(ReplySender::is_closed)
            }
        }
    }

    /// Whether the caller may have received a part of the answer.
    #[must_use]
    pub fn has_sent(&self) -> bool {
        match self {
            Self::Events(events) => events.sent > 0,
            Self::Collect(_) => false,
        }
    }

    /// Ends an answer after its charge: sends the last chunk, if it was held back, and the end
    /// marker with number `end`.
    pub async fn finish(self, last: Option<LastChunk>, end: u64, receipt: Receipt) {
        match self {
            Self::Events(events) => events.finish(last, end, receipt).await,
            Self::Collect(collect) => collect.finish(last, receipt),
        }
    }

    /// Ends an answer that can't be completed with an error.
    pub async fn fail(self, refusal: Refusal) {
        match self {
            Self::Events(events) => events.fail(refusal).await,
            Self::Collect(collect) => {
                if let Some(reply) = collect.reply {
                    send_reply(reply, Reply::Refused(refusal));
                }
            }
        }
    }
}

/// The last chunk of an answer, held back until the answer is charged.
#[derive(Debug, Clone)]
pub struct LastChunk {
    /// Number of the chunk.
    pub number: u64,
    /// Data as received.
    pub data: String,
    /// Parsed data.
    pub part: Completion,
}

impl Events {
    async fn put(&mut self, piece: Bytes) {
        if let (Some(reply), Some(receiver)) = (self.reply.take(), self.receiver.take()) {
            let stream = StreamedReply {
                status: StatusCode::OK,
                headers: stream_headers(),
                pieces: receiver,
                deadline: None,
            };
            send_reply(reply, Reply::Stream(stream));
        }
        if self.is_disconnected {
            return;
        }
        self.sent += 1;
        self.is_disconnected = self.sender.send(Ok(piece)).await.is_err();
    }

    async fn finish(mut self, last: Option<LastChunk>, end: u64, receipt: Receipt) {
        let token = self.token.clone();
        let mut text = Vec::new();
        if let Some(last) = last {
            let data = answer::with_receipt(&last.data, receipt);
            text.extend_from_slice(&answer::event(&token, last.number, &data));
        }
        text.extend_from_slice(&answer::end(&token, end));
        self.put(text.into()).await;
    }

    async fn fail(mut self, refusal: Refusal) {
        if let Some(reply) = self.reply.take() {
            return send_reply(reply, Reply::Refused(refusal));
        }
        let piece = answer::error(&refusal);
        self.put(piece).await;
        // Closes the connection early: a caller must not mistake the part for a complete answer.
        let cut = std::io::Error::other(refusal.detail);
        let _gone = self.sender.send(Err(cut)).await;
    }
}

impl Collector {
    fn add(&mut self, data: &str) {
        let Ok(StreamEvent::Part(part)) = parse_event(data.as_bytes()) else {
            return;
        };
        self.add_part(&part);
    }

    fn add_part(&mut self, part: &Completion) {
        if self.id.is_empty() {
            self.id.clone_from(&part.id);
        }
        self.builder.add(part);
    }

    fn finish(mut self, last: Option<LastChunk>, receipt: Receipt) {
        if let Some(last) = last {
            self.add_part(&last.part);
        }
        let Some(reply) = self.reply.take() else {
            return;
        };
        let ended = self.builder.finish().unwrap_or_default();
        let whole = CompleteAnswer {
            id: self.id,
            model: self.model,
            created: wall_ms(),
            chat: self.chat,
            finished: ended,
        };
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        set_charged(&mut headers, receipt.charged);
        let body = answer::body(&whole, receipt);
        send_reply(reply, Reply::Complete(StatusCode::OK, headers, body));
    }
}

/// Adds the outcome and the charge to the headers of a completed answer.
pub fn set_charged(headers: &mut HeaderMap, charged: Tokens) {
    let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    headers.insert(CHARGED_HEADER, HeaderValue::from(charged));
}

/// Headers of a streamed answer. Its outcome is `unknown` until the last event states it.
fn stream_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    let outcome = HeaderValue::from_static(Outcome::Unknown.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    headers
}

/// Creates the receipt of a completed answer.
#[must_use]
pub fn receipt(key: RequestKey, charged: Tokens) -> Receipt {
    Receipt { key, charged }
}
