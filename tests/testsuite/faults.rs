//! Faults around the request path: links, processes and engines. Each test runs all
//! checks on its history.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde_json::json;
use swiftlink_testkit::caller::ChatRequest;
use swiftlink_testkit::checker::CallOutcome;
use swiftlink_testkit::fleet::{Fleet, MODEL, SERVICE};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::until::until;

use crate::support::{check_all, expected, new_key, plan, send, sent};

/// Time limit of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(30);

fn ask(prompt: &str) -> ChatRequest {
    ChatRequest::new(MODEL, prompt).with_key(&new_key())
}

/// Sends requests to the router until it serves one.
async fn served(fleet: &Fleet, recorder: &Recorder, router: usize) {
    let what = format!("an answer of router {router}");
    until(&what, async || {
        let answer = send(fleet, recorder, 0, router, &ask("is it back? tokens=4")).await;
        answer.is_served().then_some(())
    })
    .await
    .expect("the router serves in the end");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_faulty_engine() {
    let fleet = plan().engines(1).start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    let faults = [
        json!({ "reorder": true }),
        json!({ "reorder": false, "double": true }),
        json!({ "double": false, "drop_chunk": 3 }),
        json!({ "drop_chunk": null, "cut_after": 4 }),
        json!({ "cut_after": 4, "reorder": true, "double": true }),
    ];
    for fault in faults {
        fleet.engines[0]
            .set(fault.clone())
            .await
            .expect("the switch is set");
        for stream in [true, false] {
            let mut ask = ask("the whole answer tokens=11");
            ask.stream = stream;
            let answer = send(&fleet, &recorder, 0, 0, &ask).await;
            assert!(answer.is_served(), "{fault}: {answer:?}");
            assert_eq!(answer.text, expected(&ask), "{fault}");
        }
    }
    let history = check_all(&fleet, recorder.calls()).await;
    assert!(
        history.runs.iter().all(|run| run.executions == 1),
        "{:?}",
        history.runs
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_router_reports_true_outcomes() {
    let fleet = plan().relayed().start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    served(&fleet, &recorder, 0).await;
    assert!(fleet.net.cut("router-0") > 0, "there are links to cut");
    let mut served_cut = 0;
    for _round in 0..10 {
        let ask = ask("cut off tokens=5");
        let answer = send(&fleet, &recorder, 0, 0, &ask).await;
        if answer.is_served() {
            served_cut += 1;
            continue;
        }
        // A request that was being relayed at the cut may have run; the check of the history
        // below verifies each `not-run`.
        let outcome = answer.outcome.as_deref();
        assert!(matches!(outcome, Some("not-run" | "unknown")), "{answer:?}");
    }
    // No ledger can store a charge. One request may be accepted before the router detects
    // the outage; its answer is released and its charge kept (docs/design/settlement.md,
    // "Both out"). While that charge is unstored, the router accepts no more requests.
    assert!(served_cut <= 1, "{served_cut} were served");
    send(&fleet, &recorder, 0, 1, &ask("elsewhere tokens=5")).await;
    fleet.net.heal();
    served(&fleet, &recorder, 0).await;
    check_all(&fleet, recorder.calls()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_router_comes_back() {
    let mut fleet = plan().start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    fleet.engines[0]
        .set(json!({ "pace_ms": 10 }))
        .await
        .expect("the pace is set");
    fleet.engines[1]
        .set(json!({ "pace_ms": 10 }))
        .await
        .expect("the pace is set");
    let ask = ask("killed in mid-stream tokens=40").streamed();
    let begun = recorder.tick();
    let caller = fleet.caller(0);
    let mut stream = caller
        .begin(fleet.router(0), &ask)
        .await
        .expect("the stream starts");
    for _event in 0..3 {
        stream.next().await.expect("the stream has another event");
    }
    fleet.routers[0].process.kill();
    let cut = stream.finish().await;
    assert!(!cut.is_complete, "{cut:?}");
    recorder.note(sent(&fleet, 0, &ask), begun, CallOutcome::from(&cut));
    let last = &cut.events.last().expect("events came").id;
    let begun = recorder.tick();
    let rest = caller
        .resume(fleet.router(1), last)
        .await
        .expect("the stream starts");
    let mut rest = rest.finish().await;
    assert!(rest.is_served(), "{rest:?}");
    rest.text.insert_str(0, &cut.text);
    recorder.note(sent(&fleet, 0, &ask), begun, CallOutcome::from(&rest));
    fleet.routers[0].restart().expect("the process starts");
    fleet.routers[0]
        .ready()
        .await
        .expect("the process is ready");
    served(&fleet, &recorder, 0).await;
    check_all(&fleet, recorder.calls()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_router_runs_nothing_twice() {
    let mut fleet = plan().start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    served(&fleet, &recorder, 0).await;
    fleet.engines[0]
        .set(json!({ "pace_ms": 20 }))
        .await
        .expect("the pace is set");
    fleet.engines[1]
        .set(json!({ "pace_ms": 20 }))
        .await
        .expect("the pace is set");
    let ask = ask("check the grid tokens=20").once();
    let record = sent(&fleet, 0, &ask);
    let (caller, router) = (fleet.caller(0), fleet.router(0));
    let (told, asked) = (Arc::clone(&recorder), ask.clone());
    let first = tokio::spawn(async move {
        told.record(record, caller.ask(router, &asked)).await;
    });
    until("the engine to see the request", async || {
        let runs = fleet.runs().await.ok()?;
        let seen = runs.iter().any(|run| Some(&run.key) == ask.key.as_ref());
        seen.then_some(())
    })
    .await
    .expect("it is dispatched");
    fleet.routers[0].process.freeze();
    for router in [1, 2] {
        let answer = send(&fleet, &recorder, 0, router, &ask).await;
        assert_ne!(answer.outcome.as_deref(), Some("not-run"), "{answer:?}");
    }
    fleet.routers[0].process.thaw();
    first.await.expect("the first caller gets an end");
    served(&fleet, &recorder, 0).await;
    check_all(&fleet, recorder.calls()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut fleet = plan().start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    for engine in &fleet.engines {
        engine
            .set(json!({ "pace_ms": 20 }))
            .await
            .expect("the pace is set");
    }
    let caller = fleet.caller(0);
    let mut streams = Vec::new();
    for _stream in 0..4 {
        let ask = ask("in flight at the stop tokens=30").streamed();
        let begun = recorder.tick();
        let stream = caller
            .begin(fleet.router(0), &ask)
            .await
            .expect("the stream starts");
        streams.push((ask, begun, stream));
    }
    fleet.routers[0].process.terminate();
    for (ask, begun, stream) in streams {
        let answer = stream.finish().await;
        assert!(answer.is_served(), "{answer:?}");
        recorder.note(sent(&fleet, 0, &ask), begun, CallOutcome::from(&answer));
    }
    let status = fleet.routers[0].process.wait(STOP_LIMIT).await;
    assert_eq!(
        status.and_then(|status| status.code()),
        Some(0),
        "{status:?}"
    );
    let late = send(&fleet, &recorder, 0, 0, &ask("after the stop")).await;
    assert!(!late.is_served(), "{late:?}");
    check_all(&fleet, recorder.calls()).await;
    // The router's unused quota returns to the budget.
    let all_back = |budget: &serde_json::Value| {
        let field = |name| budget[name].as_u64().unwrap_or(0);
        field("free") + field("charged") == field("topped_up") && field("charged") > 0
    };
    let budget = fleet.api.budget_until("lannec", all_back).await;
    budget.expect("unused quota is returned");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_service_answer_is_unknown() {
    let fleet = plan().start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    fleet.services[0]
        .set(json!({ "lose_answers": 1.0 }))
        .await
        .expect("the switch is set");
    let caller = fleet.caller(0);
    let path = format!("/services/{SERVICE}/extracts");
    let mut record = sent(&fleet, 0, &ask("unused"));
    record.once = true;
    record.expected = None;
    let key = record.key.clone();
    let call = caller.service(fleet.router(0), Method::POST, &path, "x", Some(&key));
    let answer = recorder.record(record, call).await;
    assert!(!answer.is_served(), "{answer:?}");
    assert_ne!(answer.outcome.as_deref(), Some("not-run"), "{answer:?}");
    let history = check_all(&fleet, recorder.calls()).await;
    assert_eq!(history.runs[0].executions, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_loses_answers_and_goes_out() {
    let fleet = plan().start().await.expect("the fleet starts");
    let recorder = Recorder::default();
    fleet
        .log
        .set(json!({ "lose_answers": 0.4 }))
        .await
        .expect("the switch is set");
    for round in 0..12 {
        send(
            &fleet,
            &recorder,
            0,
            round % 3,
            &ask("lost answers tokens=6"),
        )
        .await;
    }
    fleet
        .log
        .set(json!({ "lose_answers": 0.0, "outage": true }))
        .await
        .expect("the switch is set");
    for round in 0..9 {
        send(
            &fleet,
            &recorder,
            0,
            round % 3,
            &ask("the log is out tokens=6"),
        )
        .await;
        let once = ask("not without the log tokens=6").once();
        let answer = send(&fleet, &recorder, 0, round % 3, &once).await;
        // A request that was being relayed at the cut may have run; the check of the history
        // below verifies each `not-run`.
        let outcome = answer.outcome.as_deref();
        assert!(matches!(outcome, Some("not-run" | "unknown")), "{answer:?}");
    }
    fleet
        .log
        .set(json!({ "outage": false }))
        .await
        .expect("the switch is set");
    for router in 0..3 {
        served(&fleet, &recorder, router).await;
    }
    check_all(&fleet, recorder.calls()).await;
}
