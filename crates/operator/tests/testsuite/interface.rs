//! Authentication, malformed requests, status and dumps.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use serde_json::{Value, json};
use swiftlink_client::ClientError;
use swiftlink_client::http::{Answer, Call, Http};
use swiftlink_log::{Fault, MemLog};

use crate::rig::{Rig, TOKEN, class, client, config, put, request};

const LIMIT: Duration = Duration::from_secs(20);

async fn call(rig: &Rig, method: Method, path: &str, token: Option<&str>, body: &str) -> Answer {
    let call = Call {
        method,
        token,
        body: Bytes::from(body.to_owned()),
        ..Call::get(rig.operator.address(), path)
    };
    Http::open("test")
        .fetch(&call, LIMIT)
        .await
        .expect("answered")
}

fn body(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).expect("JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_valid_token_are_refused() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let apply = r#"{"changes":[{"kind":"class","name":"a","spec":{}}]}"#;
    for token in [
        None,
        Some(""),
        Some("wrong"),
        Some("token-of-the-operatorS"),
    ] {
        for (method, path) in [
            (Method::GET, "/v1/resources/class"),
            (Method::GET, "/v1/status"),
            (Method::GET, "/v1/watch"),
            (Method::POST, "/v1/apply"),
            (Method::GET, "/nowhere"),
        ] {
            let answer = call(&rig, method, path, token, apply).await;
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{path} {token:?}");
        }
    }
    assert_eq!(log.end(&config()), 0);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_name_the_field() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let cases = [
        ("", "body"),
        ("[", "body"),
        ("{}", "changes"),
        (r#"{"changes":[]}"#, "changes"),
        (r#"{"changes":[{"kind":"class"}]}"#, "changes[0].name"),
        (
            r#"{"changes":[{"kind":"glass","name":"a","spec":{}}]}"#,
            "changes[0].kind",
        ),
        (
            r#"{"changes":[{"kind":"class","name":"a"}]}"#,
            "changes[0].spec",
        ),
        (
            r#"{"changes":[{"kind":"class","name":"a","base":-1}]}"#,
            "changes[0].base",
        ),
        (r#"{"changes":[],"more":1}"#, "more"),
        (
            r#"{"changes":[{"kind":"class","name":"a","spec":{}}]} x"#,
            "body",
        ),
    ];
    for (text, field) in cases {
        let answer = call(&rig, Method::POST, "/v1/apply", Some(TOKEN), text).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{text}");
        assert_eq!(body(&answer)["field"], field, "{text}");
    }
    let long = format!(r#"{{"author":"{}"}}"#, "a".repeat(5 << 20));
    let answer = call(&rig, Method::POST, "/v1/apply", Some(TOKEN), &long).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    for (method, path, status) in [
        (Method::GET, "/v1/resources/glass", StatusCode::NOT_FOUND),
        (Method::GET, "/v1/watch?from=x", StatusCode::BAD_REQUEST),
        (Method::GET, "/v1/watch?kind=glass", StatusCode::BAD_REQUEST),
        (Method::GET, "/v1/nowhere", StatusCode::NOT_FOUND),
        (Method::DELETE, "/v1/status", StatusCode::METHOD_NOT_ALLOWED),
        (
            Method::GET,
            "/v1/processes/none/dump",
            StatusCode::NOT_FOUND,
        ),
        (Method::GET, "/v1/budgets/any", StatusCode::BAD_GATEWAY),
    ] {
        let answer = call(&rig, method, path, Some(TOKEN), "").await;
        assert_eq!(answer.status, status, "{path}");
    }
    assert_eq!(log.end(&config()), 0);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_shown_or_applied_before_the_configuration_is_known() {
    let log = Arc::new(MemLog::new());
    log.set_fault(Fault::Outage);
    let rig = Rig::spawn(&log, &json!({}));
    let answer = call(&rig, Method::GET, "/v1/resources/class", Some(TOKEN), "").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let apply = r#"{"changes":[{"kind":"class","name":"a","spec":{}}]}"#;
    let answer = call(&rig, Method::POST, "/v1/apply", Some(TOKEN), apply).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(body(&answer)["applied"], "no");
    log.set_fault(Fault::None);
    rig.ready().await;
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn status_shows_reachable_and_unreachable_processes() {
    let log = Arc::new(MemLog::new());
    let seen = Rig::start(&log, &json!({})).await;
    let gone = Rig::start(&log, &json!({})).await;
    let processes = json!([
        { "name": "seen", "role": "operator", "admin": seen.operator.admin() },
        { "name": "gone", "role": "operator", "admin": gone.operator.admin() },
    ]);
    gone.operator.stop().await;
    let rig = Rig::start(&log, &json!({ "processes": processes })).await;
    let applied = rig
        .apply(vec![class("urgent", None, 4)])
        .await
        .expect("accepted");
    let status = loop {
        let status = rig.client.status().await.expect("answered");
        if status.processes[0].current == Some(true) {
            break status;
        }
    };
    assert_eq!(status.newest, applied.version);
    assert_eq!(status.processes[0].version, Some(applied.version));
    assert!(status.processes[0].reachable);
    assert!(!status.processes[1].reachable);
    assert!(status.processes[1].error.is_some());

    let dump = rig.client.dump("seen").await.expect("dumped");
    assert_eq!(dump["resources"], 1);
    let text = dump.to_string();
    for secret in [TOKEN, crate::rig::SECRET] {
        assert!(!text.contains(secret), "the dump contains a secret");
    }
    rig.client
        .set_log_level("seen", "debug")
        .await
        .expect("changed");
    assert!(rig.client.set_log_level("seen", "loud").await.is_err());
    let level = rig.client.read_log_level("seen").await.expect("read");
    assert_eq!(level, "debug");
    rig.operator.stop().await;
    seen.operator.stop().await;
}

/// Random invalid bodies and queries are refused with status 400, and nothing is applied.
#[tokio::test(flavor = "multi_thread")]
async fn arbitrary_input_is_refused() {
    const INPUTS: usize = 1_000;
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let mut runner = TestRunner::deterministic();
    let body =
        "(\\{\"changes\":\\[\\{\"kind\":\"(class|key)\",\"name\":)?[\\[\\]{}:,\"a-z0-9.-]{0,40}";
    let bodies = body.prop_map(|text| format!("{text}\u{1}"));
    let queries = "[a-z0-9%&=+]{0,30}".prop_map(|text| format!("/v1/watch?from=x&{text}"));
    for _input in 0..INPUTS {
        let text = bodies.new_tree(&mut runner).expect("generated").current();
        let answer = call(&rig, Method::POST, "/v1/apply", Some(TOKEN), &text).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{text:?}");
        assert!(body_names_field(&answer), "{text:?}");
        let path = queries.new_tree(&mut runner).expect("generated").current();
        let answer = call(&rig, Method::GET, &path, Some(TOKEN), "").await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{path}");
    }
    assert_eq!(log.end(&config()), 0);
    rig.operator.stop().await;
}

fn body_names_field(answer: &Answer) -> bool {
    body(answer)["field"]
        .as_str()
        .is_some_and(|field| !field.is_empty())
}

/// A client that is given the admin address instead of the listen address gets a specific error,
/// and nothing is applied.
#[tokio::test(flavor = "multi_thread")]
async fn an_admin_address_is_detected() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let admin = client(&[rig.operator.admin()]);
    let error = admin.status().await.expect_err("no operator there");
    assert!(matches!(error, ClientError::NotOperator(_)), "{error:?}");
    let next = error.next_step().expect("a next step");
    assert!(next.contains("--operator"), "{next}");
    let change = request(vec![class("urgent", None, 2)]);
    let error = admin.apply(&change, "id-1", false).await;
    assert!(
        matches!(error, Err(ClientError::NotOperator(_))),
        "{error:?}"
    );
    assert_eq!(log.end(&config()), 0);
    rig.operator.stop().await;
}

/// If the response to a change is lost, its repetition looks like a conflict with somebody else's
/// change. A comparison with the current resources tells the two apart.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_change_is_distinguished_from_a_conflict() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let change = vec![class("urgent", Some(0), 2)];
    let first = rig.apply(change.clone()).await.expect("accepted");
    let again = rig.apply(change.clone()).await;
    assert!(
        matches!(&again, Err(ClientError::Refused(problem)) if problem.is_conflict()),
        "{again:?}"
    );
    let found = rig.client.already_applied(&request(change)).await;
    let found = found.expect("answered").expect("already applied");
    assert_eq!(found.version, first.version);
    let other = request(vec![class("urgent", Some(0), 3)]);
    assert_eq!(
        rig.client.already_applied(&other).await.expect("answered"),
        None
    );
    let absent = request(vec![class("patient", Some(0), 2)]);
    assert_eq!(
        rig.client.already_applied(&absent).await.expect("answered"),
        None
    );
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_top_up_is_refused_with_a_next_step() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({ "topup_ms": 1 })).await;
    let top_up = |amount: u64| {
        let spec = json!({ "budget": "registry", "amount": amount });
        vec![
            put("budget", "registry", None, json!({})),
            put("topup", "registry-01", None, spec),
        ]
    };
    rig.apply(top_up(100)).await.expect("accepted");
    let error = rig
        .apply(top_up(200))
        .await
        .expect_err("top-ups are immutable");
    let next = error.next_step().expect("a next step");
    assert!(next.contains("new name"), "{next}");
    rig.operator.stop().await;
}
