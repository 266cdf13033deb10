//! A draining backend server gets no new work within 3 s of the first signal. Each of the
//! three signals is tested alone; the servers themselves count requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use swiftlink_testkit::fleet::{Fleet, MODEL, SERVICE, Standin, change};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::traffic::{Traffic, TrafficOptions};
use swiftlink_testkit::until::until;

use crate::support::{check_all, plan};

/// Longest time from the first signal to the last new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time after the limit in which no new work may arrive.
const WINDOW: Duration = Duration::from_millis(1_500);
/// Interval between two polls of the servers.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A server that drains, and one of the same pool that keeps serving.
struct Pair {
    draining: &'static str,
    serving: &'static str,
}

const PAIRS: [Pair; 2] = [
    Pair {
        draining: "engine-0",
        serving: "engine-1",
    },
    Pair {
        draining: "service-0",
        serving: "service-1",
    },
];

/// Number of requests that each server received.
type RequestCounts = BTreeMap<String, u64>;

fn servers(fleet: &Fleet) -> impl Iterator<Item = &Standin> {
    fleet.engines.iter().chain(&fleet.services)
}

fn server<'a>(fleet: &'a Fleet, name: &str) -> &'a Standin {
    let mut all = servers(fleet);
    let found = all.find(|server| server.process.name() == name);
    found.expect("the fleet has the server")
}

async fn request_counts(fleet: &Fleet) -> RequestCounts {
    let mut counts = RequestCounts::new();
    for server in servers(fleet) {
        let runs = server.runs().await.expect("the server answers");
        let sum = runs.iter().map(|run| run.seen).sum();
        counts.insert(server.process.name().to_owned(), sum);
    }
    counts
}

