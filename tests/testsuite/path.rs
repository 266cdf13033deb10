//! The request path: a request from the caller to a backend server and back, its charge
//! on the log, and every refusal of invalid input.

use http::Method;
use serde_json::{Value, json};
use swiftlink_standins::{engine, service};
use swiftlink_testkit::caller::{Answer, Caller, ChatRequest, set};
use swiftlink_testkit::checker::Accounts;
use swiftlink_testkit::fleet::{CALL_TOKENS, Fleet, MODEL, SERVICE, Tenant, change};
use swiftlink_testkit::recorder::{Recorder, RequestInfo};

use crate::support::{check_all, expected, new_key, plan, send, tokens};

/// Budget above the cost of all requests of a test (tokens).
const AMPLE_BUDGET: u64 = 40_000_000;
const CHAT: &str = "/v1/chat/completions";

fn ask(prompt: &str) -> ChatRequest {
    ChatRequest::new(MODEL, prompt).with_key(&new_key())
}

async fn fleet() -> Fleet {
    plan().start().await.expect("the fleet starts")
}

/// Sum of all charges of the first tenant's budget on the log.
fn charged(history: &swiftlink_testkit::checker::History) -> u64 {
    let accounts = Accounts::fold(&history.streams);
    accounts.budgets["lannec"].charged
}

#[tokio::test(flavor = "multi_thread")]
async fn a_complete_answer_is_charged_once() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let ask = ask("who owned parcel 1204 before 1950? tokens=12");
    let answer = send(&fleet, &recorder, 0, 0, &ask).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text, expected(&ask));
    assert_eq!(answer.outcome.as_deref(), Some("ran"));
    assert_eq!(answer.key, ask.key);
    assert_eq!(answer.charged, Some(tokens(&ask)));
    let body = answer.json();
    assert_eq!(body["usage"]["completion_tokens"], 12);
    assert_eq!(body["swiftlink"]["charged"], tokens(&ask));
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), tokens(&ask));
    assert_eq!(history.runs.len(), 1);
    assert_eq!(history.runs[0].executions, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_charged_once() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let ask = ask("the history of the mill tokens=40").streamed();
    let answer = send(&fleet, &recorder, 0, 1, &ask).await;
    assert!(answer.is_served(), "{answer:?}");
    assert_eq!(answer.text, expected(&ask));
    assert_eq!(answer.charged, Some(tokens(&ask)));
    assert_eq!(answer.outcome.as_deref(), Some("ran"));
    assert_eq!(answer.key, ask.key);
    let (done, events) = answer.events.split_last().expect("events came");
    assert_eq!(done.data, "[DONE]");
    let last: Value = serde_json::from_str(&events[events.len() - 1].data).expect("JSON");
    assert_eq!(last["usage"]["completion_tokens"], 40);
    assert_numbered(&answer);
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), tokens(&ask));
}

