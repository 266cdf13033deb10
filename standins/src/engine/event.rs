//! Encoding of the engine's server-sent events.

use bytes::Bytes;
use serde_json::{Value, json};

use super::batch::Stream;
use super::text::{self, Endpoint};

/// Number of events after the tokens: the usage and the end marker.
const CLOSING_EVENTS: u64 = 2;

/// Returns the number of events of a complete stream.
#[must_use]
pub fn event_count(stream: &Stream) -> u64 {
    stream.length + CLOSING_EVENTS
}

/// Encodes event number `no` of the stream `id`.
#[must_use]
pub fn encode(id: &str, endpoint: Endpoint, stream: &Stream, no: u64) -> Bytes {
    if no > stream.length {
        return Bytes::from(format!("id: {no}\ndata: [DONE]\n\n"));
    }
    let data = if no < stream.length {
        token_data(id, endpoint, stream, no)
    } else {
        usage_data(id, endpoint, stream)
    };
    Bytes::from(format!("id: {no}\ndata: {data}\n\n"))
}

fn token_data(id: &str, endpoint: Endpoint, stream: &Stream, no: u64) -> Value {
    let content = text::token(&stream.job.prompt, no);
    chunk(id, endpoint, stream, choice(endpoint, Some(content), None))
}

fn usage_data(id: &str, endpoint: Endpoint, stream: &Stream) -> Value {
    let natural = text::unlimited_length(&stream.job.prompt);
    let reason = if stream.length < natural {
        "length"
    } else {
        "stop"
    };
    let prompt = text::prompt_tokens(&stream.job.prompt);
    let mut data = chunk(id, endpoint, stream, choice(endpoint, None, Some(reason)));
    data["usage"] = json!({
        "prompt_tokens": prompt,
        "completion_tokens": stream.length,
        "total_tokens": prompt + stream.length,
    });
    data
}

fn choice(endpoint: Endpoint, content: Option<String>, reason: Option<&str>) -> Value {
    let mut choice = json!({ "index": 0, "finish_reason": reason });
    match (endpoint, content) {
        (Endpoint::Chat, Some(content)) => choice["delta"] = json!({ "content": content }),
        (Endpoint::Chat, None) => choice["delta"] = json!({}),
        (Endpoint::Text, content) => choice["text"] = json!(content.unwrap_or_default()),
    }
    choice
}

fn chunk(id: &str, endpoint: Endpoint, stream: &Stream, choice: Value) -> Value {
    let object = match endpoint {
        Endpoint::Chat => "chat.completion.chunk",
        Endpoint::Text => "text_completion",
    };
    json!({
        "id": id,
        "object": object,
        "model": stream.job.model,
        "choices": [choice],
    })
}
