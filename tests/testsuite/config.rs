//! A configuration is in force on every process within 5 s of its acceptance and never reverts,
//! despite racing operators, restarts, broken links and a truncated log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use swiftlink_testkit::caller::ChatRequest;
use swiftlink_testkit::fleet::{Daemon, Fleet, MODEL, Operator, change};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::spare;
use swiftlink_testkit::until::until;
use swiftlink_testkit::versions::Versions;

use crate::support::{binaries, new_key, plan, send};

/// Longest time until an accepted configuration is in force on every process.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Age over which a router counts its configuration as stale (ms).
const STALE_MS: u64 = 1_500;

fn daemons(fleet: &Fleet) -> impl Iterator<Item = &Daemon> {
    let operator = std::iter::once(&fleet.operator);
    fleet.routers.iter().chain(&fleet.ledgers).chain(operator)
}

fn class(name: &str, queue: u64) -> Value {
    change("class", name, json!({ "queue": queue }))
}

/// Applies one change and checks the time until it is in force on all `chosen`.
async fn check_propagation(
    versions: &Versions,
    api: &Operator,
    queue: u64,
    chosen: impl Fn(&str) -> bool,
) -> (u64, Duration) {
    let version = api.apply(vec![class("standard", queue)]).await;
    let version = version.expect("the change is accepted");
    let accepted = Instant::now();
    let reached = versions.reach(version, accepted, chosen).await;
    let (time, last) = reached.expect("the version is in force everywhere");
    assert!(time <= PROPAGATION_LIMIT, "{last} took {time:?}");
    (version, time)
}

/// Returns a change set that names its base version and includes a second change.
fn racing(base: u64, racer: usize, race: u64) -> Vec<Value> {
    let mut first = class("standard", race * 10 + racer as u64 + 1);
    first["base"] = json!(base);
    vec![first, class(&format!("race-{race}-{racer}"), 1)]
}

async fn get(api: &Operator, path: &str) -> Option<Value> {
    let reply = api.call(Method::GET, path, &Value::Null).await.ok()?;
    reply.status.is_success().then(|| reply.json())
}

/// Two operators change the same class from the same version: exactly one succeeds, and
/// no change of the rejected set is in force.
async fn race(apis: &[Operator; 2], number: u64) -> u64 {
    let class = until("the class", async || {
        get(&apis[0], "/v1/resources/class/standard").await
    });
    let class = class.await.expect("it is declared");
    let base = class["version"].as_u64().expect("a version");
    let (one, two) = tokio::join!(
        apis[0].try_apply(racing(base, 0, number)),
        apis[1].try_apply(racing(base, 1, number)),
    );
    let replies = [one, two].map(|reply| reply.expect("an answer"));
    let won: Vec<usize> = (0..2)
        .filter(|at| replies[*at].status.is_success())
        .collect();
    let told = replies.each_ref().map(|reply| (reply.status, reply.json()));
    assert_eq!(won.len(), 1, "exactly one set is accepted: {told:?}");
    let (winner, loser) = (won[0], 1 - won[0]);
    assert_eq!(replies[loser].status, 409, "{told:?}");
    let version = replies[winner].json()["version"].as_u64();
    let path = |racer| format!("/v1/resources/class/race-{number}-{racer}");
    let beside = until("the accepted set", async || {
        get(&apis[0], &path(winner)).await
    });
    beside.await.expect("the change set is applied completely");
    let none = get(&apis[0], &path(loser)).await;
    assert!(none.is_none(), "the rejected set is in force: {none:?}");
    version.expect("a version")
}

async fn propagate_to_eight_vms(mut draw: SeededRng) {
    let plan = plan().vms(8, 4).engines(1).services(0);
    let mut fleet = plan.start().await.expect("the fleet starts");
    let spare = spare::operator(&fleet, &binaries(), "operator-1").await;
    let (second, api) = spare.expect("a second operator");
    let apis = [fleet.api.clone(), api];
    let versions = Versions::watch(daemons(&fleet).chain([&second]));
    let mut slowest = Duration::ZERO;
    for step in 0..8_usize {
        let queue = 100 + step as u64;
        let (_version, time) = check_propagation(&versions, &apis[step % 2], queue, |_| true).await;
        slowest = slowest.max(time);
    }
    say(&format!(
        "config: 8 VMs, in force on all 18 processes {slowest:?} after acceptance at the latest"
    ));
    for number in 0..6 {
        let version = race(&apis, number).await;
        let reached = versions.reach(version, Instant::now(), |_| true).await;
        let (time, last) = reached.expect("the version is in force everywhere");
        assert!(time <= PROPAGATION_LIMIT, "{last} took {time:?}");
    }
    restarts(&mut fleet, &versions, &apis[1], &mut draw).await;
    assert_eq!(versions.regressions(), Vec::<String>::new());
}

