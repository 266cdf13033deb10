//! A VM is replaced with empty storage, and the quota of its router is released.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use swiftlink_budget::Fold;
use swiftlink_log::Fold as _;
use swiftlink_testkit::fleet::{Fleet, change};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::records;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::traffic::{Traffic, TrafficOptions};
use swiftlink_testkit::until::until;
use swiftlink_types::Incarnation;

use crate::support::{check_all, plan};

/// Index of the VM that dies.
const DEAD_VM: usize = 2;
/// Name of the budget.
const BUDGET: &str = "lannec";
/// Time for which quota must stay in quarantine.
const WATCH_TIME: Duration = Duration::from_secs(4);

/// Folds the budget's stream from the log.
async fn fold(fleet: &Fleet) -> Option<Fold> {
    let shard = swiftlink_budget::shard_of(BUDGET, fleet.shards());
    let name = swiftlink_budget::stream_of(shard).to_string();
    let records = records::read(fleet.log.address(), &name).await.ok()?;
    let mut fold = Fold::empty();
    for record in records {
        fold.apply(record.offset, &record.data);
    }
    Some(fold)
}

/// Router incarnations of the dead VM on the budget's stream.
#[derive(Debug, PartialEq, Eq)]
struct Incarnations {
    /// Epoch of the incarnation that may spend.
    active: Option<u64>,
    /// Number of incarnations whose quota is in quarantine.
    retired: usize,
}

async fn incarnations(fleet: &Fleet) -> Option<Incarnations> {
    let fold = fold(fleet).await?;
    let name = format!("vm-{DEAD_VM}");
    let is_dead = |incarnation: &Incarnation| incarnation.vm.as_str() == name;
    let active = fold.active();
    let active = active.iter().find(|router| is_dead(&router.incarnation));
    let retired = fold.retired();
    let retired = retired.iter().filter(|router| is_dead(&router.incarnation));
    Some(Incarnations {
        active: active.map(|router| router.incarnation.epoch),
        retired: retired.count(),
    })
}

/// Returns the router's unspent quota and its share of the budget.
async fn held(fleet: &Fleet) -> (u64, f64) {
    let dump = fleet.routers[DEAD_VM]
        .dump()
        .await
        .expect("the router answers");
    let mut held = 0;
    for grant in dump["grants"].as_array().expect("a list") {
        let field = |name: &str| grant[name].as_u64().unwrap_or(0);
        held += field("granted") - field("returned") - field("charged");
    }
    let prepaid = fleet.tenant(0).prepaid;
    (held, held as f64 / prepaid as f64)
}

async fn wait_for_answers(traffic: &Traffic) {
    let before = traffic.served();
    let served = until("answers", async || {
        (traffic.served() > before + 60).then_some(())
    });
    served.await.expect("the fleet serves");
}

/// Kills all processes of the VM with SIGKILL.
async fn kill_vm(fleet: &mut Fleet) -> Instant {
    let (held, share) = held(fleet).await;
    fleet.routers[DEAD_VM].process.kill();
    fleet.ledgers[DEAD_VM].process.kill();
    let percent = share * 100.0;
    say(&format!(
        "replace: the dead router held {held} tokens, {percent:.2} % of the budget"
    ));
    assert!(held > 0, "the dead router held quota");
    Instant::now()
}

