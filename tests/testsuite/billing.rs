//! Each accepted and completed request is billed exactly once, with the tokens that
//! the answer reports to its caller.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use swiftlink_budget::Fold;
use swiftlink_log::{Fold as _, Step};
use swiftlink_standins::relay::RelayFault;
use swiftlink_testkit::caller::ChatRequest;
use swiftlink_testkit::checker::{Accounts, CallOutcome, History};
use swiftlink_testkit::fleet::{Fleet, MODEL, Plan, change};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::until::until;
use swiftlink_wire::log::{ChargeFate, fate};
use tokio::task::JoinSet;

use crate::support::{check_all, new_key, plan, send, sent, tokens};

/// Quota per claim, enough for a log outage (tokens).
const GRANT: u64 = 20_000;
/// Maximum number of tries of a key, far above what serving it takes.
const MAX_TRIES: usize = 300;
/// Number of polls of a budget whose quota must stay in quarantine.
const POLLS: usize = 15;
/// Pause between the tries of one key, and between polls.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

fn four_domains() -> Plan {
    // The end of an answer is held back for longer than a test takes to kill its router.
    plan().vms(4, 4).router(json!({ "settle_wait_ms": 20_000 }))
}

/// Starts the fleet and waits until every router holds quota.
async fn start(plan: Plan) -> (Arc<Recorder>, Fleet) {
    let fleet = plan.start().await.expect("the fleet starts");
    let spec = json!({ "min_grant": GRANT });
    let version = fleet.api.apply(vec![change("budget", "lannec", spec)]);
    let version = version.await.expect("the change is accepted");
    fleet
        .wait_for_version(version)
        .await
        .expect("the version is in force");
    let recorder = Arc::new(Recorder::default());
    for router in 0..fleet.routers.len() {
        served(&fleet, &recorder, router).await;
    }
    (recorder, fleet)
}

/// Sends new requests to the router until it serves one.
async fn served(fleet: &Fleet, recorder: &Recorder, router: usize) {
    let answer = until("an answer", async || {
        let ask = ChatRequest::new(MODEL, "first tokens=3").with_key(&new_key());
        let answer = send(fleet, recorder, 0, router, &ask).await;
        answer.is_served().then_some(())
    });
    answer.await.expect("the router serves in the end");
}

fn requests(draw: &mut SeededRng, count: usize) -> Vec<ChatRequest> {
    let mut asks = Vec::new();
    for number in 0..count {
        let length = 1 + draw.below(40);
        let prompt = format!("bill {number} once tokens={length}");
        let mut ask = ChatRequest::new(MODEL, &prompt).with_key(&new_key());
        ask.stream = draw.chance(50);
        asks.push(ask);
    }
    asks
}

