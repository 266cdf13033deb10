//! A request key that is sent again: its answer is repeated, or it is refused or reported
//! as run; it never runs again without a charge.

use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use swiftlink_budget::{shard_of, stream_of};
use swiftlink_testkit::caller::{Answer, ChatRequest, set};
use swiftlink_testkit::checker::{Accounts, CallOutcome, History};
use swiftlink_testkit::fleet::{CALL_TOKENS, Fleet, MODEL, SERVICE, Tenant};
use swiftlink_testkit::recorder::Recorder;

use crate::support::{check_all, expected, new_key, plan, send, sent, tokens};

/// Number of times that a key is sent.
const SEND_COUNT: usize = 4;
/// Longest wait for a condition; a silent peer must be given up within it, well below the
/// deadline (120 s).
const MAX_WAIT: Duration = Duration::from_secs(30);

fn ask(prompt: &str) -> ChatRequest {
    ChatRequest::new(MODEL, prompt).with_key(&new_key())
}

async fn fleet() -> Fleet {
    plan().start().await.expect("the fleet starts")
}

fn charged(history: &History) -> u64 {
    Accounts::fold(&history.streams).budgets["lannec"].charged
}

/// Sums the runs of a key over all backend servers.
fn executions(history: &History, key: Option<&str>) -> u64 {
    let runs = history.runs.iter();
    let of_key = runs.filter(|run| key.is_none_or(|key| run.key == key));
    of_key.map(|run| run.executions).sum()
}

fn assert_refused(answer: &Answer, status: u16, slug: &str, outcome: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.slug().as_deref(), Some(slug), "{answer:?}");
    assert_eq!(answer.outcome.as_deref(), Some(outcome), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_gets_the_answer_again_without_a_run() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let whole = ask("who dug the well? tokens=9");
    let streamed = ask("who filled the well? tokens=7").streamed();
    let once = ask("who owns the well? tokens=6").once();
    for ask in [&whole, &streamed, &once] {
        for _time in 0..SEND_COUNT {
            let answer = send(&fleet, &recorder, 0, 0, ask).await;
            assert!(answer.is_served(), "{answer:?}");
            assert_eq!(answer.text, expected(ask));
            assert_eq!(answer.charged, Some(tokens(ask)));
            assert_eq!(answer.outcome.as_deref(), Some("ran"));
            assert_eq!(answer.key, ask.key);
        }
    }
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(executions(&history, None), 3, "{:?}", history.runs);
    let sum = tokens(&whole) + tokens(&streamed) + tokens(&once);
    assert_eq!(charged(&history), sum);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_more_at_most_on_each_router() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let ask = ask("the same key everywhere tokens=5");
    for round in 0..SEND_COUNT {
        for router in 0..3 {
            let answer = send(&fleet, &recorder, 0, router, &ask).await;
            assert!(answer.is_served(), "round {round}: {answer:?}");
            assert_eq!(answer.text, expected(&ask));
        }
    }
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), tokens(&ask));
    let runs = executions(&history, None);
    assert!(runs <= 3, "{runs} runs at three routers");
}

/// Waits until every ledger has folded a charge of `cost` on the first tenant's budget.
async fn folded(fleet: &Fleet, cost: u64) {
    let is_charged = |budget: &Value| budget["charged"].as_u64() == Some(cost);
    let budget = fleet.api.budget_until("lannec", is_charged).await;
    let offset = budget.expect("the charge is folded")["offset"].as_u64();
    let name = stream_of(shard_of("lannec", fleet.shards())).to_string();
    let holds = |status: &Value| {
        let streams = status["streams"].as_array();
        let mut streams = streams.into_iter().flatten();
        let found = streams.find(|stream| stream["name"] == name.as_str());
        found.and_then(|stream| stream["offset"].as_u64()) > offset
    };
    for ledger in &fleet.ledgers {
        let status = ledger.status_until(MAX_WAIT, "the charge", holds);
        status.await.expect("every ledger folds the charge");
    }
}

