//! "Not run" is true: one history through every kind of trouble, in which each key
//! is tried once, so that no other try can explain a run or a charge.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use swiftlink_testkit::caller::{Answer, ChatRequest};
use swiftlink_testkit::checker::{Accounts, CallOutcome, History};
use swiftlink_testkit::fleet::{Fleet, MODEL, SERVICE, Tenant, change, server};
use swiftlink_testkit::port;
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::traffic::{AttemptRecord, Traffic, TrafficOptions};
use swiftlink_testkit::until::until;

use crate::support::{check_all, new_key, plan, sent};

/// Refusals of the wanted kind that end a phase.
const ENOUGH: usize = 4;
/// Tenant whose budget is too small for any request.
const POOR: usize = 1;
/// Time between two cuts of the links to the backend servers.
const FLAP: Duration = Duration::from_millis(200);
/// Age over which the configuration counts as stale (ms).
const STALE_MS: u64 = 1_500;

/// One history and what was told in it.
struct Story {
    fleet: Fleet,
    recorder: Arc<Recorder>,
    draw: SeededRng,
    told: Vec<AttemptRecord>,
}

impl Story {
    async fn begin(draw: SeededRng) -> Self {
        let tenants = vec![Tenant::new("lannec", 1_000_000), Tenant::new("poor", 3)];
        let plan = plan().tenants(tenants).relayed();
        let plan = plan.router(json!({ "stale_ms": STALE_MS, "intent_wait_ms": 500 }));
        Self {
            fleet: plan.start().await.expect("the fleet starts"),
            recorder: Arc::default(),
            draw,
            told: Vec::new(),
        }
    }

    /// Callers of `mix` until enough of them were told `slug` with `outcome`.
    async fn phase(&mut self, mix: &TrafficOptions, slug: &str, outcome: &str) {
        let traffic = Traffic::start(&self.fleet, &self.recorder, &mut self.draw, mix);
        let what = format!("refusals {slug} {outcome}");
        let seen = until(&what, async || {
            let told = traffic.attempts();
            let wanted = told.iter().filter(|told| is(&told.answer, slug, outcome));
            (wanted.count() >= ENOUGH).then_some(())
        });
        let seen = seen.await;
        let told = traffic.stop().await;
        assert!(seen.is_ok(), "{what}: {:?}", counts(&told));
        say(&format!("refusals: {:?}", counts(&told)));
        self.told.extend(told);
    }

    /// As [`Story::phase`], while the links to the backend servers are cut again and again.
    async fn flapping(&mut self, mix: &TrafficOptions, slug: &str, outcome: &str) {
        let net = std::mem::take(&mut self.fleet.net);
        let flap = async {
            loop {
                tokio::time::sleep(FLAP).await;
                net.cut_where(|from, _to| from == "routers");
                tokio::time::sleep(FLAP / 10).await;
                net.heal();
            }
        };
        tokio::select! {
            () = self.phase(mix, slug, outcome) => {}
            () = flap => {}
        }
        net.heal();
        self.fleet.net = net;
    }

    async fn backends(&self, switches: Value) {
        for standin in self.fleet.engines.iter().chain(&self.fleet.services) {
            let set = standin.set(switches.clone()).await;
            set.expect("a switch");
        }
    }

    async fn apply(&self, changes: Vec<Value>) {
        let version = self.fleet.api.apply(changes).await.expect("an apply");
        let in_force = self.fleet.wait_for_version(version).await;
        in_force.expect("the configuration gets everywhere");
    }

    /// Declares all backend servers at addresses that nothing listens on.
    async fn take_down(&self) {
        let mut changes = Vec::new();
        for (pool, standins) in [
            (MODEL, &self.fleet.engines),
            (SERVICE, &self.fleet.services),
        ] {
            for standin in standins {
                let name = standin.process.name();
                changes.push(server(pool, name, port::reserve(), "domain-0"));
            }
        }
        self.apply(changes).await;
    }
}

fn is(answer: &Answer, slug: &str, outcome: &str) -> bool {
    answer.slug().as_deref() == Some(slug) && answer.outcome.as_deref() == Some(outcome)
}

