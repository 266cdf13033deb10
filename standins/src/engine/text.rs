//! The engine's answers, a deterministic function of the prompt, so that a test can compare
//! every byte.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Vocabulary of the answers.
const WORDS: [&str; 16] = [
    "parcel", "ridge", "clé", "mar", "notary", "grid", "hint", "river", "señal", "stone", "brook",
    "field", "sept", "lane", "harbour", "été",
];

/// Minimum answer length in tokens, unless the prompt sets the length.
const MIN_LENGTH: u64 = 6;
/// Number of different answer lengths, unless the prompt sets the length.
const LENGTH_COUNT: u64 = 20;
/// A prompt that contains `tokens=N` gets an answer of exactly N tokens.
const LENGTH_MARK: &str = "tokens=";

/// API endpoint of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// Returns the prompt of a request body: the contents of all messages joined by newlines,
/// or the `prompt` text.
///
/// # Errors
/// The name of the missing or malformed field.
pub fn prompt_of(endpoint: Endpoint, body: &Value) -> Result<String, &'static str> {
    match endpoint {
        Endpoint::Text => {
            let prompt = body.get("prompt").and_then(Value::as_str);
            prompt.map(str::to_owned).ok_or("prompt")
        }
        Endpoint::Chat => {
            let messages = body.get("messages").and_then(Value::as_array);
            let mut lines = Vec::new();
            for message in messages.ok_or("messages")? {
                let content = message.get("content").and_then(Value::as_str);
                lines.push(content.ok_or("messages.content")?);
            }
            Ok(lines.join("\n"))
        }
    }
}

/// Counts the tokens of a prompt: its words, but at least one.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.split_whitespace().count() as u64).max(1)
}

/// Returns the length of the unlimited answer to `prompt`, in tokens.
#[must_use]
pub fn unlimited_length(prompt: &str) -> u64 {
    if let Some((_before, after)) = prompt.split_once(LENGTH_MARK) {
        let end = after.find(|c: char| !c.is_ascii_digit());
        let digits = &after[..end.unwrap_or(after.len())];
        if let Ok(length) = digits.parse::<u64>() {
            return length.max(1);
        }
    }
    MIN_LENGTH + xxh3_64(prompt.as_bytes()) % LENGTH_COUNT
}

/// Returns the token at position `index` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    let seed = xxh3_64(prompt.as_bytes()) ^ index.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let choice = xxh3_64(&seed.to_le_bytes()) % WORDS.len() as u64;
    let word = WORDS[usize::try_from(choice).expect("less than the number of words")];
    format!("{word}{index} ")
}

/// Returns the length of the answer to `prompt` with at most `max_tokens` tokens.
#[must_use]
pub fn answer_length(prompt: &str, max_tokens: u64) -> u64 {
    unlimited_length(prompt).min(max_tokens)
}

/// Returns the answer to `prompt` with at most `max_tokens` tokens.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u64) -> String {
    let mut text = String::new();
    for index in 0..answer_length(prompt, max_tokens) {
        text.push_str(&token(prompt, index));
    }
    text
}
