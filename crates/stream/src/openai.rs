//! OpenAI-style bodies: requests, stream events, usage, and an upper bound of the cost.
//!
//! Only the fields that a router reads or writes are typed. All other fields of a request are
//! forwarded to the engine unchanged.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use swiftlink_types::Tokens;

/// Data of the last event of a stream.
pub const DONE: &str = "[DONE]";
/// Tokens that an engine may add for each chat message, such as role markers.
const MESSAGE_OVERHEAD_TOKENS: Tokens = 8;
/// Tokens that an engine may add to each prompt.
const PROMPT_OVERHEAD_TOKENS: Tokens = 16;

/// An invalid request body or stream event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {detail}")]
pub struct BodyError {
    /// Path of the invalid field, or `body` or `event`.
    pub field: String,
    /// What is wrong with the field.
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

/// A chat message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}

/// Input of the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prompt {
    /// Input of a chat completion.
    Chat {
        /// The `messages` array as compact JSON.
        text: String,
        /// Number of messages.
        count: usize,
    },
    /// Input of a text completion.
    Plain(String),
}

/// A validated request with all fields that the caller sent.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestBody {
    /// Name of the model, which is the name of the pool.
    pub model: String,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// Largest answer in tokens, if the caller set a limit.
    pub max_tokens: Option<Tokens>,
    /// Input of the model.
    pub prompt: Prompt,
    /// Size of the whole body as compact JSON, in bytes. It bounds the prompt, since fields such
    /// as `tools` are part of the prompt too.
    pub bytes: usize,
    fields: Map<String, Value>,
}

impl RequestBody {
    /// Returns the body for the engine: the caller's, with streaming enabled and the answer limited
    /// to `max_tokens`.
    #[must_use]
    pub fn for_engine(&self, max_tokens: Tokens) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove("max_completion_tokens");
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("max_tokens".to_owned(), Value::from(max_tokens));
        Value::Object(fields).to_string().into_bytes()
    }

    /// Returns up to `bytes` bytes from the start of the prompt. Their hash selects a runner whose
    /// prefix cache is likely to hold them.
    #[must_use]
    pub fn prefix(&self, bytes: usize) -> &[u8] {
        let text = match &self.prompt {
            Prompt::Chat { text, .. } => text,
            Prompt::Plain(text) => text,
        };
        &text.as_bytes()[..text.len().min(bytes)]
    }
}

/// Parses a request body: of a chat completion if `chat`, else of a text completion.
///
/// # Errors
/// When the body is not a JSON object, or a field is missing or invalid.
pub fn parse_request(body: &[u8], chat: bool) -> Result<RequestBody, BodyError> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| BodyError::new("body", error.to_string()))?;
    let Value::Object(fields) = value else {
        return Err(BodyError::new("body", "must be a JSON object"));
    };
    let model = read_model(&fields)?;
    let stream = read_flag(&fields, "stream")?;
    let max_tokens = read_max(&fields)?;
    check_single_answer(&fields)?;
    let prompt = if chat {
        read_messages(&fields)?
    } else {
        read_prompt(&fields)?
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

/// Rejects requests for several answers, which would run more tokens than are reserved.
fn check_single_answer(fields: &Map<String, Value>) -> Result<(), BodyError> {
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

/// Whether the content of a message is text only.
fn is_text(content: &Value) -> bool {
    match content {
        Value::Null | Value::String(_) => true,
        Value::Array(parts) => parts.iter().all(|part| part["type"] == "text"),
        _ => false,
    }
}

fn read_prompt(fields: &Map<String, Value>) -> Result<Prompt, BodyError> {
    match fields.get("prompt") {
        Some(Value::String(prompt)) => Ok(Prompt::Plain(prompt.clone())),
        Some(_) => Err(BodyError::new("prompt", "must be a string")),
        None => Err(BodyError::new("prompt", "is missing")),
    }
}

/// Upper bound of the tokens that a request can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBound {
    /// Upper bound of the prompt tokens.
    pub prompt: Tokens,
    /// Upper bound of the answer tokens.
    pub answer: Tokens,
}

impl TokenBound {
    /// Returns the bound of prompt and answer together.
    #[must_use]
    pub fn total(self) -> Tokens {
        self.prompt.saturating_add(self.answer)
    }
}

/// Returns an upper bound of the prompt tokens of a request, given that tokens are on average at
/// least `token_bytes` bytes long in any text. 1 is always safe for byte-level tokenizers.
#[must_use]
pub fn bound_prompt(body: &RequestBody, token_bytes: u32) -> Tokens {
    let extra = match &body.prompt {
        Prompt::Chat { count, .. } => MESSAGE_OVERHEAD_TOKENS * *count as Tokens,
        Prompt::Plain(_) => 0,
    };
    let text = (body.bytes as Tokens).div_ceil(Tokens::from(token_bytes.max(1)));
    text + extra + PROMPT_OVERHEAD_TOKENS
}

/// Returns an upper bound of the tokens of a request, in a pool whose answers are at most
/// `pool_max` tokens long.
#[must_use]
pub fn bound_tokens(body: &RequestBody, pool_max: Tokens, token_bytes: u32) -> TokenBound {
    let answer = body.max_tokens.unwrap_or(pool_max).min(pool_max);
    let prompt = bound_prompt(body, token_bytes);
    TokenBound { prompt, answer }
}

/// Tokens that the engine reports to have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: Tokens,
    /// Sum of both.
    #[serde(default)]
    pub total_tokens: Tokens,
}

/// A part of a chat answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Author of the message, in the first part only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text of the part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    /// All other fields: tool calls, a refusal, reasoning.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// A choice of a stream event: a chat delta or a text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// Index of the choice; always 0, since only one answer per request is allowed.
    #[serde(default)]
    pub index: u32,
    /// Part of a chat answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// Part of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Why the answer ended, in its last part.
    #[serde(default)]
    pub finish_reason: Option<String>,
    /// All other fields, such as `logprobs`.
    #[serde(flatten)]
    pub more: Map<String, Value>,
}

/// Data of an event of an engine's stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The engine's id of the answer.
    #[serde(default)]
    pub id: String,
    /// `chat.completion.chunk` or `text_completion`.
    #[serde(default)]
    pub object: String,
    /// Choices; one at most.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Tokens run; in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

impl Completion {
    /// Returns the text that the event adds to the answer.
    #[must_use]
    pub fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let delta = choice.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_deref());
        content.or(choice.text.as_deref()).unwrap_or("")
    }

    /// Returns why the answer ended, if this event ends it.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }
}

/// An event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A part of the answer.
    Part(Completion),
    /// The end mark [`DONE`].
    End,
}

/// Parses the data of a stream event.
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
