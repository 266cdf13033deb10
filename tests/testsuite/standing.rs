//! What a router reports about the staleness of its configuration to operators, the load
//! balancer and its log.

use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};
use swiftlink_testkit::caller::{Caller, ChatRequest};
use swiftlink_testkit::fleet::{Fleet, MODEL};
use swiftlink_testkit::http::Http;
use swiftlink_testkit::until::until;

use crate::support::{new_key, plan};

/// Age over which a configuration is stale because of its age alone (ms).
const STALE_MS: u64 = 4_000;
/// Quota that lasts for a complete outage (tokens).
const OUTAGE_QUOTA: u64 = 2_000;
/// Time between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a condition.
const MAX_WAIT: Duration = Duration::from_secs(60);

fn ask() -> ChatRequest {
    ChatRequest::new(MODEL, "who owned parcel 7? tokens=4").with_key(&new_key())
}

/// Returns the router's answer to the load balancer's health check.
async fn health(fleet: &Fleet, router: usize) -> (StatusCode, Value) {
    let url = fleet.router(router);
    let reply = Http::new().get(url, "/health").await.expect("an answer");
    (reply.status, reply.json())
}

/// Sends requests until router 0 holds quota for many more.
async fn build_up_quota(fleet: &Fleet) {
    let held = until("the quota of router 0", async || {
        let answer = fleet.caller(0).ask(fleet.router(0), &ask()).await;
        assert!(answer.is_served(), "{answer:?}");
        let status = fleet.routers[0].status().await?;
        let available = status["grants"][0]["available"].as_u64()?;
        (available > OUTAGE_QUOTA).then_some(())
    });
    held.await.expect("the router claims quota ahead");
}

/// Sends requests, all served, until the configuration of router 0 is too old to be
/// trusted by its age.
async fn serve_until_old(fleet: &Fleet) -> Value {
    let old = until("a stale configuration", async || {
        let answer = fleet.caller(0).ask(fleet.router(0), &ask()).await;
        assert!(answer.is_served(), "{answer:?}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let status = fleet.routers[0].status().await?;
        (status["version_age_ms"].as_u64() > Some(2 * STALE_MS)).then_some(status)
    });
    old.await.expect("the configuration becomes stale")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_log_for_all_refuses_nobody() {
    let plan = plan().relayed().engines(1).services(0);
    let plan = plan.router(json!({ "stale_ms": STALE_MS }));
    let fleet = plan.start().await.expect("the fleet starts");
    let caller = fleet.caller(0);
    build_up_quota(&fleet).await;
    assert_eq!(
        health(&fleet, 0).await,
        (StatusCode::OK, json!({ "status": "ready" }))
    );

    let out = fleet.log.set(json!({ "outage": true }));
    out.await.expect("the switch is set");
    let status = serve_until_old(&fleet).await;
    assert_eq!(status["configuration"], "log-out", "{status}");
    assert_eq!(status["troubles"], json!([]));
    assert_eq!(health(&fleet, 0).await.0, StatusCode::OK);

    // An unreachable ledger may be where configuration changes are still accepted.
    let cut = fleet
        .net
        .cut_where(|from, to| from == "router-0" && to == "ledger-1");
    assert_eq!(cut, 1, "one link to cut");
    let stale = fleet.routers[0].status_until(MAX_WAIT, "trouble", |status| {
        status["troubles"] == json!(["stale"])
    });
    stale.await.expect("the configuration is stale");
    let refused = caller.ask(fleet.router(0), &ask()).await;
    assert_eq!(refused.slug().as_deref(), Some("unavailable"));
    assert_eq!(
        health(&fleet, 0).await,
        (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({ "status": "unready", "reason": "stale" })
        )
    );
    line(&fleet, &["level=warn event=router.trouble reason=stale"]).await;

    fleet.net.heal();
    let back = fleet.log.set(json!({ "outage": false }));
    back.await.expect("the switch is set");
    let well = fleet.routers[0].status_until(MAX_WAIT, "trouble", |status| {
        status["troubles"] == json!([]) && status["configuration"] == "current"
    });
    well.await.expect("the configuration is fresh again");
}

/// Waits for the log line that has all `parts`, and returns it.
async fn line(fleet: &Fleet, parts: &[&str]) -> String {
    let found = until("a line of the log", async || {
        let printed = fleet.routers[0].process.printed();
        let mut lines = printed.lines();
        let line = lines.find(|line| parts.iter().all(|part| line.contains(part)));
        line.map(str::to_owned)
    });
    found.await.expect("the line")
}

#[tokio::test(flavor = "multi_thread")]
async fn each_request_leaves_one_line() {
    let plan = plan().engines(1).services(0);
    let fleet = plan.start().await.expect("the fleet starts");
    for ask in [ask(), ask().streamed()] {
        let key = ask.key.clone().expect("a key");
        let answer = fleet.caller(0).ask(fleet.router(0), &ask).await;
        assert!(answer.is_served(), "{answer:?}");
        let line = line(&fleet, &["event=request.done", &key]).await;
        let charged = format!("charged={} ", answer.charged.expect("a charge"));
        for part in ["workspace=lannec ", "outcome=ran ", "status=200 ", &charged] {
            assert!(line.contains(part), "{part}: {line}");
        }
        let printed = fleet.routers[0].process.printed();
        let told = printed
            .lines()
            .filter(|line| line.contains("level=info") && line.contains(&key));
        assert_eq!(told.count(), 1, "{printed}");
    }
    let wrong = ask();
    let key = wrong.key.clone().expect("a key");
    let answer = Caller::new("nobody's key")
        .ask(fleet.router(0), &wrong)
        .await;
    assert_eq!(answer.status, 401);
    let line = line(&fleet, &["event=request.refused", &key]).await;
    for part in ["workspace=- ", "outcome=not-run ", "kind=unauthenticated "] {
        assert!(line.contains(part), "{part}: {line}");
    }
}
