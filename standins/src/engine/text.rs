//! The engine's answers: a fixed function of the prompt, so that a test can
//! compare every byte.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "parcel", "ridge", "clé", "mar", "notary", "grid", "hint", "river", "señal", "stone", "brook",
    "field", "sept", "lane", "harbour", "été",
];

/// Shortest answer when the prompt does not say its length (tokens).
const SHORTEST: u64 = 6;
/// Number of different lengths when the prompt does not say its length.
const LENGTHS: u64 = 20;
/// A prompt that holds `tokens=N` asks for an answer of exactly N tokens.
const LENGTH_MARK: &str = "tokens=";

/// Which of the two model calls a body belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Call {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

/// The prompt of a request body: the contents of all messages joined by line
/// ends, or the `prompt` text.
///
/// # Errors
/// Names the missing or malformed field.
pub fn prompt_of(call: Call, body: &Value) -> Result<String, &'static str> {
    match call {
        Call::Text => {
            let prompt = body.get("prompt").and_then(Value::as_str);
            prompt.map(str::to_owned).ok_or("prompt")
        }
        Call::Chat => {
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

/// Tokens that a prompt counts for: its words, at least one.
#[must_use]
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.split_whitespace().count() as u64).max(1)
}

/// Tokens of the whole answer to `prompt`, without a limit.
#[must_use]
pub fn natural_length(prompt: &str) -> u64 {
    if let Some((_before, after)) = prompt.split_once(LENGTH_MARK) {
        let end = after.find(|c: char| !c.is_ascii_digit());
        let digits = &after[..end.unwrap_or(after.len())];
        if let Ok(length) = digits.parse::<u64>() {
            return length.max(1);
        }
    }
    SHORTEST + xxh3_64(prompt.as_bytes()) % LENGTHS
}

/// Token number `place` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, place: u64) -> String {
    let seed = xxh3_64(prompt.as_bytes()) ^ place.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let choice = xxh3_64(&seed.to_le_bytes()) % WORDS.len() as u64;
    let word = WORDS[usize::try_from(choice).expect("less than the number of words")];
    format!("{word}{place} ")
}

/// Tokens of the answer to `prompt` when at most `max_tokens` may be given.
#[must_use]
pub fn answer_length(prompt: &str, max_tokens: u64) -> u64 {
    natural_length(prompt).min(max_tokens)
}

/// The whole answer to `prompt` when at most `max_tokens` may be given.
#[must_use]
pub fn answer(prompt: &str, max_tokens: u64) -> String {
    let mut text = String::new();
    for place in 0..answer_length(prompt, max_tokens) {
        text.push_str(&token(prompt, place));
    }
    text
}
