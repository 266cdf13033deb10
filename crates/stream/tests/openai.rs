//! OpenAI-style bodies: errors name the invalid field, costs are bounded, and parts build the
//! complete answer.

use swiftlink_stream::{
    AnswerBuilder, FinishedAnswer, StreamEvent, Usage, bound_tokens, parse_event, parse_request,
};

fn invalid_field(body: &str, chat: bool) -> String {
    let error = parse_request(body.as_bytes(), chat).expect_err("an invalid body");
    error.field
}

#[test]
fn errors_name_the_invalid_field() {
    assert_eq!(invalid_field("{", true), "body");
    assert_eq!(invalid_field("[]", true), "body");
    assert_eq!(invalid_field(r#"{"messages":[]}"#, true), "model");
    assert_eq!(invalid_field(r#"{"model":7}"#, true), "model");
    assert_eq!(invalid_field(r#"{"model":"m"}"#, true), "messages");
    assert_eq!(
        invalid_field(r#"{"model":"m","messages":[]}"#, true),
        "messages"
    );
    assert_eq!(
        invalid_field(r#"{"model":"m","messages":[{}]}"#, true),
        "messages[0].role"
    );
    assert_eq!(invalid_field(r#"{"model":"m"}"#, false), "prompt");
    assert_eq!(
        invalid_field(r#"{"model":"m","prompt":["a","b"]}"#, false),
        "prompt"
    );
    assert_eq!(
        invalid_field(r#"{"model":"m","prompt":"a","stream":1}"#, false),
        "stream"
    );
    assert_eq!(
        invalid_field(r#"{"model":"m","prompt":"a","max_tokens":0}"#, false),
        "max_tokens"
    );
    assert_eq!(
        invalid_field(r#"{"model":"m","prompt":"a","n":2}"#, false),
        "n"
    );
}

#[test]
fn content_without_a_token_bound_is_rejected() {
    let body = r#"{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"#;
    assert_eq!(invalid_field(body, true), "messages[0].content");
    let text =
        r#"{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}"#;
    assert!(parse_request(text.as_bytes(), true).is_ok());
}

#[test]
fn bound_covers_prompt_tools_and_answer() {
    let body = br#"{"model":"m","prompt":"0123456789","max_tokens":50}"#;
    let request = parse_request(body, false).expect("a valid body");
    let bound = bound_tokens(&request, 1_024, 1);
    assert_eq!(bound.answer, 50);
    assert!(bound.prompt >= 10);
    assert_eq!(bound_tokens(&request, 20, 1).answer, 20);
    let tools = br#"{"model":"m","prompt":"0123456789","tools":["0123456789"]}"#;
    let wide = parse_request(tools, false).expect("a valid body");
    let wide = bound_tokens(&wide, 1_024, 1);
    assert_eq!(wide.answer, 1_024);
    assert!(wide.prompt >= 20);
    assert!(bound_tokens(&request, 1_024, 4).prompt < bound.prompt);
}

#[test]
fn engine_body_keeps_all_fields_of_the_caller() {
    let body = br#"{"model":"m","prompt":"a","temperature":0.5,"max_completion_tokens":9}"#;
    let request = parse_request(body, false).expect("a valid body");
    assert_eq!(request.max_tokens, Some(9));
    let sent: serde_json::Value =
        serde_json::from_slice(&request.for_engine(9)).expect("valid JSON");
    let expected = serde_json::json!({
        "model": "m", "prompt": "a", "temperature": 0.5, "max_tokens": 9, "stream": true,
    });
    assert_eq!(sent, expected);
}

/// White space between values isn't part of the prompt, and strings are as they are.
#[test]
fn bound_counts_no_white_space_between_values() {
    let wide = "{ \"model\" : \"m\",\n \"prompt\" : \"a \\\" b\" }";
    let narrow = "{\"model\":\"m\",\"prompt\":\"a \\\" b\"}";
    let request = parse_request(wide.as_bytes(), false).expect("a valid body");
    assert_eq!(request.bytes, narrow.len());
}

/// Guards against bodies that take many times their size, or exhaust the stack of an engine.
#[test]
fn bodies_of_many_fields_or_levels_are_rejected() {
    let fields: Vec<String> = (0..300).map(|number| format!("\"{number}\":1")).collect();
    let body = format!("{{\"model\":\"m\",\"prompt\":\"a\",{}}}", fields.join(","));
    assert_eq!(invalid_field(&body, false), "body");
    let nested = format!("{}{}", "[".repeat(200), "]".repeat(200));
    let body = format!("{{\"model\":\"m\",\"prompt\":\"a\",\"tools\":{nested}}}");
    assert_eq!(invalid_field(&body, false), "body");
}

#[test]
fn messages_of_any_form_are_checked() {
    let chat = |messages: &str| format!(r#"{{"model":"m","messages":{messages}}}"#);
    for (messages, field) in [
        ("7", "messages"),
        ("[7]", "messages[0].role"),
        (r#"[{"role":"user"},{"role":null}]"#, "messages[1].role"),
        (r#"[{"role":"user","content":{}}]"#, "messages[0].content"),
        (r#"[{"role":"user","content":[7]}]"#, "messages[0].content"),
        (r#"[{"role":"user","content":[{}]}]"#, "messages[0].content"),
    ] {
        assert_eq!(invalid_field(&chat(messages), true), field, "{messages}");
    }
    for messages in [
        r#"[{"role":"user","content":null}]"#,
        r#"[ {"role":"user"} , {"content":"a","role":"b","more":[1]} ]"#,
        r#"[{"role":"user","content":[ {"text":"a","type":"text"} ]}]"#,
    ] {
        assert!(parse_request(chat(messages).as_bytes(), true).is_ok());
    }
}

#[test]
fn parts_build_the_complete_answer() {
    let events = [
        r#"{"id":"a","object":"o","choices":[{"index":0,"delta":{"role":"assistant","content":"Se"}}]}"#,
        r#"{"id":"a","object":"o","choices":[{"index":0,"delta":{"content":"ven"}}]}"#,
        r#"{"id":"a","object":"o","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}}"#,
    ];
    let mut builder = AnswerBuilder::default();
    for event in events {
        let StreamEvent::Part(part) = parse_event(event.as_bytes()).expect("an event") else {
            panic!("no end mark yet");
        };
        builder.add(&part);
    }
    assert_eq!(parse_event(b" [DONE]\n"), Ok(StreamEvent::End));
    let usage = Usage {
        prompt_tokens: 3,
        completion_tokens: 2,
        total_tokens: 5,
    };
    let answer = FinishedAnswer {
        text: Some("Seven".to_owned()),
        finish: Some("stop".to_owned()),
        usage,
        ..FinishedAnswer::default()
    };
    assert_eq!(builder.finish(), Some(answer));
    assert_eq!(AnswerBuilder::default().finish(), None);
}
