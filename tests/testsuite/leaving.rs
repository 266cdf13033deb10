//! A leaving backend server gets no new work within 3 s of the first signal: each of
//! the three signals alone, counted at the server itself.

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

/// The promise: no new work later than this after the first signal.
const BOUND: Duration = Duration::from_secs(3);
/// How long new work is looked for after that.
const WINDOW: Duration = Duration::from_millis(1_500);
/// Between two looks at the servers.
const LOOK: Duration = Duration::from_millis(10);

/// One server that leaves, and one of the same pool that stays.
struct Pair {
    leaves: &'static str,
    stays: &'static str,
}

const PAIRS: [Pair; 2] = [
    Pair {
        leaves: "engine-0",
        stays: "engine-1",
    },
    Pair {
        leaves: "service-0",
        stays: "service-1",
    },
];

/// Requests that each server has seen.
type Seen = BTreeMap<String, u64>;

fn servers(fleet: &Fleet) -> impl Iterator<Item = &Standin> {
    fleet.engines.iter().chain(&fleet.services)
}

fn server<'a>(fleet: &'a Fleet, name: &str) -> &'a Standin {
    let mut all = servers(fleet);
    let found = all.find(|server| server.process.name() == name);
    found.expect("the fleet has it")
}

async fn seen(fleet: &Fleet) -> Seen {
    let mut seen = Seen::new();
    for server in servers(fleet) {
        let runs = server.runs().await.expect("the server answers");
        let sum = runs.iter().map(|run| run.seen).sum();
        seen.insert(server.process.name().to_owned(), sum);
    }
    seen
}

/// Looks until `BOUND + WINDOW` after `signal`; checks that what leaves sees nothing
/// in the window while the others do, and prints when it last saw something.
async fn watch(fleet: &Fleet, what: &str, signal: Instant) {
    let mut last = BTreeMap::new();
    let mut before = seen(fleet).await;
    let mut at_bound = None;
    while signal.elapsed() < BOUND + WINDOW {
        let begun = signal.elapsed();
        let now = seen(fleet).await;
        for pair in &PAIRS {
            if now[pair.leaves] > before[pair.leaves] {
                last.insert(pair.leaves, signal.elapsed());
            }
        }
        before = now.clone();
        // The count must be one that was read wholly after the bound.
        if begun >= BOUND && at_bound.is_none() {
            at_bound = Some(now);
        }
        tokio::time::sleep(LOOK).await;
    }
    let at_bound = at_bound.expect("the window is longer than a look");
    let end = seen(fleet).await;
    for Pair { leaves, stays } in &PAIRS {
        let time = last.get(leaves).copied().unwrap_or_default();
        say(&format!(
            "leaving: {what}: {leaves} last saw new work {time:?} after the signal"
        ));
        assert_eq!(
            at_bound[*leaves], end[*leaves],
            "{what}: new work at {leaves}"
        );
        assert!(at_bound[*stays] < end[*stays], "{what}: none at {stays}");
    }
}

/// What a router knows of a server, by its dump.
async fn is_leaving(fleet: &Fleet, router: usize, name: &str) -> Option<bool> {
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

/// Waits until every router knows whether the servers of all pairs are leaving.
async fn all_know(fleet: &Fleet, leaving: bool) {
    for router in 0..fleet.routers.len() {
        for pair in &PAIRS {
            let known = until("the routers to know", async || {
                let known = is_leaving(fleet, router, pair.leaves).await?;
                (known == leaving).then_some(())
            });
            known.await.expect("they know in the end");
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
        let leaves = PAIRS.iter().any(|pair| pair.leaves == name);
        let state = if leaves { state } else { Some("live") };
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
        let address = server(fleet, pair.leaves).address();
        let spec = json!({
            "pool": pool, "address": address, "domain": "domain-0",
            "vm": pair.leaves, "drain": drain,
        });
        changes.push(change("server", pair.leaves, spec));
    }
    fleet.api.apply(changes).await.expect("an apply");
}

async fn switch(fleet: &Fleet, switches: Value) {
    for pair in &PAIRS {
        let server = server(fleet, pair.leaves);
        server.set(switches.clone()).await.expect("a switch");
    }
}

/// A fleet with the product's own intervals, and callers at it.
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
        let seen = seen(&fleet).await;
        seen.values().all(|seen| *seen > 3).then_some(())
    });
    busy.await.expect("all servers get work");
    (fleet, recorder, traffic)
}

/// Nobody was refused for the sake of the server that left.
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
        // `apply` has answered: the change is accepted.
        watch(&fleet, "resource set to drain", Instant::now()).await;
        end(&fleet, &recorder, traffic).await;
    };
    rounds("a_drained_server_gets_no_new_work", history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_on_a_leaving_vm_gets_no_new_work() {
    let history = async |mut draw: SeededRng| {
        let (fleet, recorder, traffic) = begin(&mut draw).await;
        list(&fleet, Some("leaving")).await;
        watch(&fleet, "VM listed as leaving", Instant::now()).await;
        list(&fleet, Some("live")).await;
        all_know(&fleet, false).await;
        list(&fleet, None).await;
        watch(&fleet, "VM gone from the list", Instant::now()).await;
        end(&fleet, &recorder, traffic).await;
    };
    rounds("a_server_on_a_leaving_vm_gets_no_new_work", history).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_so_gets_no_new_work() {
    let history = async |mut draw: SeededRng| {
        let (fleet, recorder, traffic) = begin(&mut draw).await;
        // It would still take work, so that the count shows what it is sent.
        switch(&fleet, json!({ "told_draining": true })).await;
        watch(&fleet, "its load report", Instant::now()).await;
        switch(&fleet, json!({ "told_draining": false })).await;
        all_know(&fleet, false).await;
        switch(&fleet, json!({ "draining": true })).await;
        let signal = Instant::now();
        all_know(&fleet, true).await;
        let time = signal.elapsed();
        say(&format!(
            "leaving: its refusal: all routers knew after {time:?}"
        ));
        end(&fleet, &recorder, traffic).await;
    };
    rounds("a_server_that_says_so_gets_no_new_work", history).await;
}
