//! Every `not-run` is true: one history with all kinds of faults, in which each key is
//! tried once, so that no other try can account for a run or a charge.

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

/// Number of refusals of the wanted kind that end a phase.
const REFUSALS_PER_PHASE: usize = 4;
/// Index of the tenant whose budget is too small for any request.
const POOR: usize = 1;
/// Interval between two cuts of the links to the backend servers.
const FLAP_INTERVAL: Duration = Duration::from_millis(200);
/// Age over which the configuration counts as stale (ms).
const STALE_MS: u64 = 1_500;

/// A fleet with the answers that its callers received.
struct Scenario {
    fleet: Fleet,
    recorder: Arc<Recorder>,
    draw: SeededRng,
    told: Vec<AttemptRecord>,
}

impl Scenario {
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

    /// Runs callers of `mix` until enough answers have `slug` and `outcome`.
    async fn phase(&mut self, mix: &TrafficOptions, slug: &str, outcome: &str) {
        let traffic = Traffic::start(&self.fleet, &self.recorder, &mut self.draw, mix);
        let what = format!("refusals {slug} {outcome}");
        let seen = until(&what, async || {
            let told = traffic.attempts();
            let wanted = told
                .iter()
                .filter(|told| has_outcome(&told.answer, slug, outcome));
            (wanted.count() >= REFUSALS_PER_PHASE).then_some(())
        });
        let seen = seen.await;
        let told = traffic.stop().await;
        assert!(seen.is_ok(), "{what}: {:?}", counts(&told));
        say(&format!("refusals: {:?}", counts(&told)));
        self.told.extend(told);
    }

