//! Ledgers follow the log, peers while the log is unreachable, and snapshots in place of
//! trimmed records.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    TIMEOUT, claim, declare_budget, eventually, join, listener, settings, spawn, spawn_fleet,
    spawn_single, stream,
};
use swiftlink_link::LinkError;
use swiftlink_log::{Fault, MemLog};
use swiftlink_wire::link::{FailureKind, Follow, Page, Ping, Submit, reply, request};
use swiftlink_wire::log::{Record, fate, record};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ledger_that_cannot_reach_the_log_follows_its_peers() {
    let log = Arc::new(MemLog::new());
    let nodes = spawn_fleet(2, &log);
    let isolated = &nodes[1];
    isolated.log.set_unreachable(true);
    declare_budget(&log, 1_000, "proof").await;
    nodes[0].wait_up().await;
    nodes[0].wait_top_up().await;
    nodes[0].submit_one(join(1)).await;
    nodes[0].submit_one(claim(1, 1, 100)).await;

    isolated
        .wait_until("grant", |fold| {
            fold.view("b1").is_some_and(|view| view.granted == 100)
        })
        .await;
    eventually("configuration", || {
        isolated.ledger.config().progress().next == 1
    })
    .await;
    let before = isolated.ledger.config().progress().next;
    isolated.log.set_unreachable(false);
    nodes[0].submit_one(claim(1, 2, 50)).await;
    isolated
        .wait_until("grant", |fold| {
            fold.view("b1").is_some_and(|view| view.granted == 150)
        })
        .await;
    assert!(isolated.ledger.config().progress().next >= before);
    for node in nodes {
        node.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ledger_without_log_or_peers_reports_its_staleness() {
    let log = Arc::new(MemLog::new());
    log.set_fault(Fault::Outage);
    let node = spawn_single(&log);
    node.wait_up().await;
    let pong = node
        .client
        .call(request::Kind::Ping(Ping {}), TIMEOUT)
        .await
        .unwrap();
    assert!(matches!(pong, reply::Kind::Pong(pong) if pong.log_age_ms > 1_000_000));
    assert!(first_page(&node, "config", 0).await.age_ms > 1_000_000);

    log.set_fault(Fault::None);
    eventually("an answer", || node.ledger.config().progress().ready).await;
    assert!(first_page(&node, "config", 0).await.age_ms < 1_000_000);
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_ledger_starts_from_a_snapshot() {
    let log = Arc::new(MemLog::new());
    let (bound, _) = listener();
    let mut frequent = settings("vm-1", &[]);
    frequent.snapshot_every = 20;
    let node = spawn(frequent, bound, &log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;
    node.submit_one(join(1)).await;
    for seq in 1..=25 {
        node.submit_one(claim(1, seq, 2)).await;
    }
    let (_, shard) = node.ledger.shards().find(stream().as_str()).unwrap();
    eventually("a snapshot", || shard.stream.progress().snapshot.is_some()).await;
    let kept = shard.stream.progress().snapshot.unwrap() + 1;
    assert!(kept > 20);
    log.trim(&stream(), kept);

    let late = spawn_single(&log);
    late.wait_up().await;
    late.wait_until("grants", |fold| {
        fold.view("b1").is_some_and(|view| view.granted == 50)
    })
    .await;
    let page = first_page(&late, stream().as_str(), 0).await;
    assert_eq!(page.first, kept);
    assert!(
        matches!(late.submit_one(claim(1, 26, 2)).await, fate::Kind::Claim(fate) if fate.granted == 2)
    );
    late.stop().await;
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_follower_gets_every_record_in_order() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;
    let follow = Follow {
        stream: stream().to_string(),
        from: 0,
    };
    let mut pages = node
        .client
        .stream(request::Kind::Follow(follow))
        .await
        .unwrap();
    node.submit_one(join(1)).await;
    for seq in 1..=10 {
        node.submit_one(claim(1, seq, 2)).await;
    }
    let mut next = 0;
    while next < log.end(&stream()) {
        let Some(Ok(reply::Kind::Page(page))) = pages.next().await else {
            panic!("no page");
        };
        for record in page.records {
            assert_eq!(record.offset, next);
            next += 1;
        }
    }
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn records_that_may_not_be_submitted_are_refused() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    node.wait_up().await;
    let other = (0..).map(|n| format!("x{n}"));
    let mut other = other.filter(|name| {
        swiftlink_budget::stream_of(swiftlink_budget::shard_of(name, common::SHARDS)) != stream()
    });
    let mut elsewhere = claim(1, 1, 1);
    if let record::Kind::Claim(claim) = &mut elsewhere {
        claim.budget = other.next().unwrap();
    }
    let release = record::Kind::Release(swiftlink_wire::log::Release {
        incarnation: Some(common::incarnation(1)),
    });
    let name = stream().to_string();
    for (stream, records, kind) in [
        (name.as_str(), vec![], FailureKind::BadRequest),
        (
            name.as_str(),
            vec![Record { kind: None }],
            FailureKind::BadRequest,
        ),
        (
            name.as_str(),
            vec![Record {
                kind: Some(elsewhere),
            }],
            FailureKind::BadRequest,
        ),
        (
            name.as_str(),
            vec![Record {
                kind: Some(release),
            }],
            FailureKind::BadRequest,
        ),
        (
            "config",
            vec![Record {
                kind: Some(join(1)),
            }],
            FailureKind::NotServed,
        ),
    ] {
        let submit = Submit {
            stream: stream.to_owned(),
            records,
            wait_ms: 1_000,
        };
        let answer = node
            .client
            .call(request::Kind::Submit(submit), TIMEOUT)
            .await;
        let Err(LinkError::Failed(failure)) = answer else {
            panic!("{answer:?}");
        };
        assert_eq!(failure.kind, kind as i32, "{failure:?}");
    }
    assert_eq!(log.end(&stream()), 0);
    node.stop().await;
}

async fn first_page(node: &common::Node, stream: &str, from: u64) -> Page {
    let follow = Follow {
        stream: stream.to_owned(),
        from,
    };
    let mut pages = node
        .client
        .stream(request::Kind::Follow(follow))
        .await
        .unwrap();
    let page = tokio::time::timeout(Duration::from_secs(10), pages.next())
        .await
        .unwrap();
    match page {
        Some(Ok(reply::Kind::Page(page))) => page,
        other => panic!("{other:?}"),
    }
}
