//! A planned stop under load: no answer is cut off, no request is accepted after it, unused
//! quota is returned, and the process exits with 0 within its limit.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use swiftlink_testkit::checker::History;
use swiftlink_testkit::fleet::Daemon;
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::traffic::{AttemptRecord, Traffic, TrafficOptions};
use swiftlink_testkit::until::until;

use crate::support::{check_all, plan};

/// Stop limit of the settings (ms).
const STOP_MS: u64 = 10_000;
/// Duration of an append to the slow log (ms).
const SLOW_MS: u64 = 300;
/// Time above the stop limit for the return of quota and the exit, which have limits of
/// their own.
const MARGIN: Duration = Duration::from_secs(10);

/// Sends SIGTERM and checks that the process exits within its limit.
async fn stop(daemon: &mut Daemon) {
    let begun = Instant::now();
    let limit = Duration::from_millis(STOP_MS) + MARGIN;
    let status = daemon.stop(limit).await;
    let code = status.and_then(|status| status.code());
    assert_eq!(code, Some(0), "{}: {status:?}", daemon.name());
    let took = begun.elapsed();
    say(&format!("stopping: {} ended in {took:?}", daemon.name()));
}

/// Checks that no caller lost a started answer, and that unanswered requests did not run.
fn check_complete(told: &[AttemptRecord], history: &History) {
    let ran: BTreeSet<&str> = history.runs.iter().map(|run| run.key.as_str()).collect();
    for AttemptRecord { key, answer, .. } in told {
        let has_head = answer.status != 0;
        assert!(
            !has_head || answer.is_complete,
            "an answer was cut: {answer:?}"
        );
        assert!(
            has_head || !ran.contains(key.as_str()),
            "{key} ran and was not answered"
        );
        assert_ne!(answer.outcome.as_deref(), Some("unknown"), "{answer:?}");
    }
}

async fn wait_for_callers(daemon: &Daemon) {
    let busy = until("requests in flight", async || {
        let status = daemon.status().await?;
        (status["in_flight"].as_u64() > Some(1)).then_some(())
    });
    busy.await.expect("the callers reach the router");
}

async fn routers_stop(mut draw: SeededRng) {
    let plan = plan().router(json!({ "stop_ms": STOP_MS }));
    let mut fleet = plan.start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    for engine in &fleet.engines {
        engine
            .set(json!({ "pace_ms": 15 }))
            .await
            .expect("the pace is set");
    }
    for service in &fleet.services {
        service
            .set(json!({ "run_ms": 80 }))
            .await
            .expect("the run time is set");
    }
    let mix = TrafficOptions {
        callers: 16,
        tokens: 40,
        ..TrafficOptions::new()
    };
    let traffic = Traffic::start(&fleet, &recorder, &mut draw, &mix);
    for at in 0..fleet.routers.len() {
        wait_for_callers(&fleet.routers[at]).await;
        stop(&mut fleet.routers[at]).await;
        let ended = traffic.attempts().len();
        let late = until("tries after the stop", async || {
            (traffic.attempts().len() > ended + 8).then_some(())
        });
        late.await.expect("the callers go on");
    }
    let told = traffic.stop().await;
    let history = check_all(&fleet, recorder.calls()).await;
    check_complete(&told, &history);
    // Every router has exited, so all unspent quota is free again.
    let all_back = |budget: &Value| {
        let field = |name: &str| budget[name].as_u64().unwrap_or(0);
        field("free") + field("charged") == field("topped_up") && field("charged") > 0
    };
    let budget = fleet.api.budget_until("lannec", all_back).await;
    budget.expect("unused quota is returned");
}

/// Stops each ledger and the operator in turn under load; then kills all routers, so that
/// only the ledgers have the charges of the latest answers.
async fn ledgers_stop(mut draw: SeededRng) {
    let plan = plan().ledger(json!({ "stop_ms": STOP_MS }));
    let mut fleet = plan.start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let mix = TrafficOptions::new();
    let traffic = Traffic::start(&fleet, &recorder, &mut draw, &mix);
    for at in 0..fleet.ledgers.len() {
        let before = traffic.served();
        let on = until("answers", async || {
            (traffic.served() > before + 20).then_some(())
        });
        on.await.expect("the fleet serves");
        stop(&mut fleet.ledgers[at]).await;
        fleet.ledgers[at].restart().expect("the process restarts");
        fleet.ledgers[at]
            .ready()
            .await
            .expect("the process is ready again");
    }
    stop(&mut fleet.operator).await;
    let told = traffic.attempts();
    check_complete(
        &told,
        &fleet
            .history(recorder.calls())
            .await
            .expect("the history is read"),
    );
    // With a slow log there are always charges that are not on it yet.
    let slow = fleet.log.set(json!({ "delay_ms": SLOW_MS }));
    slow.await.expect("the switch is set");
    let before = traffic.served();
    let on = until("answers", async || {
        (traffic.served() > before + 40).then_some(())
    });
    on.await.expect("the fleet serves");
    for router in &mut fleet.routers {
        router.process.kill();
    }
    for ledger in &mut fleet.ledgers {
        stop(ledger).await;
    }
    traffic.stop().await;
    check_all(&fleet, recorder.calls()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_no_answer_off() {
    rounds("a_planned_stop_under_load_cuts_no_answer_off", routers_stop).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ledgers_stop_without_losing_a_charge() {
    rounds("ledgers_stop_without_losing_a_charge", ledgers_stop).await;
}
