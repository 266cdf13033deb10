//! No workspace spends more than it prepaid: both the log's fold and the engines' tokens
//! are compared with the top-ups.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use swiftlink_budget::Fold;
use swiftlink_log::Fold as _;
use swiftlink_testkit::caller::ChatRequest;
use swiftlink_testkit::checker::{Accounts, Call, CallOutcome, History};
use swiftlink_testkit::fleet::{Fleet, MODEL, Plan, Tenant, change};
use swiftlink_testkit::recorder::Recorder;
use swiftlink_testkit::rounds::{SeededRng, rounds, say};
use swiftlink_testkit::until::until;

use crate::hammer::{
    ANSWER, AnswerRecord, LoadGenerator, LoadOptions, counts, max_cost, tokens_run,
};
use crate::support::{check_all, new_key, plan, send};

/// Top-ups of each budget (tokens).
type Paid = BTreeMap<String, u64>;

/// Maximum time of one step of a fault schedule (ms).
const MAX_STEP_MS: u64 = 120;

/// Eight VMs in four failure domains, the current deployment size.
fn eight_vms(tenants: Vec<Tenant>) -> Plan {
    plan().vms(8, 4).tenants(tenants)
}

fn prepaid_of(tenants: &[Tenant]) -> Paid {
    let paid = tenants
        .iter()
        .map(|tenant| (tenant.name.clone(), tenant.prepaid));
    paid.collect()
}

async fn step(draw: &mut SeededRng) {
    tokio::time::sleep(Duration::from_millis(draw.below(MAX_STEP_MS))).await;
}

fn served(told: &[AnswerRecord], chosen: impl Fn(&AnswerRecord) -> bool) -> usize {
    let chosen = |told: &&AnswerRecord| told.result == "served" && chosen(told);
    told.iter().filter(chosen).count()
}

/// Checks the history, and that all runs, unbilled ones included, stay within the top-ups.
async fn check_spend(fleet: &Fleet, recorder: &Recorder, paid: &Paid) -> History {
    let history = check_all(fleet, recorder.calls()).await;
    let accounts = Accounts::fold(&history.streams);
    for (budget, tokens) in tokens_run(&history) {
        let balance = accounts.budgets[&budget];
        say(&format!(
            "  {budget}: topped up {}, charged {}, run for distinct keys {tokens}",
            balance.topped_up, balance.charged
        ));
        assert_eq!(balance.topped_up, paid[&budget], "{budget}: top-ups");
        assert!(tokens <= paid[&budget], "{budget}: engines ran {tokens}");
    }
    history
}

/// Returns whether a process is on the far side of the partition. Each side has two failure
/// domains; the platform and the operator are on the near side.
fn is_far(name: &str) -> bool {
    let number = name.rsplit_once('-').and_then(|(_, no)| no.parse().ok());
    let daemon = name.starts_with("router-") || name.starts_with("ledger-");
    daemon && number.is_some_and(|number: usize| number % 4 >= 2)
}

