//! Appends with lost answers and during outages; charges that outlive their router.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{
    TIMEOUT, charge, claim, declare_budget, eventually, join, spawn_fleet, spawn_single, stream,
};
use swiftlink_link::LinkError;
use swiftlink_log::{Fault, MemLog};
use swiftlink_wire::link::{FailureKind, reply};
use swiftlink_wire::log::{ChargeFate, RejectReason, fate};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_is_granted_and_a_charge_is_counted() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;

    assert!(matches!(node.submit_one(join(1)).await, fate::Kind::Join(fate) if fate.active));
    assert!(
        matches!(node.submit_one(claim(1, 1, 100)).await, fate::Kind::Claim(fate) if fate.granted == 100)
    );
    let mut replies = node.settle(charge(1, 1, 40)).await;
    let decided = replies.next().await.unwrap().unwrap();
    let reply::Kind::Submitted(submitted) = decided else {
        panic!("{decided:?}");
    };
    let Some(fate::Kind::Charges(fate)) = &submitted.fates[0].kind else {
        panic!("{submitted:?}");
    };
    assert_eq!(fate.items, [ChargeFate::Charged as i32]);
    assert_eq!(node.charged(), 40);
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_count_each_record_once() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;

    for (fault, calls, base) in [(Fault::LoseAnswers, 20, 0), (Fault::LoseRequests, 8, 10)] {
        log.fail_next(fault, calls);
        node.submit_one(join(1)).await;
        for seq in 1..=5 {
            let fate = node.submit_one(claim(1, base + seq, 10)).await;
            assert!(
                matches!(fate, fate::Kind::Claim(fate) if fate.granted == 10),
                "{fault:?}"
            );
            let mut replies = node.settle(charge(1, base / 2 + seq, 10)).await;
            assert!(matches!(
                replies.next().await,
                Some(Ok(reply::Kind::Submitted(_)))
            ));
        }
        log.set_fault(Fault::None);
    }
    let view = node.ledger.shards().views(&["b1".to_owned()]).remove(0);
    assert_eq!((view.topped_up, view.charged, view.free), (1_000, 100, 900));
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_is_reported_and_recovery_needs_few_appends() {
    let log = Arc::new(MemLog::new());
    let nodes = spawn_fleet(3, &log);
    declare_budget(&log, 100_000, "proof").await;
    for node in &nodes {
        node.wait_up().await;
        node.wait_top_up().await;
    }
    nodes[0].submit_one(join(1)).await;
    nodes[0].submit_one(claim(1, 1, 50_000)).await;

    log.set_fault(Fault::Outage);
    let refused = nodes[0]
        .submit(vec![claim(1, 2, 5)], Duration::from_millis(50))
        .await;
    let Err(LinkError::Failed(failure)) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(failure.kind, FailureKind::LogOut as i32);
    let mut kept = Vec::new();
    for serial in 1..=300 {
        let node = &nodes[serial as usize % nodes.len()];
        kept.push(node.settle(charge(1, serial, 10)).await);
    }

    for node in &nodes {
        node.log.appends.store(0, Ordering::SeqCst);
    }
    log.set_fault(Fault::None);
    for mut replies in kept {
        assert!(matches!(
            replies.next().await,
            Some(Ok(reply::Kind::Submitted(_)))
        ));
    }
    // One batch that probes the log, one with all records queued meanwhile, and a margin
    // for the claim.
    for node in &nodes {
        let appends = node.log.appends.load(Ordering::SeqCst);
        assert!(appends <= 6, "{appends} appends for 100 charges");
    }
    // Each charge was decided by the fold of its own ledger; the other ledgers follow the log.
    for node in &nodes {
        eventually("all charges in each fold", || node.charged() >= 3_000).await;
        assert_eq!(node.charged(), 3_000);
    }
    for node in nodes {
        node.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stored_charge_outlives_its_router() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;
    node.submit_one(join(1)).await;
    node.submit_one(claim(1, 1, 100)).await;

    log.set_fault(Fault::Outage);
    let replies = node.settle(charge(1, 1, 40)).await;
    drop(replies);
    node.client.stop().await;
    log.set_fault(Fault::None);
    node.wait_until("charge", |fold| {
        fold.view("b1").is_some_and(|view| view.charged == 40)
    })
    .await;
    node.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_ledgers_on_one_log_agree() {
    let log = Arc::new(MemLog::new());
    let nodes = spawn_fleet(2, &log);
    declare_budget(&log, 1_000, "proof").await;
    for node in &nodes {
        node.wait_up().await;
        node.wait_top_up().await;
    }
    let joined = [join(1), join(2)];
    nodes[0]
        .submit(vec![joined[0].clone()], TIMEOUT)
        .await
        .unwrap();
    nodes[1]
        .submit(vec![joined[1].clone()], TIMEOUT)
        .await
        .unwrap();
    // The later incarnation at the address has retired the earlier one, whichever ledger
    // got its join.
    let (first, second) = tokio::join!(
        nodes[1].submit_one(claim(1, 1, 100)),
        nodes[0].submit_one(claim(2, 1, 100))
    );
    assert!(matches!(first, fate::Kind::Rejected(_)), "{first:?}");
    assert!(matches!(second, fate::Kind::Claim(fate) if fate.granted == 100));

    let read = |node: &common::Node| {
        let (_, shard) = node.ledger.shards().find(stream().as_str()).unwrap();
        shard.stream.encode().unwrap()
    };
    // A release may still be appended, so the states are compared once both ledgers have
    // reached the end of the log.
    common::eventually("both at the log's end", || {
        let (one, other) = (read(&nodes[0]), read(&nodes[1]));
        if one.0 == other.0 {
            assert_eq!(one.1, other.1, "states differ at offset {}", one.0);
        }
        one.0 == other.0 && one.0 + 1 == log.end(&stream())
    })
    .await;
    for node in nodes {
        node.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_join_whose_answer_was_lost_is_the_same_join() {
    let log = Arc::new(MemLog::new());
    let node = spawn_single(&log);
    node.wait_up().await;
    declare_budget(&log, 1_000, "proof").await;
    node.wait_top_up().await;
    // Before its join is in the log, a router's claims are rejected.
    let fate = node.submit_one(claim(1, 1, 10)).await;
    let unknown = RejectReason::UnknownIncarnation;
    assert!(matches!(fate, fate::Kind::Rejected(fate) if fate.reason() == unknown));

    // The router gets no answer to the first two joins; one of them is appended.
    for fault in [Fault::Outage, Fault::LoseAnswers] {
        log.set_fault(fault);
        let lost = node.submit(vec![join(1)], Duration::from_millis(1)).await;
        assert!(lost.is_err(), "{lost:?}");
    }
    log.set_fault(Fault::None);
    assert!(matches!(node.submit_one(join(1)).await, fate::Kind::Join(fate) if fate.active));
    assert!(
        matches!(node.submit_one(claim(1, 1, 100)).await, fate::Kind::Claim(fate) if fate.granted == 100)
    );
    node.wait_until("one start", |fold| {
        fold.active().len() == 1 && fold.retired().is_empty()
    })
    .await;
    node.stop().await;
}