    /// As [`Scenario::phase`], while the links to the backend servers are cut repeatedly.
    async fn flapping(&mut self, mix: &TrafficOptions, slug: &str, outcome: &str) {
        let net = std::mem::take(&mut self.fleet.net);
        let flap = async {
            loop {
                tokio::time::sleep(FLAP_INTERVAL).await;
                net.cut_where(|from, _to| from == "routers");
                tokio::time::sleep(FLAP_INTERVAL / 10).await;
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

    async fn set_servers(&self, switches: Value) {
        for standin in self.fleet.engines.iter().chain(&self.fleet.services) {
            let set = standin.set(switches.clone()).await;
            set.expect("the switch is set");
        }
    }

    async fn apply(&self, changes: Vec<Value>) {
        let version = self
            .fleet
            .api
            .apply(changes)
            .await
            .expect("the change is applied");
        let in_force = self.fleet.wait_for_version(version).await;
        in_force.expect("the configuration gets everywhere");
    }

    /// Moves all backend servers to addresses without a listener.
    async fn make_unreachable(&self) {
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

fn has_outcome(answer: &Answer, slug: &str, outcome: &str) -> bool {
    answer.slug().as_deref() == Some(slug) && answer.outcome.as_deref() == Some(outcome)
}

/// Counts the answers by status, slug and outcome.
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

/// Checks that every refusal has an outcome, and a retry time where it is temporary.
fn check_refusals(told: &[AttemptRecord]) {
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

/// Checks that no server and no charge has a key whose answer was `not-run`.
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
        let mut scenario = Scenario::begin(draw).await;
        overload(&mut scenario).await;
        losses(&mut scenario).await;
        servers(&mut scenario).await;
        outages(&mut scenario).await;
        stopping(&mut scenario).await;
        check_refusals(&scenario.told);
        let history = check_all(&scenario.fleet, scenario.recorder.calls()).await;
        check_not_run(&scenario.told, &history);
    })
    .await;
}

async fn overload(scenario: &mut Scenario) {
    let mix = TrafficOptions::new();
    let poor = TrafficOptions {
        tenant: POOR,
        ..mix.clone()
    };
    scenario.phase(&poor, "no-budget", "not-run").await;
    let queue = change("class", "standard", json!({ "queue": 2 }));
    scenario.apply(vec![queue]).await;
    for engine in &scenario.fleet.engines {
        let slow = json!({ "slots": 1, "pace_ms": 30 });
        engine.set(slow).await.expect("the switch is set");
    }
    let many = TrafficOptions {
        callers: 32,
        service: 0,
        ..mix
    };
    scenario.phase(&many, "overloaded", "not-run").await;
    for engine in &scenario.fleet.engines {
        let usual = json!({ "slots": 32, "pace_ms": 0 });
        engine.set(usual).await.expect("the switch is set");
    }
    let queue = change("class", "standard", json!({}));
    scenario.apply(vec![queue]).await;
}

/// Loses answers after the work has begun: late, cut off or never sent.
async fn losses(scenario: &mut Scenario) {
    let mix = TrafficOptions::new();
    scenario.set_servers(json!({ "delay_ms": 400 })).await;
    let late = TrafficOptions {
        deadline_ms: Some(150),
        service: 0,
        ..mix.clone()
    };
    scenario.phase(&late, "server-failed", "unknown").await;
    scenario.set_servers(json!({ "delay_ms": 0 })).await;
    for service in &scenario.fleet.services {
        service
            .set(json!({ "run_ms": 300 }))
            .await
            .expect("the run time is set");
    }
    let cut = TrafficOptions {
        service: 100,
        ..mix.clone()
    };
    scenario.flapping(&cut, "server-failed", "unknown").await;
    for service in &scenario.fleet.services {
        service
            .set(json!({ "run_ms": 0 }))
            .await
            .expect("the run time is set");
    }
    let hasty = TrafficOptions {
        deadline_ms: Some(2),
        ..mix
    };
    scenario.phase(&hasty, "server-failed", "unknown").await;
}

async fn servers(scenario: &mut Scenario) {
    let mix = TrafficOptions::new();
    scenario.set_servers(json!({ "lose_answers": 0.7 })).await;
    scenario.phase(&mix, "server-failed", "unknown").await;
    scenario.set_servers(json!({ "lose_answers": 0.0 })).await;
    scenario.set_servers(json!({ "fail_fast": true })).await;
    scenario.phase(&mix, "server-failed", "unknown").await;
    scenario.set_servers(json!({ "fail_fast": false })).await;
    scenario.set_servers(json!({ "draining": true })).await;
    scenario.phase(&mix, "no-server", "not-run").await;
    scenario.set_servers(json!({ "draining": false })).await;
}

async fn outages(scenario: &mut Scenario) {
    let mix = TrafficOptions::new();
    let log = scenario.fleet.log.set(json!({ "outage": true }));
    log.await.expect("the switch is set");
    scenario.phase(&mix, "log-out", "not-run").await;
    let log = scenario.fleet.log.set(json!({ "outage": false }));
    log.await.expect("the switch is set");
    scenario.fleet.net.cut("router-1");
    let patient = TrafficOptions {
        deadline_ms: Some(3_000),
        ..mix.clone()
    };
    scenario.phase(&patient, "unavailable", "not-run").await;
    scenario.fleet.net.heal();
    scenario.make_unreachable().await;
    scenario.phase(&mix, "no-server", "not-run").await;
}

/// Stops a router. All servers are unreachable by now except one, whose slow answer
/// delays the stop.
async fn stopping(scenario: &mut Scenario) {
    let slow = &scenario.fleet.engines[0];
    slow.set(json!({ "pace_ms": 200 }))
        .await
        .expect("the switch is set");
    let back = server(MODEL, "engine-0", slow.address(), "domain-0");
    scenario.apply(vec![back]).await;
    let ask = ChatRequest::new(MODEL, "held until all is told tokens=50").with_key(&new_key());
    let ask = ask.streamed();
    let begun = scenario.recorder.tick();
    let caller = scenario.fleet.caller(0);
    let router = scenario.fleet.router(2);
    let held = until("a stream", async || caller.begin(router, &ask).await.ok());
    let held = held.await.expect("the slow engine serves");
    scenario.fleet.routers[2].process.terminate();
    scenario
        .phase(&TrafficOptions::new(), "unavailable", "not-run")
        .await;
    let answer = held.finish().await;
    assert!(answer.is_served(), "{answer:?}");
    let sent = sent(&scenario.fleet, 0, &ask);
    scenario
        .recorder
        .note(sent, begun, CallOutcome::from(&answer));
}
