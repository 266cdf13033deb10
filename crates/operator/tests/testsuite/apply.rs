//! Concurrent applies, and applies to a log that fails.

use std::sync::Arc;

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use swiftlink_client::api::{CHANGE_FIRST_HEADER, CHANGE_ID_HEADER, Certainty};
use swiftlink_client::http::{Call, Http};
use swiftlink_client::{ClientError, Exit, change_id};
use swiftlink_log::{Fault, Log, MemLog};

use crate::rig::{Rig, TEST_TIMEOUT, TOKEN, class, client, config, delete, put, request};

fn problem(error: ClientError) -> swiftlink_client::api::Problem {
    match error {
        ClientError::Refused(problem) => *problem,
        other => panic!("not a refusal: {other}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_wins() {
    let log = Arc::new(MemLog::new());
    let rennes = Rig::start(&log, &json!({})).await;
    let brest = Rig::start(&log, &json!({})).await;
    let mut base = 0;
    for round in 1..=20 {
        let (left, right) = tokio::join!(
            rennes.apply(vec![class("urgent", Some(base), round)]),
            brest.apply(vec![class("urgent", Some(base), round + 100)]),
        );
        let (won, lost, weight) = match (left, right) {
            (Ok(won), Err(lost)) => (won, lost, round),
            (Err(lost), Ok(won)) => (won, lost, round + 100),
            other => panic!("round {round}: not exactly one winner: {other:?}"),
        };
        assert_eq!(lost.exit(), Exit::Conflict);
        let lost = problem(lost);
        assert_eq!(lost.status, 409);
        assert_eq!(lost.rejects[0].current, Some(won.version));
        base = won.version;
        for rig in [&rennes, &brest] {
            let mut shown = rig.client.get("class", "urgent").await.expect("exists");
            while shown.version < base {
                // The other operator may lag behind the log.
                tokio::task::yield_now().await;
                shown = rig.client.get("class", "urgent").await.expect("exists");
            }
            assert_eq!(shown.version, base);
            assert_eq!(shown.spec["weight"], weight);
        }
    }
    rennes.operator.stop().await;
    brest.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_response_is_applied_once() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    log.fail_next(Fault::LoseAnswers, 1);
    let applied = rig
        .apply(vec![class("urgent", None, 4)])
        .await
        .expect("accepted");
    assert_eq!(applied.version, 1);
    assert_eq!(
        log.end(&config()),
        1,
        "found by reading the log, not appended again"
    );
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_with_a_lost_request_is_sent_again() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    log.fail_next(Fault::LoseRequests, 3);
    let applied = rig
        .apply(vec![class("urgent", None, 4)])
        .await
        .expect("accepted");
    assert_eq!(applied.version, 1);
    assert_eq!(log.end(&config()), 1);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_during_an_outage_is_refused_as_not_applied() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    log.set_fault(Fault::Outage);
    let refused = rig
        .apply(vec![class("urgent", None, 4)])
        .await
        .expect_err("refused");
    assert_eq!(refused.exit(), Exit::Failed);
    let refused = problem(refused);
    assert_eq!(refused.status, 503);
    assert_eq!(refused.applied, Some(Certainty::No));
    assert!(refused.retry_ms.is_some());

    // Reads still work, and the refused change isn't applied after the outage.
    assert!(
        rig.client
            .list("class")
            .await
            .expect("reads still work")
            .items
            .is_empty()
    );
    log.set_fault(Fault::None);
    let applied = rig
        .apply(vec![class("spare", None, 4)])
        .await
        .expect("accepted");
    assert_eq!(applied.version, 1);
    assert_eq!(log.end(&config()), 1);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_id_is_undecided_during_an_outage() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({ "apply_ms": 200 })).await;
    log.set_fault(Fault::Outage);
    let request = request(vec![class("urgent", None, 4)]);
    let refused = rig
        .client
        .apply(&request, "earlier", true)
        .await
        .expect_err("refused");
    assert!(matches!(refused, ClientError::Unknown { .. }), "{refused}");
    assert_eq!(log.end(&config()), 0);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_undecided_change_can_be_repeated_with_its_id() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({ "apply_ms": 200 })).await;
    let request = request(vec![class("urgent", None, 4)]);
    let id = change_id();
    log.set_fault(Fault::LoseRequests);
    let refused = rig
        .client
        .apply(&request, &id, false)
        .await
        .expect_err("undecided");
    assert!(matches!(refused, ClientError::Unknown { .. }), "{refused}");

    log.set_fault(Fault::None);
    let first = rig
        .client
        .apply(&request, &id, true)
        .await
        .expect("accepted");
    let again = rig
        .client
        .apply(&request, &id, true)
        .await
        .expect("accepted before");
    assert_eq!(first, again);
    assert_eq!(log.end(&config()), 1, "the repeated call appended nothing");
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_call_at_another_operator_gets_the_same_answer() {
    let log = Arc::new(MemLog::new());
    let first = Rig::start(&log, &json!({})).await;
    let request = request(vec![class("urgent", None, 4)]);
    let id = change_id();
    let here = first
        .client
        .apply(&request, &id, false)
        .await
        .expect("accepted");
    first.operator.stop().await;

    let second = Rig::start(&log, &json!({})).await;
    let there = second
        .client
        .apply(&request, &id, true)
        .await
        .expect("accepted");
    assert_eq!(here, there);
    second.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_operator_is_skipped() {
    let log = Arc::new(MemLog::new());
    let gone = Rig::start(&log, &json!({})).await;
    let gone_address = gone.operator.address();
    gone.operator.stop().await;
    let rig = Rig::start(&log, &json!({})).await;
    let both = client(&[gone_address, rig.operator.address()]);
    let request = request(vec![class("urgent", None, 4)]);
    both.apply(&request, &change_id(), false)
        .await
        .expect("accepted at the second");
    both.get("class", "urgent")
        .await
        .expect("shown by the second");
    rig.operator.stop().await;

    let error = both.status().await.expect_err("both are gone");
    assert_eq!(error.exit(), Exit::Unreachable);
}

#[tokio::test(flavor = "multi_thread")]
async fn change_sets_are_atomic() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let changes = vec![
        class("urgent", None, 4),
        put(
            "workspace",
            "notaries",
            None,
            json!({ "budget": "nowhere" }),
        ),
    ];
    let refused = rig.apply(changes).await.expect_err("dangling reference");
    assert_eq!(refused.exit(), Exit::Failed);
    let refused = problem(refused);
    assert_eq!(refused.rejects.len(), 1);
    assert_eq!(refused.rejects[0].reason, "missing");
    assert!(
        rig.client
            .list("class")
            .await
            .expect("listed")
            .items
            .is_empty()
    );

    rig.apply(vec![class("urgent", None, 4)])
        .await
        .expect("accepted");
    rig.apply(vec![delete("class", "urgent")])
        .await
        .expect("deleted");
    let gone = problem(rig.client.get("class", "urgent").await.expect_err("gone"));
    assert_eq!(gone.status, 404);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_file_with_topups_can_be_applied_again() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({ "topup_ms": 1 })).await;
    let topup = |amount: u64| {
        let spec = json!({ "budget": "registry", "amount": amount });
        put("topup", "first", None, spec)
    };
    let budget = put("budget", "registry", None, json!({}));
    let first = rig
        .apply(vec![budget.clone(), topup(500)])
        .await
        .expect("accepted");
    let again = rig.apply(vec![budget, topup(500)]).await.expect("accepted");
    assert!(again.version > first.version);
    assert_eq!(again.results[0].version, again.version);
    assert_eq!(
        again.results[1].version, first.version,
        "the top-up is unchanged"
    );

    let end = log.end(&config());
    let alone = rig.apply(vec![topup(500)]).await.expect("accepted");
    assert_eq!(alone.version, again.version);
    assert_eq!(log.end(&config()), end, "nothing to append");

    let refused = problem(rig.apply(vec![topup(501)]).await.expect_err("immutable"));
    assert_eq!(refused.rejects[0].reason, "immutable");
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_a_first_use_of_an_id_can_be_certain() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({ "apply_ms": 100 })).await;
    log.set_fault(Fault::Outage);
    let body = Bytes::from_static(br#"{"changes":[{"kind":"class","name":"a","spec":{}}]}"#);
    let cases = [
        (vec![], "no"),
        (
            vec![(CHANGE_ID_HEADER, "id-1"), (CHANGE_FIRST_HEADER, "true")],
            "no",
        ),
        (vec![(CHANGE_ID_HEADER, "id-1")], "unknown"),
    ];
    for (headers, applied) in cases {
        let call = Call {
            method: Method::POST,
            token: Some(TOKEN),
            headers,
            body: body.clone(),
            ..Call::get(rig.operator.address(), "/v1/apply")
        };
        let answer = Http::open("test")
            .fetch(&call, Duration::from_secs(20))
            .await;
        let answer = answer.expect("answered");
        let problem: Value = serde_json::from_slice(&answer.body).expect("a problem");
        assert_eq!(answer.status, 503);
        assert_eq!(problem["applied"], applied);
        assert!(problem["change_id"].is_string());
    }
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_on_the_log_does_not_hide_the_decision() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let request = request(vec![class("urgent", None, 4)]);
    let id = change_id();
    let first = rig
        .client
        .apply(&request, &id, false)
        .await
        .expect("accepted");
    let page = log
        .read(&config(), 0, 1, Duration::ZERO)
        .await
        .expect("read");
    let copy = Bytes::from(page.records[0].data.clone());
    log.append(&config(), copy).await.expect("appended");
    // Once this later set is decided, the duplicate before it was read too.
    rig.apply(vec![class("later", None, 4)])
        .await
        .expect("accepted");
    let again = rig
        .client
        .apply(&request, &id, true)
        .await
        .expect("accepted before");
    assert_eq!(first, again);
    assert_eq!(
        rig.client.list("class").await.expect("listed").items.len(),
        2
    );
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retirement_is_applied_shown_watched_and_deleted() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    let made = put("retirement", "vm-3", Some(0), json!({ "reason": "burnt" }));
    let applied = rig.apply(vec![made]).await.expect("accepted");
    let shown = rig.client.get("retirement", "vm-3").await.expect("exists");
    assert_eq!(
        (shown.version, &shown.spec),
        (applied.version, &json!({ "reason": "burnt" }))
    );
    let bare = put("retirement", "vm-4", None, json!({}));
    rig.apply(vec![bare]).await.expect("accepted");
    rig.apply(vec![delete("retirement", "vm-3")])
        .await
        .expect("deleted");
    let list = rig.client.list("retirement").await.expect("listed");
    let names: Vec<_> = list.items.iter().map(|item| item.name.as_str()).collect();
    assert_eq!(names, ["vm-4"]);
    let mut stream = rig
        .client
        .watch(Some("retirement"), Some(0))
        .await
        .expect("watched");
    let mut seen = Vec::new();
    while seen.len() < 3 {
        let next = tokio::time::timeout(TEST_TIMEOUT, stream.next()).await;
        let event = next.expect("an event never came").expect("goes on");
        let event = event.expect("no end");
        seen.push((event.name, event.deleted));
    }
    let expected = [("vm-3", false), ("vm-4", false), ("vm-3", true)];
    assert_eq!(
        seen,
        expected.map(|(name, deleted)| (name.to_owned(), deleted))
    );
    rig.operator.stop().await;
}