/// Number of answers by status, kind of refusal and outcome.
fn counts(told: &[AttemptRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for told in told {
        let answer = &told.answer;
        let slug = answer.slug().unwrap_or_default();
        let outcome = answer.outcome.as_deref().unwrap_or("none");
        let place = format!("{} {slug} {outcome}", answer.status);
        *counts.entry(place).or_default() += 1;
    }
    counts
}

/// Every refusal says what is known, and those that pass say when to come back.
fn check_forms(told: &[AttemptRecord]) {
    for AttemptRecord { key, answer, .. } in told {
        if answer.status < 400 || answer.slug().is_none() {
            continue;
        }
        let outcome = answer.outcome.as_deref();
        assert!(
            matches!(outcome, Some("not-run" | "unknown")),
            "{key}: {answer:?}"
        );
        let passes = matches!(answer.status, 429 | 503) && outcome == Some("not-run");
        if !passes {
            continue;
        }
        let after = answer.header("retry-after");
        let after = after.and_then(|text| text.parse::<u64>().ok());
        assert!(after.is_some_and(|secs| secs > 0), "{key}: {answer:?}");
    }
}

/// No server saw, and no charge names, a key that was told `not-run`.
fn check_not_run(told: &[AttemptRecord], history: &History) {
    let accounts = Accounts::fold(&history.streams);
    for AttemptRecord { key, answer, .. } in told {
        if answer.outcome.as_deref() != Some("not-run") {
            continue;
        }
        let run = history.runs.iter().find(|run| run.key == *key);
        assert!(run.is_none(), "{answer:?}: {run:?}");
        let mut charges = accounts.charges.keys();
        assert!(!charges.any(|(_, charged)| charged == key), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_that_say_not_run_are_true() {
    rounds("refusals_that_say_not_run_are_true", async |draw| {
        let mut story = Story::begin(draw).await;
        overload(&mut story).await;
        losses(&mut story).await;
        servers(&mut story).await;
        outages(&mut story).await;
        stopping(&mut story).await;
        check_forms(&story.told);
        let history = check_all(&story.fleet, story.recorder.calls()).await;
        check_not_run(&story.told, &history);
    })
    .await;
}

async fn overload(story: &mut Story) {
    let mix = TrafficOptions::new();
    let poor = TrafficOptions {
        tenant: POOR,
        ..mix.clone()
    };
    story.phase(&poor, "no-budget", "not-run").await;
    let queue = change("class", "standard", json!({ "queue": 2 }));
    story.apply(vec![queue]).await;
    for engine in &story.fleet.engines {
        let slow = json!({ "slots": 1, "pace_ms": 30 });
        engine.set(slow).await.expect("a switch");
    }
    let many = TrafficOptions {
        callers: 32,
        service: 0,
        ..mix
    };
    story.phase(&many, "overloaded", "not-run").await;
    for engine in &story.fleet.engines {
        let usual = json!({ "slots": 32, "pace_ms": 0 });
        engine.set(usual).await.expect("a switch");
    }
    let queue = change("class", "standard", json!({}));
    story.apply(vec![queue]).await;
}

/// Answers that are lost after the work has begun: late, cut, or never given.
async fn losses(story: &mut Story) {
    let mix = TrafficOptions::new();
    story.backends(json!({ "delay_ms": 400 })).await;
    let late = TrafficOptions {
        deadline_ms: Some(150),
        service: 0,
        ..mix.clone()
    };
    story.phase(&late, "server-failed", "unknown").await;
    story.backends(json!({ "delay_ms": 0 })).await;
    for service in &story.fleet.services {
        service.set(json!({ "run_ms": 300 })).await.expect("a time");
    }
    let cut = TrafficOptions {
        service: 100,
        ..mix.clone()
    };
    story.flapping(&cut, "server-failed", "unknown").await;
    for service in &story.fleet.services {
        service.set(json!({ "run_ms": 0 })).await.expect("a time");
    }
    let hasty = TrafficOptions {
        deadline_ms: Some(2),
        ..mix
    };
    story.phase(&hasty, "server-failed", "unknown").await;
}

async fn servers(story: &mut Story) {
    let mix = TrafficOptions::new();
    story.backends(json!({ "lose_answers": 0.7 })).await;
    story.phase(&mix, "server-failed", "unknown").await;
    story.backends(json!({ "lose_answers": 0.0 })).await;
    story.backends(json!({ "fail_fast": true })).await;
    story.phase(&mix, "server-failed", "unknown").await;
    story.backends(json!({ "fail_fast": false })).await;
    story.backends(json!({ "draining": true })).await;
    story.phase(&mix, "no-server", "not-run").await;
    story.backends(json!({ "draining": false })).await;
}

async fn outages(story: &mut Story) {
    let mix = TrafficOptions::new();
    let log = story.fleet.log.set(json!({ "outage": true }));
    log.await.expect("a switch");
    story.phase(&mix, "log-out", "not-run").await;
    let log = story.fleet.log.set(json!({ "outage": false }));
    log.await.expect("a switch");
    story.fleet.net.cut("router-1");
    let patient = TrafficOptions {
        deadline_ms: Some(3_000),
        ..mix.clone()
    };
    story.phase(&patient, "unavailable", "not-run").await;
    story.fleet.net.heal();
    story.take_down().await;
    story.phase(&mix, "no-server", "not-run").await;
}

/// The servers are down by now, but for one whose slow answer holds a stop up.
async fn stopping(story: &mut Story) {
    let slow = &story.fleet.engines[0];
    slow.set(json!({ "pace_ms": 200 })).await.expect("a switch");
    let back = server(MODEL, "engine-0", slow.address(), "domain-0");
    story.apply(vec![back]).await;
    let ask = ChatRequest::new(MODEL, "held until all is told tokens=50").with_key(&new_key());
    let ask = ask.streamed();
    let begun = story.recorder.tick();
    let caller = story.fleet.caller(0);
    let router = story.fleet.router(2);
    let held = until("a stream", async || caller.begin(router, &ask).await.ok());
    let held = held.await.expect("the slow engine serves");
    story.fleet.routers[2].process.terminate();
    story
        .phase(&TrafficOptions::new(), "unavailable", "not-run")
        .await;
    let answer = held.finish().await;
    assert!(answer.is_served(), "{answer:?}");
    let sent = sent(&story.fleet, 0, &ask);
    story.recorder.note(sent, begun, CallOutcome::from(&answer));
}