async fn replaced(mut draw: SeededRng) {
    let mut fleet = plan().vms(4, 4).start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let mix = TrafficOptions {
        tries: 4,
        ..TrafficOptions::new()
    };
    let traffic = Traffic::start(&fleet, &recorder, &mut draw, &mix);
    wait_for_answers(&traffic).await;
    let died = kill_vm(&mut fleet).await;
    wait_for_answers(&traffic).await;
    let before = incarnations(&fleet).await.expect("the log answers");
    assert_eq!(before.retired, 0, "retired without proof of death");
    fleet.ledgers[DEAD_VM]
        .restart()
        .expect("the process starts");
    fleet.routers[DEAD_VM]
        .restart()
        .expect("the process starts");
    let begun = Instant::now();
    let back = until("the quota to be released", async || {
        let now = incarnations(&fleet).await?;
        (now.retired == 0 && now.active > before.active).then(|| begun.elapsed())
    });
    let back = back.await.expect("the successor proves the death");
    let dead = died.elapsed();
    say(&format!(
        "replace: quota released {back:?} after the successor's start, {dead:?} after the death"
    ));
    fleet.routers[DEAD_VM]
        .ready()
        .await
        .expect("the process is ready");
    fleet.ledgers[DEAD_VM]
        .ready()
        .await
        .expect("the process is ready");
    wait_for_answers(&traffic).await;
    traffic.stop().await;
    check_all(&fleet, recorder.calls()).await;
    let budget = fleet.api.budget_until(BUDGET, is_free_of_quarantine).await;
    budget.expect("nothing stays in quarantine");
}

fn is_free_of_quarantine(budget: &Value) -> bool {
    budget["quarantined"] == 0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_vm_releases_the_quota_of_its_predecessor() {
    rounds(
        "a_replaced_vm_releases_the_quota_of_its_predecessor",
        replaced,
    )
    .await;
}

/// Sets the VM list without the dead VM.
async fn remove_from_list(fleet: &Fleet) {
    let mut vms = Vec::new();
    for at in (0..fleet.routers.len()).filter(|at| *at != DEAD_VM) {
        let domain = format!("domain-{at}");
        vms.push(json!({ "name": format!("vm-{at}"), "domain": domain, "state": "live" }));
    }
    let body = json!({ "vms": vms });
    let set = fleet.vms.send(Method::POST, "/_standin/vms", body).await;
    set.expect("the list is set");
}

/// A VM that never comes back: its quota stays in quarantine while only a successor counts
/// as proof of death, and is released where the VM list counts as well.
async fn gone(mut draw: SeededRng) {
    let mut fleet = plan().start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let mix = TrafficOptions {
        tries: 4,
        ..TrafficOptions::new()
    };
    let traffic = Traffic::start(&fleet, &recorder, &mut draw, &mix);
    wait_for_answers(&traffic).await;
    kill_vm(&mut fleet).await;
    remove_from_list(&fleet).await;
    let unlisted = Instant::now();
    let quarantined = Incarnations {
        active: None,
        retired: 1,
    };
    let retired = until("the router to be retired", async || {
        (incarnations(&fleet).await? == quarantined).then_some(())
    });
    retired.await.expect("the list retires it");
    let time = unlisted.elapsed();
    say(&format!(
        "replace: retired {time:?} after the VM left the list"
    ));
    let watched = Instant::now();
    while watched.elapsed() < WATCH_TIME {
        let now = incarnations(&fleet).await.expect("the log answers");
        assert_eq!(now, quarantined, "no proof of its death");
        tokio::time::sleep(WATCH_TIME / 10).await;
    }
    let listed = change("budget", BUDGET, json!({ "release": "listed" }));
    fleet
        .api
        .apply(vec![listed])
        .await
        .expect("the change is applied");
    let allowed = Instant::now();
    let back = until("the quota to be released", async || {
        (incarnations(&fleet).await?.retired == 0).then(|| allowed.elapsed())
    });
    let back = back.await.expect("the list is proof enough now");
    say(&format!(
        "replace: quota released {back:?} after the list was allowed as proof"
    ));
    traffic.stop().await;
    check_all(&fleet, recorder.calls()).await;
    let budget = fleet.api.budget_until(BUDGET, is_free_of_quarantine).await;
    budget.expect("nothing stays in quarantine");
}

#[tokio::test(flavor = "multi_thread")]
async fn quota_of_a_lost_vm_is_released_only_on_accepted_proof() {
    rounds(
        "quota_of_a_lost_vm_is_released_only_on_accepted_proof",
        gone,
    )
    .await;
}
