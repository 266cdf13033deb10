//! Whole answers, put together from the events of a stream.

use serde_json::{Map, Value};

use crate::openai::{Completion, Usage};

/// How an answer ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedAnswer {
    /// The whole text; `None` when no part had any.
    pub text: Option<String>,
    /// Why it ended, in the engine's word.
    pub finish: Option<String>,
    /// Tokens run.
    pub usage: Usage,
    /// Further fields of the message: tool calls, a refusal, reasoning.
    pub message: Map<String, Value>,
    /// Further fields of the choice, like `logprobs`.
    pub choice: Map<String, Value>,
}

/// Builds a whole answer from its parts in order.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuilder {
    ended: FinishedAnswer,
    calls: Vec<Call>,
    usage: Option<Usage>,
}

/// One tool call in the making.
#[derive(Clone, Debug)]
struct Call {
    index: u64,
    fields: Map<String, Value>,
}

impl AnswerBuilder {
    /// Adds the next part.
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
            self.ended.text.get_or_insert_default().push_str(text);
        }
        if let Some(finish) = &choice.finish_reason {
            self.ended.finish = Some(finish.clone());
        }
        for (name, value) in &choice.more {
            match (name.as_str(), value) {
                ("logprobs", Value::Object(logprobs)) => self.add_logprobs(logprobs),
                _ => put(&mut self.ended.choice, name, value),
            }
        }
        for (name, value) in delta.into_iter().flat_map(|delta| &delta.more) {
            match (name.as_str(), value) {
                ("tool_calls", Value::Array(calls)) => self.add_calls(calls),
                ("function_call", Value::Object(call)) => {
                    join_object(&mut self.ended.message, name, call);
                }
                _ => join(&mut self.ended.message, name, value),
            }
        }
    }

    /// Log probabilities are lists, to which each part adds its own.
    fn add_logprobs(&mut self, logprobs: &Map<String, Value>) {
        let Some(whole) = object(&mut self.ended.choice, "logprobs") else {
            return;
        };
        for (name, value) in logprobs {
            match (whole.get_mut(name), value) {
                (Some(Value::Array(list)), Value::Array(more)) => list.extend_from_slice(more),
                _ => put(whole, name, value),
            }
        }
    }

    fn add_calls(&mut self, calls: &[Value]) {
        for (place, call) in calls.iter().enumerate() {
            let Value::Object(call) = call else {
                continue;
            };
            let index = call.get("index").and_then(Value::as_u64);
            self.call(index.unwrap_or(place as u64)).add(call);
        }
    }

    /// The tool call of that index.
    fn call(&mut self, index: u64) -> &mut Call {
        let place = match self.calls.binary_search_by_key(&index, |call| call.index) {
            Ok(place) => place,
            Err(place) => {
                let fields = Map::new();
                self.calls.insert(place, Call { index, fields });
                place
            }
        };
        &mut self.calls[place]
    }

    /// Tokens run, once the engine has told them.
    #[must_use]
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// The whole; `None` when the engine never told the tokens run.
    #[must_use]
    pub fn finish(self) -> Option<FinishedAnswer> {
        let usage = self.usage?;
        let mut ended = self.ended;
        ended.usage = usage;
        if !self.calls.is_empty() {
            let calls = self.calls.into_iter();
            let calls = calls.map(|call| Value::Object(call.fields)).collect();
            ended.message.insert("tool_calls".to_owned(), calls);
        }
        Some(ended)
    }
}

impl Call {
    /// Adds a part: the id and the type come once, name and arguments in pieces.
    fn add(&mut self, part: &Map<String, Value>) {
        for (name, value) in part {
            match (name.as_str(), value) {
                ("index", _) => {}
                ("function" | "custom", Value::Object(function)) => {
                    join_object(&mut self.fields, name, function);
                }
                // Some engines send the id again, empty.
                (_, Value::String(text)) if text.is_empty() && self.fields.contains_key(name) => {}
                _ => put(&mut self.fields, name, value),
            }
        }
    }
}

/// The object of that name, made if it is missing; `None` for another value.
fn object<'a>(
    fields: &'a mut Map<String, Value>,
    name: &str,
) -> Option<&'a mut Map<String, Value>> {
    let value = fields.entry(name).or_insert(Value::Null);
    if value.is_null() {
        *value = Value::Object(Map::new());
    }
    value.as_object_mut()
}

fn join_object(fields: &mut Map<String, Value>, name: &str, part: &Map<String, Value>) {
    let Some(whole) = object(fields, name) else {
        return;
    };
    for (name, value) in part {
        join(whole, name, value);
    }
}

/// Adds a text to the text before it; any other value replaces the one before it.
fn join(fields: &mut Map<String, Value>, name: &str, value: &Value) {
    match (fields.get_mut(name), value) {
        (Some(Value::String(whole)), Value::String(part)) => whole.push_str(part),
        _ => put(fields, name, value),
    }
}

/// The last value counts, but for a null after another one.
fn put(fields: &mut Map<String, Value>, name: &str, value: &Value) {
    if !value.is_null() || !fields.contains_key(name) {
        fields.insert(name.to_owned(), value.clone());
    }
}
