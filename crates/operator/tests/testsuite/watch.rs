//! Watches deliver every event once and in order, from any version and across restarts.

use std::collections::HashMap;
use std::sync::Arc;

use serde_json::json;
use swiftlink_client::api::WatchEvent;
use swiftlink_client::{ClientError, Watcher};
use swiftlink_log::MemLog;

use crate::rig::{Rig, TEST_TIMEOUT, class, client, config, delete, snapshot_all};

/// Applies sets that change two resources, sets that are rejected, and one that deletes.
async fn apply_sample_changes(rig: &Rig) {
    for round in 1..=5 {
        let changes = vec![
            class("urgent", None, round),
            class(&format!("class-{round}"), None, 1),
        ];
        rig.apply(changes).await.expect("accepted");
        rig.apply(vec![class("urgent", Some(0), 9)])
            .await
            .expect_err("conflict");
    }
    rig.apply(vec![delete("class", "class-3")])
        .await
        .expect("deleted");
}

async fn take(rig: &Rig, from: u64, count: usize) -> Vec<WatchEvent> {
    let mut stream = rig
        .client
        .watch(Some("class"), Some(from))
        .await
        .expect("watched");
    let mut events = Vec::new();
    while events.len() < count {
        let next = tokio::time::timeout(TEST_TIMEOUT, stream.next()).await;
        let next = next.expect("an event never came");
        events.push(next.expect("goes on").expect("no end"));
    }
    events
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_from_any_version_gives_every_later_event_once() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    apply_sample_changes(&rig).await;
    let all = take(&rig, 0, 11).await;
    assert!(all.is_sorted_by_key(|event| event.version));
    assert!(all[10].deleted && all[10].spec.is_null());
    let end = all[10].version;

    for from in 0..=end {
        let after: Vec<_> = all
            .iter()
            .filter(|event| event.version > from)
            .cloned()
            .collect();
        let mut expected = after.clone();
        // Append one more set: unexpected events would be read before it.
        let applied = rig
            .apply(vec![class("last", None, 1)])
            .await
            .expect("accepted");
        let mut seen = take(&rig, from, after.len() + 1).await;
        // Skip the sets of earlier rounds; this round's set is the last.
        while seen.last().expect("not empty").version < applied.version {
            seen = take(&rig, from, seen.len() + 1).await;
        }
        seen.retain(|event| event.name != "last");
        expected.retain(|event| event.name != "last");
        assert_eq!(seen, expected, "from {from}");
    }
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_watchers_see_the_same_events() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    const SETS: usize = 60;
    let watch = async |from: u64| take(&rig, from, SETS).await;
    let apply = async {
        for round in 0..SETS {
            let name = format!("class-{}", round % 7);
            rig.apply(vec![class(&name, None, 1 + round as u32)])
                .await
                .expect("accepted");
        }
    };
    let (left, right, ()) = tokio::join!(watch(0), watch(0), apply);
    assert_eq!(left, right);
    let weights: Vec<_> = left
        .iter()
        .map(|event| event.spec["weight"].as_u64())
        .collect();
    let expected: Vec<_> = (1..=SETS as u64).map(Some).collect();
    assert_eq!(weights, expected);
    rig.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watcher_resumes_at_another_operator() {
    let log = Arc::new(MemLog::new());
    let first = Rig::start(&log, &json!({})).await;
    let second = Rig::start(&log, &json!({})).await;
    let both = client(&[first.operator.address(), second.operator.address()]);
    let mut watcher = Watcher::open(&both, None, Some(0)).await.expect("watched");
    let mut weights = Vec::new();
    for weight in 1..=3 {
        second
            .apply(vec![class("urgent", None, weight)])
            .await
            .expect("accepted");
        weights.push(watcher.next().await.expect("goes on").spec["weight"].as_u64());
    }
    first.operator.stop().await;
    for weight in 4..=6 {
        second
            .apply(vec![class("urgent", None, weight)])
            .await
            .expect("accepted");
        weights.push(watcher.next().await.expect("goes on").spec["weight"].as_u64());
    }
    assert_eq!(weights, (1..=6).map(Some).collect::<Vec<_>>());
    second.operator.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_that_starts_from_a_snapshot_refuses_older_watches() {
    let log = Arc::new(MemLog::new());
    let rig = Rig::start(&log, &json!({})).await;
    apply_sample_changes(&rig).await;
    let all = take(&rig, 0, 11).await;
    rig.operator.stop().await;
    let offset = snapshot_all(&log).await;
    log.trim(&config(), offset);

    let rig = Rig::start(&log, &json!({})).await;
    let list = rig.client.list("class").await.expect("listed");
    assert_eq!(list.items.len(), 5);
    let version = list.version;
    assert_eq!(version, all[10].version);

    // A watch from 0 starts with the current resources and continues with the changes.
    let applied = rig
        .apply(vec![class("late", None, 1)])
        .await
        .expect("accepted");
    let seen = take(&rig, 0, 6).await;
    let mut latest = HashMap::new();
    for event in all.iter().filter(|event| event.name != "class-3") {
        latest.insert(event.name.clone(), event.clone());
    }
    for event in &seen[..5] {
        assert_eq!(latest.get(&event.name), Some(event));
    }
    assert_eq!(
        (seen[5].name.as_str(), seen[5].version),
        ("late", applied.version)
    );

    // A watch from the listed version is complete; an older one is refused.
    assert_eq!(take(&rig, version, 1).await, seen[5..]);
    match rig.client.watch(None, Some(1)).await {
        Err(ClientError::Refused(problem)) => assert_eq!(problem.status, 410),
        other => panic!("not refused: {other:?}"),
    }
    rig.operator.stop().await;
}
