//! OpenAI-style requests. A request keeps the text of its fields, so that it takes no more memory than
//! its body, whatever values are in it.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Error as _, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::{RawValue, to_raw_value};
use swiftlink_types::Tokens;

use crate::openai::BodyError;

/// Maximum number of fields of a request.
const MAX_FIELDS: usize = 256;
/// Maximum depth of nested arrays and objects.
const MAX_DEPTH: usize = 128;
/// The `type` of a part of a message that is text, as JSON.
const TEXT: &str = "\"text\"";

/// Input of the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prompt {
    /// Input of a chat completion.
    Chat {
        /// The `messages` array as JSON.
        text: String,
        /// Number of messages.
        count: usize,
    },
    /// Input of a text completion.
    Plain(String),
}

/// A validated request with all fields that the caller sent.
#[derive(Clone, Debug)]
pub struct RequestBody {
    /// Name of the model, which is the name of the pool.
    pub model: String,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// Largest answer in tokens, if the caller set a limit.
    pub max_tokens: Option<Tokens>,
    /// Input of the model.
    pub prompt: Prompt,
    /// Size of the whole body without white space between values, in bytes. It bounds the prompt, since
    /// fields such as `tools` are part of the prompt too.
    pub bytes: usize,
    fields: Fields,
}

impl RequestBody {
    /// Returns the body for the engine: the caller's, with streaming enabled and the answer limited
    /// to `max_tokens`.
    #[must_use]
    pub fn for_engine(&self, max_tokens: Tokens) -> Vec<u8> {
        let (streams, max_tokens) = (to_raw_value(&true), to_raw_value(&max_tokens));
        let own = [("stream", &streams), ("max_tokens", &max_tokens)];
        let mut fields = BTreeMap::new();
        for (name, value) in &self.fields.0 {
            fields.insert(name.as_str(), &**value);
        }
        fields.remove("max_completion_tokens");
        for (name, value) in own {
            let value = value.as_ref().expect("JSON has booleans and numbers");
            fields.insert(name, &**value);
        }
        serde_json::to_vec(&fields).expect("the fields are JSON")
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
/// When the body is not a JSON object of up to 256 fields, is nested over 128 deep, or a field is
/// missing or invalid.
pub fn parse_request(body: &[u8], chat: bool) -> Result<RequestBody, BodyError> {
    let fields: Fields =
        serde_json::from_slice(body).map_err(|error| BodyError::new("body", error.to_string()))?;
    let Some(bytes) = compact_len(body) else {
        return Err(BodyError::new("body", "is nested too deeply"));
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
    Ok(RequestBody {
        bytes,
        model,
        stream,
        max_tokens,
        prompt,
        fields,
    })
}

/// The fields of a request, with the text of their values.
#[derive(Clone, Debug)]
struct Fields(BTreeMap<String, Box<RawValue>>);

impl Fields {
    /// The text of a field; `None` if it is missing.
    fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(|value| value.get())
    }

    /// The value of a field; `None` if it is missing or null.
    ///
    /// # Errors
    /// `expected`, when the value is of another type.
    fn read<'a, T: Deserialize<'a>>(
        &'a self,
        name: &str,
        expected: &str,
    ) -> Result<Option<T>, BodyError> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        serde_json::from_str(text).map_err(|_type| BodyError::new(name, expected))
    }
}

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some((name, value)) = map.next_entry()? {
            fields.insert(name, value);
            if fields.len() > MAX_FIELDS {
                return Err(A::Error::custom("too many fields"));
            }
        }
        Ok(Fields(fields))
    }
}

fn read_model(fields: &Fields) -> Result<String, BodyError> {
    let expected = "must be a non-empty string";
    if fields.text("model").is_none() {
        return Err(BodyError::new("model", "is missing"));
    }
    let model: Option<String> = fields.read("model", expected)?;
    let model = model.filter(|model| !model.is_empty());
    model.ok_or_else(|| BodyError::new("model", expected))
}

fn read_flag(fields: &Fields, name: &str) -> Result<bool, BodyError> {
    let flag = fields.read(name, "must be true or false")?;
    Ok(flag.unwrap_or(false))
}

fn read_max(fields: &Fields) -> Result<Option<Tokens>, BodyError> {
    let expected = "must be a whole number above 0";
    for name in ["max_completion_tokens", "max_tokens"] {
        let Some(max) = fields.read(name, expected)? else {
            continue;
        };
        if max == 0 {
            return Err(BodyError::new(name, expected));
        }
        return Ok(Some(max));
    }
    Ok(None)
}