/// Checks that the ids of all events end in 0, 1, 2, ... and share one resume token.
fn assert_numbered(answer: &Answer) {
    let mut tokens = Vec::new();
    for (place, event) in answer.events.iter().enumerate() {
        let (token, no) = event.id.rsplit_once('.').expect("a token and a number");
        assert_eq!(no, place.to_string());
        tokens.push(token);
    }
    tokens.dedup();
    assert_eq!(tokens.len(), 1, "one token for the stream");
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_completions_are_served() {
    let fleet = fleet().await;
    let prompt = "a clue for ESTUARY tokens=5";
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 3 });
    let caller = fleet.caller(0);
    let request = caller.request(
        Method::POST,
        fleet.router(2),
        "/v1/completions",
        body.to_string().into(),
    );
    let answer = caller.send(request).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.text, engine::answer(prompt, 3));
    assert_eq!(answer.json()["choices"][0]["finish_reason"], "length");
    let key = answer.key.clone().expect("the router made a key");
    assert_eq!(answer.header("swiftlink-charged"), Some("8"));
    let history = check_all(&fleet, Vec::new()).await;
    assert_eq!(history.runs[0].key, key);
    assert_eq!(charged(&history), 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_calls_are_forwarded_and_charged() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let caller = fleet.caller(0);
    let path = format!("/services/{SERVICE}/tiles/12/7");
    for (router, method) in [Method::GET, Method::POST].into_iter().enumerate() {
        let key = new_key();
        let sent = RequestInfo {
            key: key.clone(),
            workspace: "lannec".to_owned(),
            budget: "lannec".to_owned(),
            price: swiftlink_types::PRICE_UNIT,
            once: method == Method::POST,
            expected: Some(service::echo(method.as_str(), "/tiles/12/7", "{}").to_string()),
        };
        let call = caller.service(fleet.router(router), method, &path, "{}", Some(&key));
        let answer = recorder.record(sent, call).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.outcome.as_deref(), Some("ran"));
        assert_eq!(answer.charged, Some(CALL_TOKENS));
        assert_eq!(answer.key, Some(key));
    }
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), 2 * CALL_TOKENS);
    assert_eq!(history.runs.len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_class_has_its_price() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let mut ask = ask("a deed at signing tokens=9");
    ask.class = Some("urgent".to_owned());
    let answer = send(&fleet, &recorder, 0, 0, &ask).await;
    assert_eq!(answer.charged, Some(2 * tokens(&ask)), "{answer:?}");
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), 2 * tokens(&ask));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_is_billed_once_by_all_routers() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let ask = ask("the same request everywhere tokens=8");
    for router in 0..3 {
        let answer = send(&fleet, &recorder, 0, router, &ask).await;
        assert_ne!(answer.outcome.as_deref(), Some("not-run"), "{answer:?}");
    }
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), tokens(&ask));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_once_request_runs_once_under_its_key() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let ask = ask("check the grid tokens=8").once();
    for router in 0..3 {
        send(&fleet, &recorder, 0, router, &ask).await;
    }
    let calls = recorder.calls();
    let history = check_all(&fleet, calls).await;
    assert_eq!(history.runs.len(), 1);
    assert_eq!(history.runs[0].executions, 1);
    assert_eq!(charged(&history), tokens(&ask));
}

/// Expected fields of a refusal.
struct ExpectedRefusal {
    status: u16,
    slug: &'static str,
    field: Option<&'static str>,
}

fn assert_refused(name: &str, answer: &Answer, refusal: &ExpectedRefusal) {
    assert_eq!(answer.status, refusal.status, "{name}: {answer:?}");
    assert_eq!(answer.slug().as_deref(), Some(refusal.slug), "{name}");
    assert_eq!(answer.outcome.as_deref(), Some("not-run"), "{name}");
    let kind = answer.header("content-type");
    assert_eq!(kind, Some("application/problem+json"), "{name}");
    let problem = answer.json();
    assert_eq!(problem["status"], refusal.status, "{name}");
    assert_eq!(problem["outcome"], "not-run", "{name}");
    if let Some(field) = refusal.field {
        assert_eq!(problem["field"], field, "{name}: {problem}");
    }
    let detail = problem["detail"].as_str().unwrap_or_default();
    assert!(!detail.is_empty(), "{name}: the detail is empty");
}

async fn post(fleet: &Fleet, caller: &Caller, body: &str) -> Answer {
    let body = body.to_owned().into();
    let request = caller.request(Method::POST, fleet.router(0), CHAT, body);
    caller.send(request).await
}