fn is_partitioned(from: &str, to: &str) -> bool {
    let routers = from.starts_with("router-") && to.starts_with("router-");
    let servers = from == "routers";
    !servers && (routers || is_far(from) != is_far(to))
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_overspent_in_a_partition() {
    rounds("nothing_is_overspent_in_a_partition", partition).await;
}

async fn partition(mut draw: SeededRng) {
    let names = ["lannec", "vannes", "deusto"];
    let tenants = names.map(|name| Tenant::new(name, 6_000)).to_vec();
    let mut paid = prepaid_of(&tenants);
    let fleet = eight_vms(tenants).relayed().start().await;
    let fleet = fleet.expect("the fleet starts");
    for name in &names[1..] {
        let spec = json!({ "budget": name, "stale": "serve" });
        let changes = vec![change("workspace", name, spec)];
        let version = fleet
            .api
            .apply(changes)
            .await
            .expect("the change is accepted");
        fleet
            .wait_for_version(version)
            .await
            .expect("the version is in force");
    }
    let recorder = Arc::new(Recorder::default());
    let options = LoadOptions {
        callers: 16,
        tries: 2,
    };
    let load = LoadGenerator::spawn(&fleet, &recorder, &mut draw, names.len(), options);
    load.until("answers of all routers", |told| {
        (0..8).all(|router| served(told, |told| told.router == router) > 0)
    })
    .await;
    let before = load.answers().len();
    assert!(
        fleet.net.cut_where(is_partitioned) > 0,
        "there are links to cut"
    );
    for number in 0..6 {
        step(&mut draw).await;
        let name = names[draw.index(names.len())];
        let id = format!("{name}-more-{number}");
        let amount = 200 + draw.below(400);
        let topped_up = fleet.api.top_up(name, &id, amount).await;
        topped_up.expect("the near side takes top-ups");
        *paid.entry(name.to_owned()).or_default() += amount;
    }
    load.until("answers and refusals on both sides", |told| {
        let near = told.iter().filter(|told| told.router % 4 < 2).count();
        near >= 150 && told.len() - near >= 150
    })
    .await;
    let told = load.answers();
    let far = served(&told[before..], |told| told.router % 4 >= 2);
    fleet.net.heal();
    load.until("answers after the partition", |told| told.len() >= 100)
        .await;
    let told = load.stop().await;
    say(&format!(
        "  {:?}; {far} served on the far side",
        counts(&told)
    ));
    assert!(far > 0, "the far side spends its quota");
    check_spend(&fleet, &recorder, &paid).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_appends_spend_nothing_twice() {
    rounds("lost_answers_of_appends_spend_nothing_twice", lost).await;
}

async fn lost(mut draw: SeededRng) {
    let names = ["lannec", "deusto"];
    let tenants = names.map(|name| Tenant::new(name, 4_000)).to_vec();
    let mut paid = prepaid_of(&tenants);
    let fleet = plan().vms(4, 4).tenants(tenants).start().await;
    let fleet = fleet.expect("the fleet starts");
    let share = 0.3 + draw.below(50) as f64 / 100.0;
    let fault = json!({ "lose_answers": share });
    fleet.log.set(fault).await.expect("the switch is set");
    let recorder = Arc::new(Recorder::default());
    let options = LoadOptions {
        callers: 12,
        tries: 2,
    };
    let load = LoadGenerator::spawn(&fleet, &recorder, &mut draw, names.len(), options);
    for number in 0..4 {
        step(&mut draw).await;
        let name = names[draw.index(names.len())];
        let id = format!("{name}-more-{number}");
        let topped_up = fleet.api.top_up(name, &id, 300).await;
        topped_up.expect("a top-up in the end");
        *paid.entry(name.to_owned()).or_default() += 300;
    }
    load.until("budgets nearly used up", |told| {
        let refused = told.len() - served(told, |_told| true);
        refused >= 60 && told.len() >= 200
    })
    .await;
    let told = load.stop().await;
    fleet
        .log
        .set(json!({ "lose_answers": 0.0 }))
        .await
        .expect("the switch is set");
    say(&format!("  {share:.2} lost; {:?}", counts(&told)));
    check_spend(&fleet, &recorder, &paid).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn eight_routers_use_up_a_small_budget_exactly() {
    rounds("eight_routers_use_up_a_small_budget_exactly", race).await;
}

async fn race(mut draw: SeededRng) {
    let prepaid = 2_500 + draw.below(1_000);
    let tenants = vec![Tenant::new("lannec", prepaid)];
    let paid = prepaid_of(&tenants);
    let fleet = eight_vms(tenants).start().await;
    let fleet = fleet.expect("the fleet starts");
    let recorder = Arc::new(Recorder::default());
    let options = LoadOptions {
        callers: 16,
        tries: 1,
    };
    let load = LoadGenerator::spawn(&fleet, &recorder, &mut draw, 1, options);
    load.until("the budget to look used up", |told| {
        let last = told.len().saturating_sub(40);
        told.len() > 80 && served(&told[last..], |_told| true) == 0
    })
    .await;
    let told = load.stop().await;
    let calls = recorder.calls();
    let refused = told.iter().filter(|told| is_refused(told)).count();
    let false_ones = told
        .iter()
        .filter(|told| is_false_refusal(told, &calls, prepaid));
    say(&format!(
        "  {:?}; false refusals {} of {refused}",
        counts(&told),
        false_ones.count()
    ));
    use_up(&fleet, &recorder, prepaid).await;
    let history = check_spend(&fleet, &recorder, &paid).await;
    let charged = Accounts::fold(&history.streams).budgets["lannec"].charged;
    assert_eq!(
        charged,
        total_charges(&recorder.calls()),
        "reported and charged tokens differ"
    );
    let budget = fleet
        .api
        .budget_until("lannec", |budget| total(budget) == prepaid);
    let budget = budget
        .await
        .expect("what is charged and what remains add up");
    assert_eq!(budget["charged"], charged);
}

fn total(budget: &Value) -> u64 {
    let parts = ["charged", "granted", "quarantined", "free"];
    parts
        .map(|part| budget[part].as_u64().unwrap_or(0))
        .iter()
        .sum()
}

fn total_charges(calls: &[Call]) -> u64 {
    calls.iter().map(charge_of).sum()
}

fn charge_of(call: &Call) -> u64 {
    match call.outcome {
        CallOutcome::Complete { charged, .. } => charged,
        _ => 0,
    }
}

fn is_refused(told: &AnswerRecord) -> bool {
    ["no-budget", "budget-busy"].contains(&told.result.as_str())
}

/// Returns whether a refusal is false, that is, whether enough budget was left by a count
/// against the router: each ended call took its charge, each call in flight its maximum.
fn is_false_refusal(told: &AnswerRecord, calls: &[Call], prepaid: u64) -> bool {
    let Some(refused) = calls.iter().find(|call| call.began == told.began) else {
        return false;
    };
    let mut taken = 0;
    for call in calls {
        if call.began > refused.ended || matches!(call.outcome, CallOutcome::NotRun) {
            continue;
        }
        let in_flight = call.ended > refused.began;
        taken += if in_flight {
            told.max_cost
        } else {
            charge_of(call)
        };
    }
    is_refused(told) && taken + told.max_cost <= prepaid
}

/// Spends the remaining budget with one caller at a time until no request fits.
async fn use_up(fleet: &Fleet, recorder: &Recorder, prepaid: u64) {
    loop {
        let mut ask = ChatRequest::new(MODEL, "rest tokens=24").with_key(&new_key());
        ask.max_tokens = ANSWER;
        let left = prepaid.checked_sub(total_charges(&recorder.calls()));
        let left = left.expect("never more is charged than was prepaid");
        if left < max_cost(&ask) {
            return say(&format!("  left at the end: {left} of {prepaid}"));
        }
        let mut router = 0;
        let answer = until("the remaining budget to be spent", async || {
            ask.key = Some(new_key());
            router = (router + 1) % fleet.routers.len();
            let answer = send(fleet, recorder, 0, router, &ask).await;
            answer.is_served().then_some(())
        });
        answer.await.expect("unused quota is returned");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn rights_of_killed_routers_come_back() {
    rounds("rights_of_killed_routers_come_back", killed).await;
}

async fn killed(mut draw: SeededRng) {
    let prepaid = 30_000;
    let fleet = plan()
        .vms(4, 4)
        .tenants(vec![Tenant::new("lannec", prepaid)]);
    let mut fleet = fleet.start().await.expect("the fleet starts");
    for engine in &fleet.engines {
        engine
            .set(json!({ "pace_ms": 2 }))
            .await
            .expect("the pace is set");
    }
    let recorder = Arc::new(Recorder::default());
    let options = LoadOptions {
        callers: 12,
        tries: 8,
    };
    let load = LoadGenerator::spawn(&fleet, &recorder, &mut draw, 1, options);
    let mut back_after = Vec::new();
    for _kill in 0..3 {
        load.until("some answers", |told| served(told, |_told| true) >= 20)
            .await;
        step(&mut draw).await;
        let router = draw.index(fleet.routers.len());
        let start = Instant::now();
        fleet.routers[router].process.kill();
        step(&mut draw).await;
        fleet.routers[router].restart().expect("the process starts");
        fleet.routers[router]
            .ready()
            .await
            .expect("the process is ready");
        let none = |budget: &Value| budget["quarantined"].as_u64() == Some(0);
        let back = fleet.api.budget_until("lannec", none).await;
        back.expect("the quota is released");
        back_after.push(start.elapsed());
    }
    let told = load.stop().await;
    let history = check_all(&fleet, recorder.calls()).await;
    let accounts = Accounts::fold(&history.streams);
    let ran: BTreeMap<_, _> = tokens_run(&history);
    let (ran, balance) = (ran["lannec"], accounts.budgets["lannec"]);
    say(&format!(
        "  {:?}; run for distinct keys {ran}, charged {}",
        counts(&told),
        balance.charged
    ));
    let quarantined = quarantined_amounts(&history, "lannec");
    let share = 100.0 * quarantined.iter().sum::<u64>() as f64 / prepaid as f64;
    say(&format!(
        "  quarantined {quarantined:?} of {prepaid} ({share:.1} % in all), \
         back {back_after:?} after the kills"
    ));
    assert!(!quarantined.is_empty(), "a killed router held quota");
    assert!(ran <= balance.topped_up, "engines ran {ran}");
    let sound = |budget: &Value| total(budget) == prepaid;
    let budget = fleet.api.budget_until("lannec", sound).await;
    budget.expect("what is charged and what remains add up");
}

/// Returns each amount that entered quarantine, in the order of the log's records.
fn quarantined_amounts(history: &History, budget: &str) -> Vec<u64> {
    let mut amounts = Vec::new();
    for stream in &history.streams {
        let mut fold = Fold::empty();
        let mut last = 0;
        for record in &stream.records {
            fold.apply(record.offset, &record.data);
            let now = fold.view(budget).map_or(0, |view| view.quarantined);
            if now > last {
                amounts.push(now - last);
            }
            last = now;
        }
    }
    amounts
}
