//! A VM that is replaced with nothing kept, and the rights that its router held.

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

/// Number of the VM that dies.
const DEAD: usize = 2;
/// Name of the budget.
const BUDGET: &str = "lannec";
/// How long rights that must stay in quarantine are watched.
const WATCH: Duration = Duration::from_secs(4);

/// The budget's stream as a reader of the log folds it.
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

/// Incarnations of the dead VM on the budget's stream.
#[derive(Debug, PartialEq, Eq)]
struct Lives {
    /// Epoch of the one that may spend.
    active: Option<u64>,
    /// Those whose rights are in quarantine.
    retired: usize,
}

async fn lives(fleet: &Fleet) -> Option<Lives> {
    let fold = fold(fleet).await?;
    let name = format!("vm-{DEAD}");
    let is_dead = |incarnation: &Incarnation| incarnation.vm.as_str() == name;
    let active = fold.active();
    let active = active.iter().find(|router| is_dead(&router.incarnation));
    let retired = fold.retired();
    let retired = retired.iter().filter(|router| is_dead(&router.incarnation));
    Some(Lives {
        active: active.map(|router| router.incarnation.epoch),
        retired: retired.count(),
    })
}

/// Rights that the router holds unspent, and their share of the budget.
async fn held(fleet: &Fleet) -> (u64, f64) {
    let dump = fleet.routers[DEAD]
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

async fn busy(traffic: &Traffic) {
    let before = traffic.served();
    let served = until("answers", async || {
        (traffic.served() > before + 60).then_some(())
    });
    served.await.expect("the fleet serves");
}

/// SIGKILL of all that runs on the VM.
async fn die(fleet: &mut Fleet) -> Instant {
    let (held, share) = held(fleet).await;
    fleet.routers[DEAD].process.kill();
    fleet.ledgers[DEAD].process.kill();
    let percent = share * 100.0;
    say(&format!(
        "replace: the dead router held {held} tokens, {percent:.2} % of the budget"
    ));
    assert!(held > 0, "it held something");
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
    busy(&traffic).await;
    let died = die(&mut fleet).await;
    busy(&traffic).await;
    let before = lives(&fleet).await.expect("the log answers");
    assert_eq!(before.retired, 0, "silence proves nothing");
    fleet.ledgers[DEAD].restart().expect("it starts");
    fleet.routers[DEAD].restart().expect("it starts");
    let begun = Instant::now();
    let back = until("the rights to come back", async || {
        let now = lives(&fleet).await?;
        (now.retired == 0 && now.active > before.active).then(|| begun.elapsed())
    });
    let back = back.await.expect("the successor proves the death");
    let dead = died.elapsed();
    say(&format!(
        "replace: rights back {back:?} after the successor's start, {dead:?} after the death"
    ));
    fleet.routers[DEAD].ready().await.expect("it is ready");
    fleet.ledgers[DEAD].ready().await.expect("it is ready");
    busy(&traffic).await;
    traffic.stop().await;
    check_all(&fleet, recorder.calls()).await;
    let budget = fleet.api.budget_until(BUDGET, is_free_of_quarantine).await;
    budget.expect("nothing stays in quarantine");
}

fn is_free_of_quarantine(budget: &Value) -> bool {
    budget["quarantined"] == 0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_vm_frees_what_its_predecessor_held() {
    rounds("a_replaced_vm_frees_what_its_predecessor_held", replaced).await;
}

/// The list without the dead VM.
async fn unlist(fleet: &Fleet) {
    let mut vms = Vec::new();
    for at in (0..fleet.routers.len()).filter(|at| *at != DEAD) {
        let domain = format!("domain-{at}");
        vms.push(json!({ "name": format!("vm-{at}"), "domain": domain, "state": "live" }));
    }
    let body = json!({ "vms": vms });
    let set = fleet.vms.send(Method::POST, "/_standin/vms", body).await;
    set.expect("the list is set");
}

/// A VM that never comes back: its rights stay in quarantine while only a successor
/// counts as proof, and come back where the VM list counts too.
async fn gone(mut draw: SeededRng) {
    let mut fleet = plan().start().await.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let mix = TrafficOptions {
        tries: 4,
        ..TrafficOptions::new()
    };
    let traffic = Traffic::start(&fleet, &recorder, &mut draw, &mix);
    busy(&traffic).await;
    die(&mut fleet).await;
    unlist(&fleet).await;
    let unlisted = Instant::now();
    let quarantined = Lives {
        active: None,
        retired: 1,
    };
    let retired = until("the router to be retired", async || {
        (lives(&fleet).await? == quarantined).then_some(())
    });
    retired.await.expect("the list retires it");
    let time = unlisted.elapsed();
    say(&format!(
        "replace: retired {time:?} after the VM left the list"
    ));
    let watched = Instant::now();
    while watched.elapsed() < WATCH {
        let now = lives(&fleet).await.expect("the log answers");
        assert_eq!(now, quarantined, "no proof of its death");
        tokio::time::sleep(WATCH / 10).await;
    }
    let listed = change("budget", BUDGET, json!({ "release": "listed" }));
    fleet.api.apply(vec![listed]).await.expect("an apply");
    let allowed = Instant::now();
    let back = until("the rights to come back", async || {
        (lives(&fleet).await?.retired == 0).then(|| allowed.elapsed())
    });
    let back = back.await.expect("the list is proof enough now");
    say(&format!(
        "replace: rights back {back:?} after the list was allowed as proof"
    ));
    traffic.stop().await;
    check_all(&fleet, recorder.calls()).await;
    let budget = fleet.api.budget_until(BUDGET, is_free_of_quarantine).await;
    budget.expect("nothing stays in quarantine");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_never_comes_back_frees_only_what_may_be_freed() {
    rounds(
        "a_vm_that_never_comes_back_frees_only_what_may_be_freed",
        gone,
    )
    .await;
}
