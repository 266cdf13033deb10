//! The log retires a live router because its VM is off the VM list for a while.

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use serde_json::{Value, json};
use swiftlink_budget::{Fold, shard_of, stream_of};
use swiftlink_log::Fold as _;
use swiftlink_testkit::caller::ChatRequest;
use swiftlink_testkit::checker::CallOutcome;
use swiftlink_testkit::fleet::{Fleet, MODEL, change};
use swiftlink_testkit::http::Http;
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::records;
use swiftlink_testkit::until::until;

use crate::support::{check_all, new_key, plan, send, sent};

/// Name of the budget, whose quota is released only by proof of death.
const BUDGET: &str = "lannec";
/// VM that is off the list for a while.
const VM: &str = "vm-0";
/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(30);
/// Time for which the router must not join; a release takes about a second.
const WATCH_TIME: Duration = Duration::from_secs(4);

/// Returns the epochs of the VM's active and retired routers on the budget's stream.
async fn router_epochs(fleet: &Fleet) -> Option<(Vec<u64>, Vec<u64>)> {
    let shard = shard_of(BUDGET, fleet.shards());
    let name = stream_of(shard).to_string();
    let mut fold = Fold::empty();
    for record in records::read(fleet.log.address(), &name).await.ok()? {
        fold.apply(record.offset, &record.data);
    }
    let active = fold.active().into_iter().map(|router| router.incarnation);
    let retired = fold.retired().into_iter().map(|router| router.incarnation);
    let active = active.filter(|own| own.vm.as_str() == VM);
    let retired = retired.filter(|own| own.vm.as_str() == VM);
    Some((
        active.map(|own| own.epoch).collect(),
        retired.map(|own| own.epoch).collect(),
    ))
}

/// Sets the VM list to all VMs from index `from` on.
async fn list(fleet: &Fleet, from: usize) {
    let mut vms = Vec::new();
    for at in from..fleet.routers.len() {
        let domain = format!("domain-{at}");
        vms.push(json!({ "name": format!("vm-{at}"), "domain": domain, "state": "live" }));
    }
    let body = json!({ "vms": vms });
    let set = fleet.vms.send(Method::POST, "/_standin/vms", body).await;
    set.expect("the list is set");
}

