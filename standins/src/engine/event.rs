//! The engine's server-sent events and what stands in them.

use bytes::Bytes;
use serde_json::{Value, json};

use super::batch::Stream;
use super::text::{self, Call};

/// Events of a stream besides its tokens: the one with the usage and the end mark.
const CLOSING_EVENTS: u64 = 2;

/// Number of events of a whole stream.
#[must_use]
pub fn total_of(stream: &Stream) -> u64 {
    stream.length + CLOSING_EVENTS
}

/// Event number `no` of the stream `id` as it stands on the wire.
#[must_use]
pub fn encode(id: &str, call: Call, stream: &Stream, no: u64) -> Bytes {
    if no > stream.length {
        return Bytes::from(format!("id: {no}\ndata: [DONE]\n\n"));
    }
    let data = if no < stream.length {
        token_data(id, call, stream, no)
    } else {
        usage_data(id, call, stream)
    };
    Bytes::from(format!("id: {no}\ndata: {data}\n\n"))
}

fn token_data(id: &str, call: Call, stream: &Stream, no: u64) -> Value {
    let content = text::token(&stream.job.prompt, no);
    chunk(id, call, stream, choice(call, Some(content), None))
}

fn usage_data(id: &str, call: Call, stream: &Stream) -> Value {
    let natural = text::natural_length(&stream.job.prompt);
    let reason = if stream.length < natural {
        "length"
    } else {
        "stop"
    };
    let prompt = text::prompt_tokens(&stream.job.prompt);
    let mut data = chunk(id, call, stream, choice(call, None, Some(reason)));
    data["usage"] = json!({
        "prompt_tokens": prompt,
        "completion_tokens": stream.length,
        "total_tokens": prompt + stream.length,
    });
    data
}

fn choice(call: Call, content: Option<String>, reason: Option<&str>) -> Value {
    let mut choice = json!({ "index": 0, "finish_reason": reason });
    match (call, content) {
        (Call::Chat, Some(content)) => choice["delta"] = json!({ "content": content }),
        (Call::Chat, None) => choice["delta"] = json!({}),
        (Call::Text, content) => choice["text"] = json!(content.unwrap_or_default()),
    }
    choice
}

fn chunk(id: &str, call: Call, stream: &Stream, choice: Value) -> Value {
    let object = match call {
        Call::Chat => "chat.completion.chunk",
        Call::Text => "text_completion",
    };
    json!({
        "id": id,
        "object": object,
        "model": stream.job.model,
        "choices": [choice],
    })
}