/// A router, a ledger and the operator restart with empty storage. A change accepted
/// meanwhile is in force on the others in time, and on these once they are ready.
async fn restarts(fleet: &mut Fleet, versions: &Versions, api: &Operator, draw: &mut SeededRng) {
    let (router, ledger) = (draw.index(8), draw.index(8));
    let replaced = [
        format!("router-{router}"),
        format!("ledger-{ledger}"),
        "operator".to_owned(),
    ];
    let begun = Instant::now();
    let daemons = [
        &mut fleet.routers[router],
        &mut fleet.ledgers[ledger],
        &mut fleet.operator,
    ];
    for daemon in daemons {
        versions.replace(daemon).expect("the process restarts");
    }
    let stayed = |name: &str| replaced.iter().all(|replaced| replaced != name);
    let (version, _time) = check_propagation(versions, api, 500, stayed).await;
    let reached = versions.reach(version, begun, |_| true).await;
    let (time, last) = reached.expect("the restarted processes become current");
    say(&format!(
        "config: {last} current {time:?} after its restart"
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_within_its_limit() {
    rounds(
        "a_configuration_is_in_force_everywhere_within_its_limit",
        propagate_to_eight_vms,
    )
    .await;
}

/// A ledger and an operator without a link to the log follow their peers; a router whose
/// only ledger is behind keeps its configuration.
async fn follow_peers_without_log(_draw: SeededRng) {
    let plan = plan().relayed().engines(1).services(0);
    let plan = plan.router(json!({ "stale_ms": STALE_MS }));
    let fleet = plan.start().await.expect("the fleet starts");
    let spare = spare::operator(&fleet, &binaries(), "operator-1").await;
    let (second, api) = spare.expect("a second operator");
    let versions = Versions::watch(daemons(&fleet).chain([&second]));
    let is_cut = |from: &str| from == "ledger-2" || from == "operator";
    let count = fleet.net.cut_where(|from, to| is_cut(from) && to == "log");
    assert_eq!(count, 2, "two links to cut");
    for queue in [10, 11, 12] {
        let (_version, time) = check_propagation(&versions, &api, queue, |_| true).await;
        say(&format!(
            "config: in force {time:?} after acceptance, a ledger and an operator cut from the log"
        ));
    }
    // Without any source of updates the ledger falls behind.
    fleet
        .net
        .cut_where(|from, to| from == "ledger-2" && to != "router-2");
    let (version, _time) = check_propagation(&versions, &api, 13, |name| name != "ledger-2").await;
    assert!(versions.of("ledger-2") < version, "the ledger is behind");
    fleet
        .net
        .cut_where(|from, to| from == "router-2" && to != "ledger-2");
    let stale = fleet.routers[2].status_until(Duration::from_secs(30), "age", |status| {
        status["version_age_ms"].as_u64() > Some(2 * STALE_MS)
    });
    let status = stale
        .await
        .expect("the router reports a stale configuration");
    assert_eq!(status["version"], version, "it keeps what it has");
    let answer = fleet.caller(0).ask(fleet.router(2), &ask()).await;
    assert_eq!(answer.slug().as_deref(), Some("unavailable"), "{answer:?}");
    assert_eq!(answer.outcome.as_deref(), Some("not-run"), "{answer:?}");
    fleet.net.heal();
    let reached = versions.reach(version, Instant::now(), |_| true).await;
    reached.expect("all are current again");
    assert_eq!(versions.regressions(), Vec::<String>::new());
}

fn ask() -> ChatRequest {
    ChatRequest::new(MODEL, "who owned parcel 7? tokens=4").with_key(&new_key())
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_cut_from_the_log_stay_current() {
    rounds(
        "processes_cut_from_the_log_stay_current",
        follow_peers_without_log,
    )
    .await;
}

/// Records after which a ledger writes a snapshot, and records that the log retains.
const SNAPSHOT_EVERY: u64 = 20;
const RETAIN: u64 = 60;

/// Waits until the log has only complete snapshots and no stream's first record.
async fn wait_for_truncation(fleet: &Fleet, recorder: &Recorder, versions: &Versions) -> u64 {
    let mut version = 0;
    let mut queue = 0;
    let forgotten = until("streams longer than the log retains", async || {
        queue += 1;
        version = check_propagation(versions, &fleet.api, queue, |_| true)
            .await
            .0;
        for router in 0..fleet.routers.len() {
            send(fleet, recorder, 0, router, &ask()).await;
        }
        let streams = fleet.log.get("/_standin/streams").await.ok()?;
        let all = streams.as_object()?;
        let first = |name: &str| all.get(name).and_then(|bounds| bounds[0].as_u64());
        let shard = swiftlink_budget::shard_of("lannec", fleet.shards());
        let budget = swiftlink_budget::stream_of(shard).to_string();
        (first("config") > Some(0) && first(&budget) > Some(0)).then_some(())
    });
    forgotten.await.expect("the log is truncated");
    version
}

async fn start_after_truncation(_draw: SeededRng) {
    let plan = plan().engines(1).services(0);
    let plan = plan.ledger(json!({ "snapshot_every": SNAPSHOT_EVERY }));
    let mut fleet = plan.start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let log = fleet.log.set(json!({ "retain": RETAIN }));
    log.await.expect("the switch is set");
    let versions = Versions::watch(daemons(&fleet));
    let version = wait_for_truncation(&fleet, &recorder, &versions).await;
    let begun = Instant::now();
    for daemon in [
        &mut fleet.ledgers[0],
        &mut fleet.routers[0],
        &mut fleet.operator,
    ] {
        versions.replace(daemon).expect("the process restarts");
    }
    let reached = versions.reach(version, begun, |_| true).await;
    let (time, last) = reached.expect("it is current from the snapshot");
    say(&format!(
        "config: {last} current {time:?} after its start from a snapshot"
    ));
    fleet.routers[0]
        .ready()
        .await
        .expect("the router joins again");
    let answer = send(&fleet, &recorder, 0, 0, &ask()).await;
    assert!(answer.is_served(), "{answer:?}");
    assert_eq!(versions.regressions(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_vm_is_ready_after_the_log_forgot() {
    rounds(
        "a_new_vm_is_ready_after_the_log_forgot",
        start_after_truncation,
    )
    .await;
}