/// A run at another router reports the charge of the first run, since its own charge is
/// void.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_reports_the_first_charge() {
    for streamed in [false, true] {
        let fleet = fleet().await;
        let mut first = ask("a deed at signing tokens=9");
        first.stream = streamed;
        first.class = Some("urgent".to_owned());
        let mut second = first.clone();
        second.class = None;
        let caller = fleet.caller(0);
        let urgent = caller.ask(fleet.router(0), &first).await;
        let cost = 2 * tokens(&first);
        assert_eq!(urgent.charged, Some(cost), "{urgent:?}");
        folded(&fleet, cost).await;
        for router in [1, 2] {
            for _time in 0..2 {
                let standard = caller.ask(fleet.router(router), &second).await;
                assert!(standard.is_served(), "{standard:?}");
                assert_eq!(standard.charged, Some(cost), "{standard:?}");
            }
        }
        let history = check_all(&fleet, Vec::new()).await;
        assert_eq!(charged(&history), cost);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let first = ask("lot 12 tokens=5");
    let answer = send(&fleet, &recorder, 0, 0, &first).await;
    assert!(answer.is_served(), "{answer:?}");
    let mut other = first.clone();
    other.prompt = "lot 13 tokens=50".to_owned();
    for other in [&other, &other.clone().once(), &other.clone().streamed()] {
        let answer = fleet.caller(0).ask(fleet.router(0), other).await;
        assert_refused(&answer, 422, "key-reused", "unknown");
    }
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(executions(&history, None), 1);
    assert_eq!(charged(&history), tokens(&first));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_without_a_kept_answer_is_reported_as_run() {
    let fleet = fleet().await;
    let caller = fleet.caller(0);
    let path = format!("/services/{SERVICE}/tiles/3/9");
    let key = new_key();
    let call = || caller.service(fleet.router(0), Method::GET, &path, "", Some(&key));
    let answer = call().await;
    assert_eq!(answer.status, 200, "{answer:?}");
    for _time in 0..SEND_COUNT {
        let answer = call().await;
        assert_refused(&answer, 409, "key-in-use", "ran");
        let detail = answer.json()["detail"].to_string();
        assert!(detail.contains(&CALL_TOKENS.to_string()), "{detail}");
    }
    let history = check_all(&fleet, Vec::new()).await;
    assert_eq!(executions(&history, Some(&key)), 1);
    assert_eq!(charged(&history), CALL_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_stream_is_reported_as_run() {
    let mut fleet = plan().engines(1).start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    let ask = ask("kept by nobody tokens=5");
    let answer = send(&fleet, &recorder, 0, 0, &ask).await;
    assert!(answer.is_served(), "{answer:?}");
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(charged(&history), tokens(&ask));
    fleet.engines[0].process.kill();
    let answer = fleet.caller(0).ask(fleet.router(0), &ask).await;
    assert_refused(&answer, 409, "key-in-use", "ran");
    let detail = answer.json()["detail"].to_string();
    assert!(detail.contains(&tokens(&ask).to_string()), "{detail}");
}

/// No refusal of a later request under a key that ran may report `not-run`.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_ran_is_never_told_as_not_run() {
    let fleet = fleet().await;
    let recorder = Recorder::default();
    let first = ask("lot 14 tokens=5");
    let answer = send(&fleet, &recorder, 0, 0, &first).await;
    assert!(answer.is_served(), "{answer:?}");
    let caller = fleet.caller(0);
    let post = async |body: &str, class: &str| {
        let path = "/v1/chat/completions";
        let body = body.to_owned().into();
        let mut request = caller.request(Method::POST, fleet.router(0), path, body);
        set(
            &mut request,
            "idempotency-key",
            first.key.as_deref().expect("a key"),
        );
        set(&mut request, "x-priority", class);
        caller.send(request).await
    };
    let body = first.body().to_string();
    let answer = post("{ not json", "standard").await;
    assert_refused(&answer, 400, "malformed", "unknown");
    let answer = post(&body.replace(MODEL, "nobody"), "standard").await;
    assert_refused(&answer, 404, "unknown-pool", "unknown");
    let answer = post(&body, "no-such-class").await;
    assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
}

/// A router gives up a frozen peer that it relays to long before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_peer_is_given_up_before_the_deadline() {
    let tenant = Tenant::new("tight", 450);
    let mut fleet = plan().tenants(vec![tenant]).start().await.expect("a fleet");
    let recorder = Recorder::default();
    for engine in &fleet.engines {
        engine
            .set(json!({ "pace_ms": 20 }))
            .await
            .expect("the pace is set");
    }
    // Router 1 holds nearly all quota for a request in flight, and is frozen with it.
    let mut large = ask("at length tokens=100").streamed();
    large.max_tokens = 256;
    let begun = recorder.tick();
    let caller = fleet.caller(0);
    let stream = caller.begin(fleet.router(1), &large).await;
    let mut stream = stream.expect("the stream starts");
    stream.next().await.expect("the stream has another event");
    fleet.routers[1].process.freeze();
    let (idempotent, once) = (
        ask("held there tokens=4"),
        ask("held there tokens=5").once(),
    );
    let calls = tokio::time::timeout(MAX_WAIT, async {
        tokio::join!(
            send(&fleet, &recorder, 0, 0, &idempotent),
            send(&fleet, &recorder, 0, 0, &once),
        )
    });
    let answers = calls.await.expect("answers long before the deadline");
    for answer in [answers.0, answers.1] {
        assert_eq!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    fleet.routers[1].process.thaw();
    let whole = stream.finish().await;
    assert!(whole.is_served(), "{whole:?}");
    recorder.note(sent(&fleet, 0, &large), begun, CallOutcome::from(&whole));
    check_all(&fleet, recorder.calls()).await;
}