/// Polls until `DRAIN_LIMIT + WINDOW` after `signal`; checks that draining servers receive
/// nothing in the window while the others do, and prints the time of the last new work.
async fn watch(fleet: &Fleet, what: &str, signal: Instant) {
    let mut last = BTreeMap::new();
    let mut before = request_counts(fleet).await;
    let mut at_limit = None;
    while signal.elapsed() < DRAIN_LIMIT + WINDOW {
        let begun = signal.elapsed();
        let now = request_counts(fleet).await;
        for pair in &PAIRS {
            if now[pair.draining] > before[pair.draining] {
                last.insert(pair.draining, signal.elapsed());
            }
        }
        before = now.clone();
        // The read of this count must begin after the limit.
        if begun >= DRAIN_LIMIT && at_limit.is_none() {
            at_limit = Some(now);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let at_limit = at_limit.expect("the window is longer than the poll interval");
    let end = request_counts(fleet).await;
    for Pair { draining, serving } in &PAIRS {
        let time = last.get(draining).copied().unwrap_or_default();
        say(&format!(
            "leaving: {what}: {draining} last saw new work {time:?} after the signal"
        ));
        assert_eq!(
            at_limit[*draining], end[*draining],
            "{what}: new work at {draining}"
        );
        assert!(
            at_limit[*serving] < end[*serving],
            "{what}: none at {serving}"
        );
    }
}

/// Returns from a router's dump whether it knows the server as draining.
async fn is_draining(fleet: &Fleet, router: usize, name: &str) -> Option<bool> {
    let dump = fleet.routers[router].dump().await?;
    for pool in dump["pools"].as_array()? {
        for server in pool["servers"].as_array()? {
            if server["name"] == name {
                return server["leaving"].as_bool();
            }
        }
    }
    None
}

/// Waits until every router reports `leaving` for the draining server of each pair.
async fn wait_until_known(fleet: &Fleet, leaving: bool) {
    for router in 0..fleet.routers.len() {
        for pair in &PAIRS {
            let known = until("the routers to report the state", async || {
                let known = is_draining(fleet, router, pair.draining).await?;
                (known == leaving).then_some(())
            });
            known.await.expect("every router learns the state");
        }
    }
}

async fn list(fleet: &Fleet, state: Option<&str>) {
    let mut vms = Vec::new();
    for vm in 0..fleet.routers.len() {
        let name = format!("vm-{vm}");
        vms.push(json!({ "name": name, "domain": "domain-0", "state": "live" }));
    }
    for server in servers(fleet) {
        let name = server.process.name();
        let draining = PAIRS.iter().any(|pair| pair.draining == name);
        let state = if draining { state } else { Some("live") };
        if let Some(state) = state {
            vms.push(json!({ "name": name, "domain": "domain-0", "state": state }));
        }
    }
    let body = json!({ "vms": vms });
    let set = fleet.vms.send(Method::POST, "/_standin/vms", body).await;
    set.expect("the list is set");
}

async fn drain(fleet: &Fleet, drain: bool) {
    let mut changes = Vec::new();
    for (pair, pool) in PAIRS.iter().zip([MODEL, SERVICE]) {
        let address = server(fleet, pair.draining).address();
        let spec = json!({
            "pool": pool, "address": address, "domain": "domain-0",
            "vm": pair.draining, "drain": drain,
        });
        changes.push(change("server", pair.draining, spec));
    }
    fleet
        .api
        .apply(changes)
        .await
        .expect("the change is applied");
}

async fn switch(fleet: &Fleet, switches: Value) {
    for pair in &PAIRS {
        let server = server(fleet, pair.draining);
        server
            .set(switches.clone())
            .await
            .expect("the switch is set");
    }
}

/// Starts a fleet with the default intervals, and load on it.
async fn begin(draw: &mut SeededRng) -> (Fleet, Arc<Recorder>, Traffic) {
    let plan = plan().engines(2).services(2);
    let fleet = plan.start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let mix = TrafficOptions {
        service: 50,
        ..TrafficOptions::new()
    };
    let traffic = Traffic::start(&fleet, &recorder, draw, &mix);
    let busy = until("work at all servers", async || {
        let counts = request_counts(&fleet).await;
        counts.values().all(|count| *count > 3).then_some(())
    });
    busy.await.expect("all servers get work");
    (fleet, recorder, traffic)
}

/// Checks that no caller was refused because of the draining server.
async fn end(fleet: &Fleet, recorder: &Recorder, traffic: Traffic) {
    for told in traffic.stop().await {
        assert!(told.answer.is_served(), "{told:?}");
    }
    check_all(fleet, recorder.calls()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_gets_no_new_work() {
    let history = async |mut draw: SeededRng| {
        let (fleet, recorder, traffic) = begin(&mut draw).await;
        drain(&fleet, true).await;
        // The change is accepted once `apply` has returned.
        watch(&fleet, "resource set to drain", Instant::now()).await;
        end(&fleet, &recorder, traffic).await;
    };
    rounds("a_drained_server_gets_no_new_work", history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_on_a_draining_vm_gets_no_new_work() {
    let history = async |mut draw: SeededRng| {
        let (fleet, recorder, traffic) = begin(&mut draw).await;
        list(&fleet, Some("leaving")).await;
        watch(&fleet, "VM listed as leaving", Instant::now()).await;
        list(&fleet, Some("live")).await;
        wait_until_known(&fleet, false).await;
        list(&fleet, None).await;
        watch(&fleet, "VM gone from the list", Instant::now()).await;
        end(&fleet, &recorder, traffic).await;
    };
    rounds("a_server_on_a_draining_vm_gets_no_new_work", history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_announces_draining_gets_no_new_work() {
    let history = async |mut draw: SeededRng| {
        let (fleet, recorder, traffic) = begin(&mut draw).await;
        // The server still accepts work, so its count shows what routers send.
        switch(&fleet, json!({ "told_draining": true })).await;
        watch(&fleet, "its load report", Instant::now()).await;
        switch(&fleet, json!({ "told_draining": false })).await;
        wait_until_known(&fleet, false).await;
        switch(&fleet, json!({ "draining": true })).await;
        let signal = Instant::now();
        wait_until_known(&fleet, true).await;
        let time = signal.elapsed();
        say(&format!(
            "leaving: its refusal: known to all routers after {time:?}"
        ));
        end(&fleet, &recorder, traffic).await;
    };
    rounds("a_server_that_announces_draining_gets_no_new_work", history).await;
}
