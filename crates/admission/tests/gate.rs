//! Shares by priority and workspace, and the decision for one request.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use swiftlink_admission::{
    Admission, ClassLoad, ClassShares, Decision, Gate, GateRequest, IdleTime, LevelController,
    Observations, PoolAggregate, PoolLoad, Shares, Source, Summary, Targets, WAIT_DIVISOR,
};
use swiftlink_types::{Micros, WorkspaceName};

const MS: Micros = 1_000;
const SEC: Micros = 1_000_000;
const TARGET: Micros = 800 * MS;

fn workspace(name: &str) -> WorkspaceName {
    WorkspaceName::from(name)
}

/// Arrivals by priority and workspace.
fn load(arrivals: &[(u8, &str, f64)]) -> PoolLoad {
    let mut load = PoolLoad {
        seconds: 1.0,
        ..PoolLoad::default()
    };
    for (priority, name, rate) in arrivals {
        let class: &mut ClassLoad = load.classes.entry(*priority).or_default();
        class.arrivals += rate;
        class.workspaces.insert(workspace(name), *rate);
    }
    load
}

fn allocate(limit: f64, load: &PoolLoad) -> Shares {
    Shares::allocate(limit, limit, 0.1, load, &BTreeMap::new())
}

#[test]
fn workspaces_of_a_priority_share_equally_unless_weighted() {
    let load = load(&[(1, "a", 10.0), (1, "b", 20.0), (1, "c", 70.0)]);
    let shares = allocate(60.0, &load);
    let of = |shares: &Shares, name| shares.of(1, Some(&workspace(name)));
    assert_eq!(of(&shares, "a"), 1.0);
    assert_eq!(of(&shares, "b"), 1.0);
    assert!((of(&shares, "c") - 30.0 / 70.0).abs() < 1e-9);
    let weights = BTreeMap::from([(workspace("c"), 4.0)]);
    let shares = Shares::allocate(60.0, 60.0, 0.1, &load, &weights);
    assert_eq!(of(&shares, "a"), 1.0);
    assert!((of(&shares, "b") - 0.5).abs() < 1e-9);
    assert!((of(&shares, "c") - 40.0 / 70.0).abs() < 1e-9);
}

/// Guards against urgent requests that starve the others.
#[test]
fn the_least_urgent_priority_keeps_a_tenth() {
    let load = load(&[(0, "a", 200.0), (2, "b", 50.0)]);
    let shares = allocate(100.0, &load);
    assert!((shares.of(0, Some(&workspace("a"))) - 0.45).abs() < 1e-9);
    assert!((shares.of(2, Some(&workspace("b"))) - 0.2).abs() < 1e-9);
    assert_eq!(shares.level(), 0);
}

proptest! {
    #[test]
    fn no_more_is_admitted_than_the_limit(
        rates in proptest::collection::vec((0u8..4, 0u8..6, 0.1f64..100.0), 1..20),
        limit in 1.0f64..500.0,
    ) {
        let names: Vec<String> = rates.iter().map(|(_, name, _)| name.to_string()).collect();
        let mut arrivals = BTreeMap::new();
        for ((priority, _, rate), name) in rates.iter().zip(&names) {
            arrivals.insert((*priority, name.as_str()), *rate);
        }
        let arrivals: Vec<_> = arrivals.into_iter().map(|((p, n), rate)| (p, n, rate)).collect();
        let shares = allocate(limit, &load(&arrivals));
        let admitted: f64 = arrivals
            .iter()
            .map(|(priority, name, rate)| rate * shares.of(*priority, Some(&workspace(name))))
            .sum();
        prop_assert!(admitted <= limit * 1.01, "{admitted} of {limit}");
    }
}

/// A gate that admits `share` of the requests of workspace `a`.
fn gate(share: f64) -> Gate {
    let mut gate = Gate::default();
    for number in 0..50 {
        gate.on_arrival(number * 100 * MS, 2, Some(&workspace("a")));
    }
    let class = ClassShares {
        others: share,
        workspaces: BTreeMap::new(),
    };
    let shares = Shares {
        classes: [(2, class)].into(),
    };
    gate.set_shares(5 * SEC, &shares, Duration::from_millis(100));
    gate
}

fn decide(gate: &mut Gate, now: Micros, key: u64, left: Micros) -> Decision {
    let name = workspace("a");
    gate.on_arrival(now, 2, Some(&name));
    let request = GateRequest {
        priority: 2,
        workspace: Some(&name),
        key,
        target: TARGET,
        idle: 100 * MS,
        left,
    };
    gate.decide(now, &request)
}

#[test]
fn the_admitted_share_passes_and_a_wait_is_at_most_an_eighth_of_the_target() {
    let mut gate = gate(0.25);
    let mut admitted = 0;
    let mut now = 5 * SEC;
    for key in 1..=400 {
        now += 100 * MS;
        for (_, verdict) in gate.poll(now) {
            admitted += u32::from(verdict.is_ok());
        }
        match decide(&mut gate, now, key, 8 * SEC) {
            Decision::Admit => admitted += 1,
            Decision::Wait(_) => {
                let expiry = gate.next_event().expect("one waits");
                assert!(expiry <= now + TARGET / WAIT_DIVISOR + 2);
            }
            Decision::Refuse(after) => assert!(after > Duration::ZERO),
        }
    }
    assert!((95..=106).contains(&admitted), "{admitted} of 400");
}

/// Guards against refusing a caller twice while newer requests are admitted.
#[test]
fn a_request_that_returns_at_its_time_passes_before_new_ones() {
    let mut gate = gate(0.1);
    let now = 6 * SEC;
    let mut refused = None;
    for key in 1..=8 {
        if let Decision::Refuse(after) = decide(&mut gate, now, key, 8 * SEC) {
            refused.get_or_insert((key, after));
        }
    }
    let (key, after) = refused.expect("some are refused");
    let back = now + after.as_micros() as Micros;
    let new = decide(&mut gate, back, 99, 8 * SEC);
    assert!(matches!(new, Decision::Refuse(_)), "{new:?}");
    assert_eq!(decide(&mut gate, back, key, 7 * SEC), Decision::Admit);
}

