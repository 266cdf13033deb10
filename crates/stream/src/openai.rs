//! The OpenAI-style bodies: requests, stream events, usage, and a cost bound.
//!
//! Only the fields that a router reads or writes are typed. Everything else in a
//! request is kept and passed on to the engine as the caller wrote it.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use swiftlink_types::Tokens;

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";
/// Tokens that an engine may add for each chat message (role marks and the like).
const MESSAGE_TOKENS: Tokens = 8;
/// Tokens that an engine may add to each prompt.
const PROMPT_TOKENS: Tokens = 16;

/// A request body that a router can't work with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {detail}")]
pub struct BodyError {
    /// The field at fault, or `body`.
    pub field: String,
    /// What is wrong with it.
    pub detail: String,
}

impl BodyError {
    fn new(field: &str, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self {
            field: field.to_owned(),
            detail,
        }
    }
}

/// One chat message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks: `system`, `user`, `assistant`, `tool`.
    pub role: String,
    /// Its text.
    #[serde(default)]
    pub content: String,
}

/// What the request asks the model to go on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prompt {
    /// Chat messages: the JSON text of the `messages` array and their count.
    Chat {
        /// The array as compact JSON.
        text: String,
        /// Messages in it.
        count: usize,
    },
    /// The text of a plain completion.
    Plain(String),
}

/// A request, checked, with every field of the caller kept.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestBody {
    /// Model, which is the pool's name.
    pub model: String,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Largest answer in tokens, if the caller set one.
    pub max_tokens: Option<Tokens>,
    /// What the model goes on from.
    pub prompt: Prompt,
    /// Bytes of the whole body as compact JSON: tools and the like are prompt too.
    pub bytes: usize,
    fields: Map<String, Value>,
}

impl RequestBody {
    /// The body to send to an engine: the caller's, as a stream of at most
    /// `max_tokens`.
    #[must_use]
    pub fn for_engine(&self, max_tokens: Tokens) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove("max_completion_tokens");
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("max_tokens".to_owned(), Value::from(max_tokens));
        Value::Object(fields).to_string().into_bytes()
    }

    /// Bytes of the prompt's start, for a hash that picks a runner with a warm cache.
    #[must_use]
    pub fn prefix(&self, bytes: usize) -> &[u8] {
        let text = match &self.prompt {
            Prompt::Chat { text, .. } => text,
            Prompt::Plain(text) => text,
        };
        &text.as_bytes()[..text.len().min(bytes)]
    }
}

/// Reads a request body; `chat` says which of the two paths it was sent to.
///
/// # Errors
/// Names the field that is missing or of the wrong type.
pub fn parse_request(body: &[u8], chat: bool) -> Result<RequestBody, BodyError> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| BodyError::new("body", error.to_string()))?;
    let Value::Object(fields) = value else {
        return Err(BodyError::new("body", "must be a JSON object"));
    };
    let model = read_model(&fields)?;
    let stream = read_flag(&fields, "stream")?;
    let max_tokens = read_max(&fields)?;
    read_single(&fields)?;
    let prompt = if chat {
        read_messages(&fields)?
    } else {
        read_plain(&fields)?
    };
    let bytes = serde_json::to_vec(&fields).map_or(body.len(), |text| text.len());
    Ok(RequestBody {
        bytes,
        model,
        stream,
        max_tokens,
        prompt,
        fields,
    })
}

fn read_model(fields: &Map<String, Value>) -> Result<String, BodyError> {
    match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => Ok(model.clone()),
        Some(_) => Err(BodyError::new("model", "must be a non-empty string")),
        None => Err(BodyError::new("model", "is missing")),
    }
}

fn read_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, BodyError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(BodyError::new(name, "must be true or false")),
    }
}

fn read_max(fields: &Map<String, Value>) -> Result<Option<Tokens>, BodyError> {
    for name in ["max_completion_tokens", "max_tokens"] {
        let value = match fields.get(name) {
            None | Some(Value::Null) => continue,
            Some(value) => value,
        };
        let Some(max) = value.as_u64().filter(|max| *max > 0) else {
            return Err(BodyError::new(name, "must be a whole number above 0"));
        };
        return Ok(Some(max));
    }
    Ok(None)
}

/// More than one answer per request would run more tokens than are reserved.
fn read_single(fields: &Map<String, Value>) -> Result<(), BodyError> {
    for name in ["n", "best_of"] {
        match fields.get(name) {
            None | Some(Value::Null) => {}
            Some(value) if value.as_u64() == Some(1) => {}
            Some(_) => return Err(BodyError::new(name, "must be 1")),
        }
    }
    Ok(())
}