async fn pace(fleet: &Fleet, ms: u64) {
    for engine in &fleet.engines {
        let set = engine.set(json!({ "pace_ms": ms })).await;
        set.expect("the switch is set");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retired_live_router_loses_no_charge() {
    let plan = plan().router(json!({ "mark_ms": 200 }));
    let fleet = plan.start().await.expect("the fleet starts");
    // Large requests are allowed, so that one forces the router to claim.
    let pool = json!({ "kind": "model", "max_tokens": 1_000_000 });
    let version = fleet.api.apply(vec![change("pool", MODEL, pool)]).await;
    fleet
        .wait_for_version(version.expect("the change is applied"))
        .await
        .expect("routers read it");
    pace(&fleet, 100).await;
    let caller = fleet.caller(0);
    let recorder = Recorder::default();
    let mut ask = ChatRequest::new(MODEL, "tokens=200")
        .with_key(&new_key())
        .streamed();
    ask.max_tokens = 200;
    let began = recorder.tick();
    let mut stream = caller
        .begin(fleet.router(0), &ask)
        .await
        .expect("it streams");
    stream.next().await.expect("the first event");
    let (before, _) = router_epochs(&fleet).await.expect("the log answers");

    list(&fleet, 1).await;
    let noticed = format!(
        "event=shard.retired shard={}",
        shard_of(BUDGET, fleet.shards())
    );
    // The router learns of it at its next claim; quota at hand is valid until then.
    let mut more = 2_000;
    let learnt = until("the router to learn of its retirement", async || {
        let mut ask = ChatRequest::new(MODEL, "tokens=1").with_key(&new_key());
        ask.max_tokens = more;
        more += 2_000;
        let _served_or_not = send(&fleet, &recorder, 0, 0, &ask).await;
        let printed = fleet.routers[0].process.printed();
        printed.contains(&noticed).then_some(())
    });
    learnt.await.expect("the list retires it");
    list(&fleet, 0).await;
    let watched = Instant::now();
    let mut seen = Vec::new();
    while watched.elapsed() < WATCH_TIME {
        seen.push(router_epochs(&fleet).await.expect("the log answers"));
        tokio::time::sleep(WATCH_TIME / 10).await;
    }
    let mut other = ChatRequest::new(MODEL, "tokens=2").with_key(&new_key());
    other.max_tokens = 2;
    let refused = caller.ask(fleet.router(0), &other).await;
    assert!(!stream.received().is_complete, "the stream is complete");

    pace(&fleet, 0).await;
    let answer = stream.finish().await;
    assert!(answer.is_served(), "{answer:?}");
    let sent = sent(&fleet, 0, &ask);
    recorder.note(sent, began, CallOutcome::from(&answer));
    let settled =
        fleet.routers[0].status_until(LIMIT, "charges", |status| status["charges"]["pending"] == 0);
    let status = settled.await;
    let status = status.expect("every charge is decided");
    assert_eq!(status["charges"]["void_released"], 0, "{status}");
    check_all(&fleet, recorder.calls()).await;

    for (active, retired) in seen {
        assert_eq!(
            (active, &retired),
            (vec![], &before),
            "the router is still retired"
        );
    }
    assert_eq!(
        refused.slug().as_deref(),
        Some("unavailable"),
        "{refused:?}"
    );
    assert_eq!(refused.outcome.as_deref(), Some("not-run"));
    assert!(refused.header("retry-after").is_some(), "{refused:?}");

    let back = until("the router to be back", async || {
        let (active, retired) = router_epochs(&fleet).await?;
        (active.len() == 1 && active > before && retired.is_empty()).then_some(())
    });
    back.await
        .expect("the router joins once all its quota is released");
    let served = until("an answer", async || {
        let answer = caller.ask(fleet.router(0), &other).await;
        answer.is_served().then_some(())
    });
    served.await.expect("it serves again");
    let free = |budget: &Value| budget["quarantined"] == 0;
    let budget = fleet.api.budget_until(BUDGET, free).await;
    budget.expect("nothing stays in quarantine");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_on_a_vm_declared_gone_refuses_callers_until_that_is_revoked() {
    let fleet = plan().start().await.expect("the fleet starts");
    let caller = fleet.caller(0);
    let ask = || ChatRequest::new(MODEL, "tokens=2").with_key(&new_key());
    let served = caller.ask(fleet.router(0), &ask()).await;
    assert!(served.is_served(), "{served:?}");

    let gone = change("retirement", VM, json!({ "reason": "burnt" }));
    let version = fleet
        .api
        .apply(vec![gone])
        .await
        .expect("the change is applied");
    fleet
        .wait_for_version(version)
        .await
        .expect("routers read it");
    let refused = caller.ask(fleet.router(0), &ask()).await;
    assert_eq!(
        refused.slug().as_deref(),
        Some("unavailable"),
        "{refused:?}"
    );
    assert_eq!(refused.outcome.as_deref(), Some("not-run"));
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    let detail = refused.json()["detail"].clone();
    assert_eq!(detail, "this router's VM is declared gone for good");
    let health = Http::new().get(fleet.router(0), "/health").await;
    let health = health.expect("an answer");
    assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(health.json()["reason"], "declared-gone");
    let said = until("the router to log it", async || {
        let printed = fleet.routers[0].process.printed();
        printed.contains("event=router.declared-gone").then_some(())
    });
    said.await.expect("a line of its own");
    let other = caller.ask(fleet.router(1), &ask()).await;
    assert!(other.is_served(), "{other:?}");

    let back = json!({ "kind": "retirement", "name": VM, "delete": true });
    fleet
        .api
        .apply(vec![back])
        .await
        .expect("the change is applied");
    let again = until("an answer", async || {
        let answer = caller.ask(fleet.router(0), &ask()).await;
        answer.is_served().then_some(())
    });
    again.await.expect("it joins and serves again");
}
