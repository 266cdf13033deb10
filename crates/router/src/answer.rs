//! Encoding of answers to callers: events of a stream, and complete bodies.

use bytes::Bytes;
use serde_json::{Map, Value, json};
use swiftlink_stream::{DONE, FinishedAnswer, Usage, event_id};
use swiftlink_types::{Outcome, Refusal, RequestKey, Tokens, WallMs};

/// Charge information that is included in a completed answer.
#[derive(Debug, Clone, Copy)]
pub struct Receipt {
    /// Key of the request.
    pub key: RequestKey,
    /// Budget tokens charged.
    pub charged: Tokens,
}

impl Receipt {
    fn json(self) -> Value {
        json!({
            "key": self.key.to_string(),
            "charged": self.charged,
            "outcome": Outcome::Ran.as_str(),
        })
    }
}

/// One event of a streamed answer.
#[must_use]
pub fn event(token: &str, number: u64, data: &str) -> Bytes {
    let mut text = format!("id: {}\n", event_id(token, number));
    for line in data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    text.into()
}

/// The event that marks the end of a streamed answer.
#[must_use]
pub fn end(token: &str, number: u64) -> Bytes {
    event(token, number, DONE)
}

/// The event that reports that a streamed answer was interrupted.
#[must_use]
pub fn error(refusal: &Refusal) -> Bytes {
    let problem = serde_json::to_string(&refusal.problem()).unwrap_or_default();
    format!("event: error\ndata: {problem}\n\n").into()
}

/// Adds the receipt to the data of the last chunk.
#[must_use]
pub fn with_receipt(data: &str, receipt: Receipt) -> String {
    let parsed: Result<Map<String, Value>, _> = serde_json::from_str(data);
    let Ok(mut fields) = parsed else {
        return data.to_owned();
    };
    fields.insert("swiftlink".to_owned(), receipt.json());
    Value::Object(fields).to_string()
}

/// The last chunk of an answer whose engine reported no usage in its own last chunk.
#[must_use]
pub fn last_chunk(usage: Usage, receipt: Receipt) -> String {
    json!({
        "object": "chat.completion.chunk",
        "choices": [],
        "usage": usage,
        "swiftlink": receipt.json(),
    })
    .to_string()
}

/// The content of an answer that is sent as one body.
#[derive(Debug, Clone)]
pub struct CompleteAnswer {
    /// The engine's id of the answer.
    pub id: String,
    /// The model's name.
    pub model: String,
    /// Creation time.
    pub created: WallMs,
    /// Whether it is a chat completion rather than a text completion.
    pub chat: bool,
    /// Text, finish reason and usage.
    pub finished: FinishedAnswer,
}

/// Encodes the body of a complete answer.
#[must_use]
pub fn body(answer: &CompleteAnswer, receipt: Receipt) -> Bytes {
    let finished = &answer.finished;
    let mut choice = finished.choice.clone();
    let object = if answer.chat {
        choice.insert("message".to_owned(), message(finished));
        "chat.completion"
    } else {
        let text = finished.text.as_deref().unwrap_or_default();
        choice.insert("text".to_owned(), json!(text));
        "text_completion"
    };
    choice.insert("index".to_owned(), json!(0));
    choice.insert("finish_reason".to_owned(), json!(finished.finish));
    let value = json!({
        "id": answer.id,
        "object": object,
        "created": answer.created / 1_000,
        "model": answer.model,
        "choices": [choice],
        "usage": finished.usage,
        "swiftlink": receipt.json(),
    });
    value.to_string().into()
}

/// The message of a complete chat answer.
fn message(finished: &FinishedAnswer) -> Value {
    let mut message = finished.message.clone();
    message.insert("role".to_owned(), json!("assistant"));
    // The content of a message that has only tool calls is null.
    let is_bare = finished.text.is_none() && !message.contains_key("tool_calls");
    let text = if is_bare {
        Some("")
    } else {
        finished.text.as_deref()
    };
    message.insert("content".to_owned(), json!(text));
    Value::Object(message)
}

/// Tokens processed, as reported by the engine: the larger of the total and the sum.
#[must_use]
pub fn tokens_run(usage: Usage) -> Tokens {
    let sum = usage.prompt_tokens.saturating_add(usage.completion_tokens);
    usage.total_tokens.max(sum)
}