fn read_messages(fields: &Map<String, Value>) -> Result<Prompt, BodyError> {
    let messages = match fields.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        Some(_) => return Err(BodyError::new("messages", "must be a non-empty array")),
        None => return Err(BodyError::new("messages", "is missing")),
    };
    for (index, message) in messages.iter().enumerate() {
        if !message.get("role").is_some_and(Value::is_string) {
            let field = format!("messages[{index}].role");
            return Err(BodyError::new(&field, "must be a string"));
        }
        if !message.get("content").is_none_or(is_text) {
            let field = format!("messages[{index}].content");
            return Err(BodyError::new(
                &field,
                "must be text: nothing else can be bounded",
            ));
        }
    }
    let text = Value::Array(messages.clone()).to_string();
    let count = messages.len();
    Ok(Prompt::Chat { text, count })
}

/// Whether a message's content holds text only.
fn is_text(content: &Value) -> bool {
    match content {
        Value::Null | Value::String(_) => true,
        Value::Array(parts) => parts.iter().all(|part| part["type"] == "text"),
        _ => false,
    }
}

fn read_plain(fields: &Map<String, Value>) -> Result<Prompt, BodyError> {
    match fields.get("prompt") {
        Some(Value::String(prompt)) => Ok(Prompt::Plain(prompt.clone())),
        Some(_) => Err(BodyError::new("prompt", "must be a string")),
        None => Err(BodyError::new("prompt", "is missing")),
    }
}

/// Largest number of tokens that a request can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Most tokens of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub answer: Tokens,
}

impl Bound {
    /// Prompt and answer together.
    #[must_use]
    pub fn total(self) -> Tokens {
        self.prompt.saturating_add(self.answer)
    }
}

/// Most tokens that the engine can read from a request, when a token is at least
/// `token_bytes` bytes long on the average of any text (1 is always safe for
/// byte-level tokenizers).
#[must_use]
pub fn bound_prompt(body: &RequestBody, token_bytes: u32) -> Tokens {
    let extra = match &body.prompt {
        Prompt::Chat { count, .. } => MESSAGE_TOKENS * *count as Tokens,
        Prompt::Plain(_) => 0,
    };
    let text = (body.bytes as Tokens).div_ceil(Tokens::from(token_bytes.max(1)));
    text + extra + PROMPT_TOKENS
}

/// Bounds the tokens of a request in a pool whose answers are at most
/// `pool_max` tokens long.
#[must_use]
pub fn bound_tokens(body: &RequestBody, pool_max: Tokens, token_bytes: u32) -> Bound {
    let answer = body.max_tokens.unwrap_or(pool_max).min(pool_max);
    let prompt = bound_prompt(body, token_bytes);
    Bound { prompt, answer }
}

/// Tokens that the engine says it ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: Tokens,
    /// Both together.
    #[serde(default)]
    pub total_tokens: Tokens,
}

/// Part of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Who speaks, in the first part only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text of the part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    /// Whatever else the part has: tool calls, a refusal, reasoning.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// One choice of a stream event: a chat delta or a plain text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Position; always 0 here.
    #[serde(default)]
    pub index: u32,
    /// Part of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Part of a plain answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Why the answer ended, in its last part.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// Whatever else the part has, like `logprobs`.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// Data of one event of an engine's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The engine's id of the answer.
    #[serde(default)]
    pub id: String,
    /// `chat.completion.chunk` or `text_completion`.
    #[serde(default)]
    pub object: String,
    /// The parts; one at most.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Tokens run, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

impl Completion {
    /// Text that the event adds to the answer.
    #[must_use]
    pub fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_deref());
        content.or(choice.text.as_deref()).unwrap_or("")
    }

    /// Why the answer ended, if this event ends it.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }
}

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of the answer.
    Part(Completion),
    /// The engine's end mark.
    End,
}

/// Reads the data of one stream event.
///
/// # Errors
/// When it is neither the end mark nor a completion.
pub fn parse_event(data: &[u8]) -> Result<StreamEvent, BodyError> {
    if data.trim_ascii() == DONE.as_bytes() {
        return Ok(StreamEvent::End);
    }
    serde_json::from_slice(data)
        .map(StreamEvent::Part)
        .map_err(|error| BodyError::new("event", error.to_string()))
}