/// Rejects requests for several answers, which would run more tokens than are reserved.
fn check_single_answer(fields: &Fields) -> Result<(), BodyError> {
    for name in ["n", "best_of"] {
        let count: Option<u64> = fields.read(name, "must be 1")?;
        if count.unwrap_or(1) != 1 {
            return Err(BodyError::new(name, "must be 1"));
        }
    }
    Ok(())
}

fn read_prompt(fields: &Fields) -> Result<Prompt, BodyError> {
    let expected = "must be a string";
    if fields.text("prompt").is_none() {
        return Err(BodyError::new("prompt", "is missing"));
    }
    let prompt: Option<String> = fields.read("prompt", expected)?;
    let prompt = prompt.ok_or_else(|| BodyError::new("prompt", expected))?;
    Ok(Prompt::Plain(prompt))
}

fn read_messages(fields: &Fields) -> Result<Prompt, BodyError> {
    let expected = "must be a non-empty array";
    let Some(text) = fields.text("messages") else {
        return Err(BodyError::new("messages", "is missing"));
    };
    let checked = serde_json::from_str::<Messages>(text);
    let Messages { count, invalid } =
        checked.map_err(|_type| BodyError::new("messages", expected))?;
    if let Some(invalid) = invalid {
        return Err(invalid);
    }
    if count == 0 {
        return Err(BodyError::new("messages", expected));
    }
    let text = text.to_owned();
    Ok(Prompt::Chat { text, count })
}

/// What is known of the `messages` array: its length, or the first message that is invalid.
struct Messages {
    count: usize,
    invalid: Option<BodyError>,
}

impl<'de> Deserialize<'de> for Messages {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(MessagesVisitor)
    }
}

struct MessagesVisitor;

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Messages;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Messages, A::Error> {
        let mut messages = Messages {
            count: 0,
            invalid: None,
        };
        while let Some(message) = items.next_element::<&RawValue>()? {
            if messages.invalid.is_none() {
                messages.invalid = check_message(messages.count, message.get()).err();
            }
            messages.count += 1;
        }
        Ok(messages)
    }
}

/// The fields of a message that are checked.
#[derive(Deserialize)]
struct MessageDoc<'a> {
    #[serde(borrow)]
    role: Option<&'a RawValue>,
    #[serde(borrow)]
    content: Option<&'a RawValue>,
}

fn check_message(index: usize, text: &str) -> Result<(), BodyError> {
    let role = || BodyError::new(&format!("messages[{index}].role"), "must be a string");
    let message: MessageDoc = serde_json::from_str(text).map_err(|_type| role())?;
    if !message.role.is_some_and(|role| role.get().starts_with('"')) {
        return Err(role());
    }
    if message
        .content
        .is_some_and(|content| !is_text(content.get()))
    {
        let field = format!("messages[{index}].content");
        let detail = "must be text: nothing else can be bounded";
        return Err(BodyError::new(&field, detail));
    }
    Ok(())
}

/// Whether the content of a message is text only.
fn is_text(content: &str) -> bool {
    match content.as_bytes().first() {
        Some(b'"' | b'n') => true,
        Some(b'[') => serde_json::from_str::<TextParts>(content).is_ok(),
        _ => false,
    }
}

/// An array of parts of a message that are all text.
struct TextParts;

impl<'de> Deserialize<'de> for TextParts {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TextPartsVisitor)
    }
}

struct TextPartsVisitor;

impl<'de> Visitor<'de> for TextPartsVisitor {
    type Value = TextParts;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of parts of text")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<TextParts, A::Error> {
        while let Some(part) = parts.next_element::<PartDoc>()? {
            if part.kind.is_none_or(|kind| kind.get() != TEXT) {
                return Err(A::Error::custom("not text"));
            }
        }
        Ok(TextParts)
    }
}

/// The field of a part that is checked.
#[derive(Deserialize)]
struct PartDoc<'a> {
    #[serde(borrow, rename = "type")]
    kind: Option<&'a RawValue>,
}

/// Length of a valid JSON text without white space between values; `None` if it is nested more than
/// [`MAX_DEPTH`] deep.
fn compact_len(text: &[u8]) -> Option<usize> {
    let (mut length, mut depth) = (0, 0);
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in text {
        if !in_string && byte.is_ascii_whitespace() {
            continue;
        }
        length += 1;
        if is_escaped {
            is_escaped = false;
            continue;
        }
        match byte {
            b'"' => in_string = !in_string,
            b'\\' => is_escaped = in_string,
            b'[' | b'{' if !in_string => depth += 1,
            b']' | b'}' if !in_string => depth -= 1,
            _ => {}
        }
        if depth > MAX_DEPTH {
            return None;
        }
    }
    Some(length)
}
