//! The answer built from a stream has the same fields however the engine splits them into parts.

use proptest::prelude::*;
use serde_json::{Map, Value, json};
use swiftlink_stream::{AnswerBuilder, FinishedAnswer, StreamEvent, Usage, parse_event};

const USAGE: Usage = Usage {
    prompt_tokens: 3,
    completion_tokens: 2,
    total_tokens: 5,
};

/// Builds the answer from the parts of a chat stream with these deltas.
fn build(deltas: &[Value]) -> FinishedAnswer {
    let mut builder = AnswerBuilder::default();
    for delta in deltas {
        builder.add(&part(
            &json!({ "index": 0, "delta": delta, "finish_reason": null }),
        ));
    }
    let last = json!({ "index": 0, "delta": {}, "finish_reason": "tool_calls" });
    builder.add(&part(&last));
    builder.finish().expect("usage was reported")
}

fn part(choice: &Value) -> swiftlink_stream::Completion {
    let event = json!({ "id": "a", "object": "o", "choices": [choice], "usage": USAGE });
    match parse_event(event.to_string().as_bytes()) {
        Ok(StreamEvent::Part(part)) => part,
        other => panic!("not a part: {other:?}"),
    }
}

/// Id, function name and arguments of a tool call.
fn call() -> impl Strategy<Value = (String, String, String)> {
    ("[a-z0-9]{1,8}", "[a-z_]{1,10}", "[ -~éß]{0,40}")
}

/// Splits `text` at the character positions chosen by `cuts`.
fn pieces(text: &str, cuts: &[usize]) -> Vec<String> {
    let chars: Vec<char> = text.chars().collect();
    let mut at: Vec<usize> = cuts.iter().map(|cut| cut % (chars.len() + 1)).collect();
    at.extend([0, chars.len()]);
    at.sort_unstable();
    let ends = at.windows(2);
    ends.map(|ends| chars[ends[0]..ends[1]].iter().collect())
        .collect()
}

/// The deltas of a tool call: id, type and name first, then the pieces of the arguments.
fn call_deltas(index: usize, call: &(String, String, String), cuts: &[usize]) -> Vec<Value> {
    let (id, name, arguments) = call;
    let head = json!({
        "index": index, "id": id, "type": "function",
        "function": { "name": name, "arguments": "" },
    });
    let mut deltas = vec![json!({ "tool_calls": [head] })];
    for piece in pieces(arguments, cuts) {
        let more = json!({ "index": index, "function": { "arguments": piece } });
        deltas.push(json!({ "tool_calls": [more] }));
    }
    deltas
}

/// Interleaves the lists as `draws` choose; the order within each list stays.
fn interleave(mut lists: Vec<Vec<Value>>, draws: &[usize]) -> Vec<Value> {
    let mut merged = Vec::new();
    let mut draws = draws.iter().cycle();
    for list in &mut lists {
        list.reverse();
    }
    lists.retain(|list| !list.is_empty());
    while !lists.is_empty() {
        let at = draws.next().expect("cycle never ends") % lists.len();
        merged.extend(lists[at].pop());
        lists.retain(|list| !list.is_empty());
    }
    merged
}

proptest! {
    #[test]
    fn pieces_of_any_size_build_the_answer(
        text in "[ -~äλ]{0,40}",
        refusal in "[ -~]{0,20}",
        thought in "[ -~]{0,20}",
        calls in prop::collection::vec(call(), 0..4),
        cuts in prop::collection::vec(any::<usize>(), 0..6),
        draws in prop::collection::vec(any::<usize>(), 1..20),
    ) {
        let field = |name: &str, text: &str| -> Vec<Value> {
            pieces(text, &cuts).into_iter().map(|piece| json!({ name: piece })).collect()
        };
        let mut lists = vec![
            field("content", &text),
            field("refusal", &refusal),
            field("reasoning_content", &thought),
        ];
        for (index, call) in calls.iter().enumerate() {
            lists.push(call_deltas(index, call, &cuts));
        }
        let answer = build(&interleave(lists, &draws));
        let mut message = Map::new();
        message.insert("refusal".to_owned(), json!(refusal));
        message.insert("reasoning_content".to_owned(), json!(thought));
        if !calls.is_empty() {
            let list: Vec<_> = calls.iter().map(|(id, name, arguments)| json!({
                "id": id, "type": "function",
                "function": { "name": name, "arguments": arguments },
            })).collect();
            message.insert("tool_calls".to_owned(), json!(list));
        }
        let expected = FinishedAnswer {
            text: Some(text),
            finish: Some("tool_calls".to_owned()),
            usage: USAGE,
            message,
            choice: Map::new(),
        };
        prop_assert_eq!(answer, expected);
    }
}

#[test]
fn parallel_tool_calls_are_kept_separate() {
    let answer = build(&[
        json!({ "role": "assistant", "content": null, "tool_calls": [
            { "index": 1, "id": "b", "function": { "name": "deed", "arguments": "{" } },
            { "index": 0, "id": "a", "function": { "name": "map", "arguments": "[" } },
        ]}),
        json!({ "tool_calls": [
            { "index": 0, "id": "", "function": { "arguments": "]" } },
            { "index": 1, "id": null, "function": { "arguments": "}" } },
        ]}),
    ]);
    assert_eq!(answer.text, None, "no part had a text");
    let calls = json!([
        { "id": "a", "function": { "name": "map", "arguments": "[]" } },
        { "id": "b", "function": { "name": "deed", "arguments": "{}" } },
    ]);
    assert_eq!(answer.message["tool_calls"], calls);
}

#[test]
fn log_probabilities_are_concatenated() {
    let mut builder = AnswerBuilder::default();
    for token in ["Se", "ven"] {
        let logprobs = json!({ "content": [{ "token": token, "logprob": -0.5 }], "refusal": null });
        builder.add(&part(&json!({
            "index": 0, "delta": { "content": token }, "logprobs": logprobs, "stop_reason": token,
        })));
    }
    let answer = builder.finish().expect("usage was reported");
    assert_eq!(answer.text.as_deref(), Some("Seven"));
    let content = json!([
        { "token": "Se", "logprob": -0.5 },
        { "token": "ven", "logprob": -0.5 },
    ]);
    assert_eq!(answer.choice["logprobs"]["content"], content);
    assert_eq!(
        answer.choice["stop_reason"], "ven",
        "the last value replaces the earlier one"
    );
}

#[test]
fn last_value_of_other_fields_is_kept() {
    let answer = build(&[
        json!({ "annotations": [1], "function_call": { "name": "map", "arguments": "[" } }),
        json!({ "annotations": [1, 2], "function_call": { "arguments": "]" } }),
        json!({ "annotations": null }),
    ]);
    assert_eq!(answer.message["annotations"], json!([1, 2]));
    let call = json!({ "name": "map", "arguments": "[]" });
    assert_eq!(answer.message["function_call"], call);
}
