//! OpenAI-style bodies: stream events, usage, and an upper bound of the cost.
//!
//! Only the fields that a router reads or writes are typed.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use swiftlink_types::Tokens;

use crate::request::{Prompt, RequestBody};

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
    pub(crate) fn new(field: &str, detail: impl Into<String>) -> Self {
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