/// During an overload, a request whose first event would come after its deadline is refused although
/// its priority isn't restricted.
#[test]
fn a_request_that_would_be_late_is_refused_first() {
    let mut gate = gate(0.5);
    let name = workspace("a");
    gate.on_arrival(6 * SEC, 0, Some(&name));
    let mut request = GateRequest {
        priority: 0,
        workspace: Some(&name),
        key: 5,
        target: TARGET,
        idle: 100 * MS,
        left: 8 * SEC,
    };
    assert_eq!(gate.decide(6 * SEC, &request), Decision::Admit);
    request.left = 150 * MS;
    let decision = gate.decide(6 * SEC, &request);
    let Decision::Refuse(after) = decision else {
        panic!("{decision:?}");
    };
    assert!(after >= Duration::from_millis(200) && after <= Duration::from_secs(1));
}

/// Waits are counted as they pass: a report made while all requests still wait shows them.
#[test]
fn requests_without_an_answer_count_as_waiting_and_late() {
    let mut observations = Observations::default();
    for _ in 0..10 {
        observations.on_arrival(1, None);
        observations.on_sent(1, 100 * MS, 500 * MS);
    }
    let load = observations.take(SEC);
    assert!((load.classes[&1].wait - 9.0).abs() < 1e-6);
    assert_eq!(load.classes[&1].late, 10.0);
    let load = observations.take(2 * SEC);
    assert!((load.classes[&1].wait - 10.0).abs() < 1e-6);
    assert_eq!(load.classes[&1].late, 0.0);
}

/// Guards against an overload that is taken for the usual speed of the servers after a while, and
/// against a cold cache that counts as an overload.
#[test]
fn the_idle_time_grows_with_the_prompt_and_not_with_the_wait() {
    let mut idle = IdleTime::default();
    for number in 0..20 {
        idle.learn(number * 100 * MS, 150 * MS, 4_500);
    }
    // A step of the estimate is 4 in 100.
    let short = idle.expected(4_500).expect("known");
    assert!((140 * MS..=160 * MS).contains(&short), "{short}");
    let long = idle.expected(9_500).expect("known");
    assert!((280 * MS..=320 * MS).contains(&long), "{long}");
    for number in 0..600 {
        idle.learn(2 * SEC + number * 100 * MS, 1_500 * MS, 4_500);
    }
    let expected = idle.expected(4_500).expect("known");
    assert!(expected < 220 * MS, "{expected}");
}

/// A load of `rate` requests per second that wait for `wait` seconds.
fn waiting(rate: f64, wait: f64) -> PoolLoad {
    let class = ClassLoad {
        arrivals: rate,
        first_events: rate,
        late: if wait > 0.5 { rate } else { 0.0 },
        wait: rate * wait,
        ..ClassLoad::default()
    };
    PoolLoad {
        seconds: 1.0,
        classes: [(1, class)].into(),
    }
}

/// Two of ten routers have saturated links and most of the requests. Guards against refusals at all
/// routers, although the servers have no queue.
#[test]
fn waits_at_a_few_routers_are_no_overload_of_the_pool() {
    let mut aggregate = PoolAggregate::default();
    let targets = Targets::from([(1, Duration::from_millis(500))]);
    for second in 0..20 {
        for router in 0..10 {
            let load = if router < 2 {
                waiting(200.0, 3.0)
            } else {
                waiting(10.0, 0.02)
            };
            let now = second * SEC + router * 100 * MS;
            let summary = aggregate.on_report(router, now, load, &targets);
            assert!(summary.shares.is_open());
        }
    }
}

/// Waits that refusals don't shorten have another reason. Guards against a limit that falls with
/// what is served, since that falls with the limit.
#[test]
fn refusals_end_if_they_do_not_help() {
    let mut controller = LevelController::default();
    let targets = Targets::from([(1, Duration::from_millis(500))]);
    let mut refusing = 0;
    for second in 0..30 {
        let share = controller.shares().of(1, None);
        assert!(share > 0.2, "{share}");
        refusing += u32::from(share < 1.0);
        let mut load = waiting(100.0 * share, 1.0);
        load.classes.get_mut(&1).expect("a class").arrivals = 100.0;
        load.classes.get_mut(&1).expect("a class").refused = 100.0 * (1.0 - share);
        controller.step(second * SEC, &load, &targets);
    }
    assert!((1..=12).contains(&refusing), "{refusing} s");
    assert!(controller.shares().is_open());
}

/// Guards against a router that follows an aggregator that it can't reach any more.
#[test]
fn a_summary_counts_for_three_seconds() {
    let mut admission = Admission::default();
    let class = ClassShares {
        others: 0.5,
        workspaces: BTreeMap::new(),
    };
    let summary = Summary {
        routers: 3,
        shares: Shares {
            classes: [(2, class)].into(),
        },
        ..Summary::default()
    };
    let unknown = Summary {
        routers: 0,
        ..summary.clone()
    };
    let period = Duration::from_secs(1);
    admission.on_summary(SEC, unknown, period);
    assert!(admission.is_open());
    admission.on_summary(SEC, summary, period);
    assert!(!admission.is_open());
    admission.end_period(4 * SEC, &Targets::new());
    assert!(!admission.is_open());
    admission.end_period(4 * SEC + 1, &Targets::new());
    assert!(admission.is_open());
    assert_eq!(admission.in_force(5 * SEC).2, Source::Own);
}
