//! Encoding of answers, and forwarding of headers.

use http::{HeaderMap, HeaderValue};
use serde_json::{Value, json};
use swiftlink_router::answer::{CompleteAnswer, Receipt, body, event, tokens_run, with_receipt};
use swiftlink_router::forward::{end_to_end, for_server};
use swiftlink_stream::{AnswerBuilder, StreamEvent, Usage, parse_event, parse_event_id};
use swiftlink_types::RequestKey;

#[test]
fn an_event_carries_the_token_and_the_number() {
    let bytes = event("abc", 7, "{\"a\":1}");
    assert_eq!(&bytes[..], b"id: abc.7\ndata: {\"a\":1}\n\n");
    assert_eq!(parse_event_id("abc.7"), Some(("abc", 7)));
}

#[test]
fn data_of_several_lines_stays_one_event() {
    let bytes = event("abc", 0, "one\ntwo");
    assert_eq!(&bytes[..], b"id: abc.0\ndata: one\ndata: two\n\n");
}

#[test]
fn the_receipt_is_added_to_the_last_chunk_and_changes_nothing_else() {
    let key = RequestKey::generate(1_700_000_000_000);
    let receipt = Receipt { key, charged: 12 };
    let data = r#"{"choices":[],"usage":{"total_tokens":12},"extra":[1,2]}"#;
    let value: Value = serde_json::from_str(&with_receipt(data, receipt)).expect("JSON");
    assert_eq!(value["swiftlink"]["charged"], 12);
    assert_eq!(value["swiftlink"]["outcome"], "ran");
    assert_eq!(value["swiftlink"]["key"], key.to_string());
    assert_eq!(value["extra"], serde_json::json!([1, 2]));
    assert_eq!(value["usage"]["total_tokens"], 12);
}

#[test]
fn a_complete_chat_answer_has_its_tool_calls() {
    let events = [
        json!({ "choices": [{ "delta": { "tool_calls": [
            { "index": 0, "id": "a", "type": "function",
              "function": { "name": "deed", "arguments": "{\"lot\":" } },
        ]}}]}),
        json!({ "choices": [{ "delta": { "tool_calls": [
            { "index": 0, "function": { "arguments": "12}" } },
        ]}, "finish_reason": "tool_calls" }], "usage": { "total_tokens": 5 } }),
    ];
    let mut parts = AnswerBuilder::default();
    for event in events {
        let Ok(StreamEvent::Part(part)) = parse_event(event.to_string().as_bytes()) else {
            panic!("no part: {event}");
        };
        parts.add(&part);
    }
    let answer = CompleteAnswer {
        id: "a".to_owned(),
        model: "m".to_owned(),
        created: 1_700_000_000_000,
        chat: true,
        finished: parts.finish().expect("the usage was reported"),
    };
    let key = RequestKey::generate(1_700_000_000_000);
    let body: Value =
        serde_json::from_slice(&body(&answer, Receipt { key, charged: 5 })).expect("JSON");
    let message = &body["choices"][0]["message"];
    assert_eq!(message["role"], "assistant");
    assert_eq!(message["content"], Value::Null);
    let call = &message["tool_calls"][0];
    assert_eq!(
        call["function"],
        json!({ "name": "deed", "arguments": "{\"lot\":12}" })
    );
    assert_eq!(body["choices"][0]["finish_reason"], "tool_calls");
}

#[test]
fn the_larger_of_total_and_sum_counts_as_run() {
    let usage = Usage {
        prompt_tokens: 5,
        completion_tokens: 7,
        total_tokens: 0,
    };
    assert_eq!(tokens_run(usage), 12);
    let usage = Usage {
        total_tokens: 15,
        ..usage
    };
    assert_eq!(tokens_run(usage), 15);
}

#[test]
fn hop_by_hop_headers_and_credentials_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("authorization", "Bearer secret"),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("swiftlink-run", "once"),
        ("accept", "image/png"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let kept = end_to_end(&headers);
    assert!(!kept.contains_key("connection") && !kept.contains_key("x-hop"));
    assert!(!kept.contains_key("transfer-encoding"));
    assert!(kept.contains_key("authorization"), "a peer router needs it");
    let kept = for_server(&headers);
    assert!(!kept.contains_key("authorization") && !kept.contains_key("swiftlink-run"));
    assert_eq!(kept["accept"], "image/png");
}
