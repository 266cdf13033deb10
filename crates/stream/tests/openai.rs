//! OpenAI-style bodies: fields checked and named, cost bounded, parts put together.

use swiftlink_stream::{
    AnswerBuilder, FinishedAnswer, StreamEvent, Usage, bound_tokens, parse_event, parse_request,
};

fn field(body: &str, chat: bool) -> String {
    let error = parse_request(body.as_bytes(), chat).expect_err("a bad body");
    error.field
}

#[test]
fn fault_names_its_field() {
    assert_eq!(field("{", true), "body");
    assert_eq!(field("[]", true), "body");
    assert_eq!(field(r#"{"messages":[]}"#, true), "model");
    assert_eq!(field(r#"{"model":7}"#, true), "model");
    assert_eq!(field(r#"{"model":"m"}"#, true), "messages");
    assert_eq!(field(r#"{"model":"m","messages":[]}"#, true), "messages");
    assert_eq!(
        field(r#"{"model":"m","messages":[{}]}"#, true),
        "messages[0].role"
    );
    assert_eq!(field(r#"{"model":"m"}"#, false), "prompt");
    assert_eq!(
        field(r#"{"model":"m","prompt":["a","b"]}"#, false),
        "prompt"
    );
    assert_eq!(
        field(r#"{"model":"m","prompt":"a","stream":1}"#, false),
        "stream"
    );
    assert_eq!(
        field(r#"{"model":"m","prompt":"a","max_tokens":0}"#, false),
        "max_tokens"
    );
    assert_eq!(field(r#"{"model":"m","prompt":"a","n":2}"#, false), "n");
}

#[test]
fn content_that_cannot_be_bounded_is_refused() {
    let body = r#"{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"#;
    assert_eq!(field(body, true), "messages[0].content");
    let text =
        r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}"#;
    assert!(parse_request(text.as_bytes(), true).is_ok());
}

#[test]
fn bound_covers_prompt_tools_and_answer() {
    let body = br#"{"model":"m","prompt":"0123456789","max_tokens":50}"#;
    let request = parse_request(body, false).expect("a good body");
    let bound = bound_tokens(&request, 1_024, 1);
    assert_eq!(bound.answer, 50);
    assert!(bound.prompt >= 10);
    assert_eq!(bound_tokens(&request, 20, 1).answer, 20);
    let tools = br#"{"model":"m","prompt":"0123456789","tools":["0123456789"]}"#;
    let wide = parse_request(tools, false).expect("a good body");
    let wide = bound_tokens(&wide, 1_024, 1);
    assert_eq!(wide.answer, 1_024);
    assert!(wide.prompt >= 20);
    assert!(bound_tokens(&request, 1_024, 4).prompt < bound.prompt);
}

#[test]
fn engine_body_keeps_the_callers_fields() {
    let body = br#"{"model":"m","prompt":"a","temperature":0.5,"max_completion_tokens":9}"#;
    let request = parse_request(body, false).expect("a good body");
    assert_eq!(request.max_tokens, Some(9));
    let sent: serde_json::Value =
        serde_json::from_slice(&request.for_engine(9)).expect("valid JSON");
    let expected = serde_json::json!({
        "model": "m", "prompt": "a", "temperature": 0.5, "max_tokens": 9, "stream": true,
    });
    assert_eq!(sent, expected);
}

#[test]
fn parts_make_the_whole() {
    let events = [
        r#"{"id":"a","object":"o","choices":[{"index":0,"delta":{"role":"assistant","content":"Se"}}]}"#,
        r#"{"id":"a","object":"o","choices":[{"index":0,"delta":{"content":"ven"}}]}"#,
        r#"{"id":"a","object":"o","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#,
    ];
    let mut whole = AnswerBuilder::default();
    for event in events {
        let StreamEvent::Part(part) = parse_event(event.as_bytes()).expect("an event") else {
            panic!("no end mark yet");
        };
        whole.add(&part);
    }
    assert_eq!(parse_event(b" [DONE]\n"), Ok(StreamEvent::End));
    let usage = Usage {
        prompt_tokens: 3,
        completion_tokens: 2,
        total_tokens: 5,
    };
    let ended = FinishedAnswer {
        text: Some("Seven".to_owned()),
        finish: Some("stop".to_owned()),
        usage,
        ..FinishedAnswer::default()
    };
    assert_eq!(whole.finish(), Some(ended));
    assert_eq!(AnswerBuilder::default().finish(), None);
}
