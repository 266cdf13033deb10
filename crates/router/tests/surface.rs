//! Paths and headers of the HTTP API for callers.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use proptest::prelude::*;
use swiftlink_router::surface::{Route, bearer, options, route};
use swiftlink_types::{ClassName, Outcome, RefusalKind, RequestKey};

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, HeaderValue::from_str(value).expect("a header value"));
    }
    headers
}

#[test]
fn known_paths_are_routed() {
    let cases = [
        (Method::POST, "/v1/chat/completions", Route::Chat),
        (Method::POST, "/v1/completions", Route::Completion),
        (Method::GET, "/v1/streams", Route::Stream),
    ];
    for (method, path, expected) in cases {
        assert_eq!(route(&method, path, None), Ok(expected));
    }
}

#[test]
fn a_service_call_keeps_its_path_and_query() {
    let found = route(&Method::PUT, "/services/viewer/tiles/7", Some("z=3"));
    let expected = Route::Service {
        pool: "viewer".to_owned(),
        target: "/tiles/7?z=3".to_owned(),
    };
    assert_eq!(found, Ok(expected));
    let bare = route(&Method::GET, "/services/viewer", None);
    let expected = Route::Service {
        pool: "viewer".to_owned(),
        target: "/".to_owned(),
    };
    assert_eq!(bare, Ok(expected));
}

#[test]
fn other_paths_are_not_found_and_did_not_run() {
    for (method, path) in [
        (Method::GET, "/v1/chat/completions"),
        (Method::POST, "/v1/embeddings"),
        (Method::GET, "/"),
    ] {
        let refusal = route(&method, path, None).expect_err("nothing is there");
        assert_eq!(refusal.kind, RefusalKind::UnknownPool);
        assert_eq!(refusal.outcome, Outcome::NotRun);
    }
}

#[test]
fn known_headers_are_read() {
    let key = RequestKey::generate(1_700_000_000_000);
    let text = key.to_string();
    let found = options(&headers(&[
        ("idempotency-key", &text),
        ("x-priority", "urgent"),
        ("swiftlink-run", "once"),
        ("swiftlink-deadline-ms", "250"),
        ("last-event-id", "token.4"),
        ("swiftlink-relay", "1"),
    ]))
    .expect("well formed");
    assert_eq!(found.key, Some(key));
    assert_eq!(found.class, Some(ClassName::from("urgent")));
    assert!(found.once && found.relayed);
    assert_eq!(found.deadline, Some(Duration::from_millis(250)));
    assert_eq!(found.last_event.as_deref(), Some("token.4"));
}

#[test]
fn a_malformed_header_is_named() {
    let cases = [
        ("idempotency-key", "7"),
        // A version 4 UUID carries no timestamp.
        ("idempotency-key", "8c5b9a52-6f5e-4c3b-9d5e-0f8a3f0f7c11"),
        ("swiftlink-run", "twice"),
        ("swiftlink-deadline-ms", "0"),
        ("swiftlink-deadline-ms", "soon"),
    ];
    for (name, value) in cases {
        let refusal = options(&headers(&[(name, value)])).expect_err("malformed");
        assert_eq!(refusal.kind, RefusalKind::Malformed, "{name}: {value}");
        assert_eq!(refusal.field.as_deref(), Some(name));
        assert_eq!(refusal.outcome, Outcome::NotRun);
    }
}

#[test]
fn a_known_header_must_not_be_repeated() {
    let twice = headers(&[("swiftlink-run", "once"), ("swiftlink-run", "idempotent")]);
    let refusal = options(&twice).expect_err("twice");
    assert_eq!(refusal.field.as_deref(), Some("swiftlink-run"));
}

#[test]
fn the_bearer_scheme_is_case_insensitive() {
    for value in ["Bearer s3cret", "bearer s3cret", "BEARER  s3cret"] {
        assert_eq!(bearer(&headers(&[("authorization", value)])), Ok("s3cret"));
    }
    for pairs in [
        &[][..],
        &[("authorization", "Basic abc")],
        &[("authorization", "s3cret")],
    ] {
        let refusal = bearer(&headers(pairs)).expect_err("no bearer");
        assert_eq!(refusal.kind, RefusalKind::Unauthenticated);
    }
}

proptest! {
    #[test]
    fn no_path_makes_the_router_panic(path in "/[ -~]{0,40}", query in proptest::option::of("[ -~]{0,20}")) {
        let _route = route(&Method::POST, &path, query.as_deref());
    }

    #[test]
    fn no_header_value_makes_the_router_panic(value in "[ -~]{0,40}") {
        for name in ["idempotency-key", "x-priority", "swiftlink-run", "swiftlink-deadline-ms"] {
            let _options = options(&headers(&[(name, value.as_str())]));
        }
    }
}
