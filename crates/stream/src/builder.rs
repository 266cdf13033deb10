//! Builds complete answers from the events of a stream.

use serde_json::{Map, Value};

use crate::openai::{Completion, Usage};

/// A complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedAnswer {
    /// Text of the answer; `None` when no part had a text.
    pub text: Option<String>,
    /// Finish reason reported by the engine.
    pub finish: Option<String>,
    /// Tokens that the engine reported as processed.
    pub usage: Usage,
    /// Other fields of the message: tool calls, a refusal, reasoning.
    pub message: Map<String, Value>,
    /// Other fields of the choice, such as `logprobs`.
    pub choice: Map<String, Value>,
}

/// Builds a complete answer from its parts in order.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuilder {
    answer: FinishedAnswer,
    calls: Vec<ToolCall>,
    usage: Option<Usage>,
}

/// A partially received tool call.
#[derive(Clone, Debug)]
struct ToolCall {
    index: u64,
    fields: Map<String, Value>,
}

impl AnswerBuilder {
    /// Appends the next part.
    pub fn add(&mut self, part: &Completion) {
        if part.usage.is_some() {
            self.usage = part.usage;
        }
        let Some(choice) = part.choices.first() else {
            return;
        };
        let delta = choice.delta.as_ref();
        let content = delta.and_then(|delta| delta.content.as_deref());
        if let Some(text) = content.or(choice.text.as_deref()) {
            self.answer.text.get_or_insert_default().push_str(text);
        }
        if let Some(finish) = &choice.finish_reason {
            self.answer.finish = Some(finish.clone());
        }
        for (name, value) in &choice.more {
            match (name.as_str(), value) {
                ("logprobs", Value::Object(logprobs)) => self.add_logprobs(logprobs),
                _ => set(&mut self.answer.choice, name, value),
            }
        }
        for (name, value) in delta.into_iter().flat_map(|delta| &delta.more) {
            match (name.as_str(), value) {
                ("tool_calls", Value::Array(calls)) => self.add_calls(calls),
                ("function_call", Value::Object(call)) => {
                    append_fields(&mut self.answer.message, name, call);
                }
                _ => append(&mut self.answer.message, name, value),
            }
        }
    }

    /// Appends to the lists of log probabilities, of which each part has its own elements.
    fn add_logprobs(&mut self, logprobs: &Map<String, Value>) {
        let Some(fields) = object_entry(&mut self.answer.choice, "logprobs") else {
            return;
        };
        for (name, value) in logprobs {
            match (fields.get_mut(name), value) {
                (Some(Value::Array(list)), Value::Array(more)) => list.extend_from_slice(more),
                _ => set(fields, name, value),
            }
        }
    }

    fn add_calls(&mut self, calls: &[Value]) {
        for (position, call) in calls.iter().enumerate() {
            let Value::Object(call) = call else {
                continue;
            };
            let index = call.get("index").and_then(Value::as_u64);
            self.call(index.unwrap_or(position as u64)).add(call);
        }
    }

    /// Returns the tool call with `index`, and adds it if it is missing.
    fn call(&mut self, index: u64) -> &mut ToolCall {
        let position = match self.calls.binary_search_by_key(&index, |call| call.index) {
            Ok(position) => position,
            Err(position) => {
                let fields = Map::new();
                self.calls.insert(position, ToolCall { index, fields });
                position
            }
        };
        &mut self.calls[position]
    }

    /// Returns the tokens run, once the engine has reported them.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Returns the complete answer; `None` when the engine didn't report its usage.
    #[must_use]
    pub fn finish(self) -> Option<FinishedAnswer> {
        let usage = self.usage?;
        let mut answer = self.answer;
        answer.usage = usage;
        if !self.calls.is_empty() {
            let calls = self.calls.into_iter();
            let calls = calls.map(|call| Value::Object(call.fields)).collect();
            answer.message.insert("tool_calls".to_owned(), calls);
        }
        Some(answer)
    }
}

impl ToolCall {
    /// Adds a part: the id and the type arrive once, name and arguments in pieces.
    fn add(&mut self, part: &Map<String, Value>) {
        for (name, value) in part {
            match (name.as_str(), value) {
                ("index", _) => {}
                ("function" | "custom", Value::Object(function)) => {
                    append_fields(&mut self.fields, name, function);
                }
                // Some engines repeat the id as an empty string.
                (_, Value::String(text)) if text.is_empty() && self.fields.contains_key(name) => {}
                _ => set(&mut self.fields, name, value),
            }
        }
    }
}

/// Returns the object in the field `name`, created if the field is missing or null; `None` when
/// the field has another type.
fn object_entry<'a>(
    fields: &'a mut Map<String, Value>,
    name: &str,
) -> Option<&'a mut Map<String, Value>> {
    let value = fields.entry(name).or_insert(Value::Null);
    if value.is_null() {
        *value = Value::Object(Map::new());
    }
    value.as_object_mut()
}

/// Appends each field of `part` to the object in the field `name`.
fn append_fields(fields: &mut Map<String, Value>, name: &str, part: &Map<String, Value>) {
    let Some(target) = object_entry(fields, name) else {
        return;
    };
    for (name, value) in part {
        append(target, name, value);
    }
}

/// Appends a string to the string in the field `name`; any other value replaces the field.
fn append(fields: &mut Map<String, Value>, name: &str, value: &Value) {
    match (fields.get_mut(name), value) {
        (Some(Value::String(text)), Value::String(part)) => text.push_str(part),
        _ => set(fields, name, value),
    }
}

/// Sets the field `name`, except that a null doesn't replace another value.
fn set(fields: &mut Map<String, Value>, name: &str, value: &Value) {
    if !value.is_null() || !fields.contains_key(name) {
        fields.insert(name.to_owned(), value.clone());
    }
}