/// Sends the key to the routers `at` in turn until a complete answer arrives.
async fn send_until_served(fleet: &Fleet, recorder: &Recorder, at: &[usize], ask: &ChatRequest) {
    for number in 0..MAX_TRIES {
        let answer = send(fleet, recorder, 0, at[number % at.len()], ask).await;
        if answer.is_served() {
            assert_eq!(answer.charged, Some(tokens(ask)), "{answer:?}");
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    panic!("never served: {ask:?}");
}

/// Checks that exactly the keys with a complete answer are charged, each once.
async fn check_bills(fleet: &Fleet, recorder: &Recorder) -> History {
    let history = check_all(fleet, recorder.calls()).await;
    let whole = |end: &CallOutcome| matches!(end, CallOutcome::Complete { .. });
    let calls = history.calls.iter().filter(|call| whole(&call.outcome));
    let keys: BTreeSet<_> = calls.map(|call| call.key.clone()).collect();
    let accounts = Accounts::fold(&history.streams);
    let charged = accounts.charges.keys().map(|(_workspace, key)| key.clone());
    assert_eq!(charged.collect::<BTreeSet<_>>(), keys);
    history
}

/// Counts the charges on the log that are void because their key was charged before.
fn second_charges(history: &History) -> usize {
    let mut count = 0;
    for stream in &history.streams {
        let mut fold = Fold::empty();
        for record in &stream.records {
            let Step::Fate(batch) = fold.apply(record.offset, &record.data) else {
                continue;
            };
            for fate in batch.fates {
                let Some(fate::Kind::Charges(charges)) = fate.kind else {
                    continue;
                };
                let void = |fate: &&i32| **fate == i32::from(ChargeFate::VoidKey);
                count += charges.items.iter().filter(void).count();
            }
        }
    }
    count
}

async fn switch_log(fleet: &Fleet, out: bool) {
    let switched = fleet.log.set(json!({ "outage": out })).await;
    switched.expect("the switch is set");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_two_routers_is_billed_once() {
    rounds(
        "one_key_at_two_routers_is_billed_once",
        send_key_at_two_routers,
    )
    .await;
}

async fn send_key_at_two_routers(mut draw: SeededRng) {
    let (recorder, fleet) = start(four_domains()).await;
    let fleet = Arc::new(fleet);
    let mut tasks = JoinSet::new();
    for ask in requests(&mut draw, 30) {
        let first = draw.index(4);
        for router in [first, draw.other(4, first)] {
            let (fleet, recorder, ask) = (Arc::clone(&fleet), Arc::clone(&recorder), ask.clone());
            let wait = Duration::from_millis(draw.below(20));
            tasks.spawn(async move {
                tokio::time::sleep(wait).await;
                send_until_served(&fleet, &recorder, &[router], &ask).await;
            });
        }
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no caller panics");
    }
    let history = check_bills(&fleet, &recorder).await;
    let void = second_charges(&history);
    say(&format!("  {void} second charges were void"));
    assert!(void > 0, "some keys were charged twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_killed_before_the_release_bills_once() {
    rounds(
        "a_router_killed_before_the_release_bills_once",
        kill_before_release,
    )
    .await;
}

async fn kill_before_release(mut draw: SeededRng) {
    let (recorder, mut fleet) = start(four_domains().relayed()).await;
    let victim = draw.index(4);
    let name = format!("router-{victim}");
    let frozen = RelayFault {
        cut: false,
        freeze: true,
    };
    let to_ledgers = |from: &str, to: &str| from == name && to.starts_with("ledger-");
    assert!(fleet.net.set_where(frozen, to_ledgers) > 0);
    let asks = requests(&mut draw, 8);
    let mut tasks = JoinSet::new();
    for ask in &asks {
        let (sent, ask) = (sent(&fleet, 0, ask), ask.clone());
        let (caller, router) = (fleet.caller(0), fleet.router(victim));
        let recorder = Arc::clone(&recorder);
        tasks.spawn(async move { recorder.record(sent, caller.ask(router, &ask)).await });
    }
    let all_ran = until("the engines to run all", async || {
        let runs = fleet.runs().await.ok()?;
        let ran = |ask: &&ChatRequest| {
            let key = ask.key.as_deref();
            let mut runs = runs.iter();
            runs.any(|run| run.finished && Some(run.key.as_str()) == key)
        };
        (asks.iter().filter(ran).count() == asks.len()).then_some(())
    });
    all_ran.await.expect("the router dispatches on its quota");
    let outage_first = draw.chance(50);
    if outage_first {
        switch_log(&fleet, true).await;
    }
    tokio::time::sleep(Duration::from_millis(draw.below(100))).await;
    fleet.routers[victim].process.kill();
    while let Some(answer) = tasks.join_next().await {
        let answer = answer.expect("no caller panics");
        assert!(!answer.is_served(), "released too early: {answer:?}");
    }
    switch_log(&fleet, true).await;
    let others: Vec<_> = (0..4).filter(|at| *at != victim).collect();
    let thaw_first = draw.chance(50);
    if thaw_first {
        // Messages of the dead router that were in flight reach the ledgers now.
        fleet.net.heal();
    }
    for ask in &asks {
        send_until_served(&fleet, &recorder, &others, ask).await;
    }
    fleet.net.heal();
    switch_log(&fleet, false).await;
    fleet.routers[victim].restart().expect("the process starts");
    fleet.routers[victim]
        .ready()
        .await
        .expect("the process is ready");
    served(&fleet, &recorder, victim).await;
    let history = check_bills(&fleet, &recorder).await;
    say(&format!(
        "  outage first: {outage_first}, late charges first: {thaw_first}, void: {}",
        second_charges(&history)
    ));
}

#[tokio::test(flavor = "multi_thread")]
async fn charges_survive_killed_witnesses() {
    rounds("charges_survive_killed_witnesses", kill_witnesses).await;
}

async fn kill_witnesses(mut draw: SeededRng) {
    let (recorder, mut fleet) = start(four_domains()).await;
    switch_log(&fleet, true).await;
    for ask in requests(&mut draw, 12) {
        send_until_served(&fleet, &recorder, &[0, 1, 2, 3], &ask).await;
    }
    // The ledgers lose every copy in memory; the routers keep theirs.
    for ledger in &mut fleet.ledgers {
        ledger.process.kill();
        if draw.chance(50) {
            ledger.restart().expect("the process starts");
        }
    }
    switch_log(&fleet, false).await;
    for ledger in &mut fleet.ledgers {
        if ledger.process.ended().is_some() {
            ledger.restart().expect("the process starts");
        }
    }
    for router in 0..4 {
        served(&fleet, &recorder, router).await;
    }
    check_bills(&fleet, &recorder).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_killed_after_the_release_is_billed_by_its_witness() {
    let name = "a_router_killed_after_the_release_is_billed_by_its_witness";
    rounds(name, kill_after_release).await;
}

async fn kill_after_release(mut draw: SeededRng) {
    let (recorder, mut fleet) = start(four_domains()).await;
    switch_log(&fleet, true).await;
    let victim = draw.index(4);
    for ask in requests(&mut draw, 12) {
        send_until_served(&fleet, &recorder, &[victim], &ask).await;
    }
    fleet.routers[victim].process.kill();
    if draw.chance(50) {
        // The successor needs the log to join and to release the remaining quota.
        fleet.routers[victim].restart().expect("the process starts");
        switch_log(&fleet, false).await;
    } else {
        switch_log(&fleet, false).await;
        fleet.routers[victim].restart().expect("the process starts");
    }
    fleet.routers[victim]
        .ready()
        .await
        .expect("the process is ready");
    served(&fleet, &recorder, victim).await;
    check_bills(&fleet, &recorder).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_release_waits_for_the_charges_of_witnesses() {
    rounds(
        "a_release_waits_for_the_charges_of_witnesses",
        delay_release,
    )
    .await;
}

async fn delay_release(mut draw: SeededRng) {
    let (recorder, mut fleet) = start(four_domains().relayed()).await;
    let victim = draw.index(4);
    let own = format!("ledger-{victim}");
    // The ledgers of the other failure domains store charges that they can't append.
    let cut = |from: &str, to: &str| from.starts_with("ledger-") && to == "log" && from != own;
    assert_eq!(fleet.net.cut_where(cut), 3);
    for ask in requests(&mut draw, 12) {
        send_until_served(&fleet, &recorder, &[victim], &ask).await;
    }
    fleet.routers[victim].process.kill();
    fleet.routers[victim].restart().expect("the process starts");
    fleet.routers[victim]
        .ready()
        .await
        .expect("the process is ready");
    // The only ledger that reaches the log must not release quota that charges stored at
    // the other ledgers draw on.
    let retired = |budget: &Value| budget["quarantined"].as_u64() > Some(0);
    let seen = fleet.api.budget_until("lannec", retired).await;
    seen.expect("the successor retires it");
    for _poll in 0..POLLS {
        let budget = fleet.api.budget("lannec").await.expect("a budget");
        assert!(retired(&budget), "released too early: {budget}");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    fleet.net.heal();
    let free = |budget: &Value| budget["quarantined"].as_u64() == Some(0);
    let freed = fleet.api.budget_until("lannec", free).await;
    freed.expect("the rest comes back");
    check_bills(&fleet, &recorder).await;
}