async fn assert_nothing_ran(fleet: &Fleet) {
    let history = fleet
        .history(Vec::new())
        .await
        .expect("the stand-ins answer");
    assert_eq!(history.runs, [], "nothing ran");
    let accounts = Accounts::fold(&history.streams);
    assert!(accounts.charges.is_empty(), "nothing was charged");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_callers_are_refused() {
    let fleet = fleet().await;
    let refusal = ExpectedRefusal {
        status: 401,
        slug: "unauthenticated",
        field: None,
    };
    let stranger = Caller::new("sk-of-nobody");
    let answer = stranger.ask(fleet.router(0), &ask("hello")).await;
    assert_refused("unknown key", &answer, &refusal);
    let caller = fleet.caller(0);
    let mut request = caller.request(Method::POST, fleet.router(0), CHAT, "{}".into());
    request.headers_mut().remove("authorization");
    assert_refused("no key", &caller.send(request).await, &refusal);
    assert_nothing_ran(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_models_pools_and_paths_are_refused() {
    let fleet = fleet().await;
    let caller = fleet.caller(0);
    let refusal = ExpectedRefusal {
        status: 404,
        slug: "unknown-pool",
        field: None,
    };
    let answer = caller
        .ask(fleet.router(0), &ChatRequest::new("no-such-model", "hello"))
        .await;
    assert_refused("model", &answer, &refusal);
    // A pool of services is not a model, and a model is not a pool of services.
    let answer = caller
        .ask(fleet.router(0), &ChatRequest::new(SERVICE, "hello"))
        .await;
    assert_refused("service as model", &answer, &refusal);
    for path in ["/services/none/x", "/services/annals/x", "/v1/nothing"] {
        let call = caller.service(fleet.router(0), Method::GET, path, "", None);
        assert_refused(path, &call.await, &refusal);
    }
    assert_nothing_ran(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_bodies_are_refused_with_the_field() {
    let fleet = fleet().await;
    let caller = fleet.caller(0);
    let cases = [
        ("body", "{ not json"),
        ("body", "[1, 2]"),
        ("model", r#"{"messages":[]}"#),
        ("model", r#"{"model":7,"messages":[]}"#),
        ("messages", r#"{"model":"annals"}"#),
        ("messages", r#"{"model":"annals","messages":"hello"}"#),
        (
            "max_tokens",
            r#"{"model":"annals","messages":[],"max_tokens":-3}"#,
        ),
        (
            "stream",
            r#"{"model":"annals","messages":[],"stream":"yes"}"#,
        ),
    ];
    for (field, body) in cases {
        let answer = post(&fleet, &caller, body).await;
        let refusal = ExpectedRefusal {
            status: 400,
            slug: "malformed",
            field: Some(field),
        };
        assert_refused(body, &answer, &refusal);
    }
    assert_nothing_ran(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_headers_are_refused_by_name() {
    let fleet = fleet().await;
    let caller = fleet.caller(0);
    let cases = [
        ("idempotency-key", "17"),
        ("idempotency-key", "6f9619ff-8b86-4d01-b42d-00cf4fc964ff"),
        ("swiftlink-run", "twice"),
        ("swiftlink-deadline-ms", "soon"),
        ("last-event-id", "nonsense"),
    ];
    for (header, value) in cases {
        let body = ask("hello").body().to_string().into();
        let mut request = caller.request(Method::POST, fleet.router(0), CHAT, body);
        set(&mut request, header, value);
        let answer = caller.send(request).await;
        let refusal = ExpectedRefusal {
            status: 400,
            slug: "malformed",
            field: Some(header),
        };
        assert_refused(header, &answer, &refusal);
    }
    assert_nothing_ran(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let plan = plan().router(json!({ "body_limit": 4096 }));
    let fleet = plan.start().await.expect("the fleet starts");
    let caller = fleet.caller(0);
    let answer = caller
        .ask(fleet.router(0), &ask(&"parcel ".repeat(1_000)))
        .await;
    let refusal = ExpectedRefusal {
        status: 413,
        slug: "too-large",
        field: None,
    };
    assert_refused("long body", &answer, &refusal);
    assert_nothing_ran(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_budget_is_refused() {
    let tenants = vec![
        Tenant::new("lannec", 1_000),
        Tenant::new("poor", 0),
        Tenant::new("tight", 20),
    ];
    let fleet = plan()
        .tenants(tenants)
        .start()
        .await
        .expect("the fleet starts");
    let refusal = ExpectedRefusal {
        status: 402,
        slug: "no-budget",
        field: None,
    };
    for (tenant, router) in [(1, 0), (1, 1), (2, 2)] {
        // The tight budget is smaller than the largest answer of the request.
        let answer = fleet
            .caller(tenant)
            .ask(fleet.router(router), &ask("hello"))
            .await;
        assert_refused(&fleet.tenant(tenant).name, &answer, &refusal);
    }
    assert_nothing_ran(&fleet).await;
    // After a top-up the next request is served.
    fleet
        .api
        .top_up("poor", "poor-1", 5_000)
        .await
        .expect("a top-up");
    let served = swiftlink_testkit::until::until("the top-up to take effect", async || {
        let answer = fleet.caller(1).ask(fleet.router(0), &ask("hello")).await;
        answer.is_served().then_some(answer)
    });
    served.await.expect("the request is served in the end");
}

/// Starts routers 0 and 1. Router 0 holds most of the granted quota, router 1 knows this
/// and holds little; the budget has plenty left.
async fn start_with_rich_neighbour() -> Fleet {
    let plan = plan()
        .vms(2, 2)
        .tenants(vec![Tenant::new("rich", AMPLE_BUDGET)]);
    let fleet = plan.start().await.expect("the fleet starts");
    let class = json!({ "price": 1_000_000 });
    let set = async |least: u64| {
        let spec = json!({ "min_grant": least, "ahead_secs": 0 });
        let changes = vec![
            change("budget", "rich", spec),
            change("class", "dear", class.clone()),
        ];
        let version = fleet
            .api
            .apply(changes)
            .await
            .expect("the change is accepted");
        fleet
            .wait_for_version(version)
            .await
            .expect("the version is in force");
    };
    let first = async |router: usize| {
        let answer = fleet
            .caller(0)
            .ask(fleet.router(router), &ask("first tokens=2"))
            .await;
        assert!(answer.is_served(), "{answer:?}");
    };
    // A claim takes longer than a relay is expected to take.
    let slow = fleet.log.set(json!({ "delay_ms": 40 }));
    slow.await.expect("the delay is set");
    set(AMPLE_BUDGET / 4).await;
    first(0).await;
    set(0).await;
    first(1).await;
    let budget = fleet.api.budget("rich").await.expect("a budget");
    assert!(
        budget["free"].as_u64() >= Some(AMPLE_BUDGET / 2),
        "{budget}"
    );
    fleet
}

fn expensive_request(prompt: &str) -> ChatRequest {
    let mut ask = ask(prompt);
    ask.class = Some("dear".to_owned());
    ask
}

/// An unreachable holder is no reason to refuse while the budget has quota left.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_holder_causes_no_refusal() {
    let mut fleet = start_with_rich_neighbour().await;
    fleet.routers[0].process.kill();
    for number in 0..3 {
        let ask = expensive_request(&format!("dear {number} tokens=9"));
        let answer = fleet.caller(0).ask(fleet.router(1), &ask).await;
        assert!(answer.is_served(), "{number}: {answer:?}");
        assert_eq!(answer.charged, Some(1_000 * tokens(&ask)));
    }
    check_all(&fleet, Vec::new()).await;
}

/// The run that a resumption reads exists, so no refusal may report `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumption_is_never_reported_as_not_run() {
    let plan = plan().tenants(vec![Tenant::new("tight", 450)]);
    let mut fleet = plan.start().await.expect("the fleet starts");
    for engine in &fleet.engines {
        engine
            .set(json!({ "pace_ms": 20 }))
            .await
            .expect("the pace is set");
    }
    // The stream's own router holds nearly all quota when it is killed.
    let mut large = ask("at length tokens=100").streamed();
    large.max_tokens = 256;
    let caller = fleet.caller(0);
    let stream = caller.begin(fleet.router(0), &large).await;
    let mut stream = stream.expect("the stream starts");
    let event = stream.next().await.expect("the stream has another event");
    fleet.routers[0].process.kill();
    for router in [1, 2] {
        let resumed = caller.resume(fleet.router(router), &event.id).await;
        let answer = resumed.expect_err("no quota is left");
        assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
}

/// A refusal because of a passed deadline says when to retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_is_refused_with_retry_after() {
    let plan = plan().engines(2);
    let fleet = plan.start().await.expect("the fleet starts");
    for engine in &fleet.engines {
        engine
            .set(json!({ "delay_ms": 5_000 }))
            .await
            .expect("the delay is set");
    }
    let mut late = ask("too late tokens=3");
    late.deadline_ms = Some(200);
    let answer = fleet.caller(0).ask(fleet.router(0), &late).await;
    assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
    assert_eq!(
        answer.slug().as_deref(),
        Some("server-failed"),
        "{answer:?}"
    );
    assert!(answer.text.contains("deadline"), "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "{answer:?}");
}
