//! The grants driver is deterministic, and detects a policy that credits grants twice.

use swiftlink_bench::grants::{Counted, Outcome, Plan, Setup, Size, Window, World, arrivals};

const SEC: u64 = 1_000_000;

/// Four holders in two domains; domain 0 is partitioned from 20 s to 60 s.
fn small() -> Setup {
    Setup {
        name: "small",
        weights: vec![1.0; 4],
        domains: 2,
        rate: 20.0,
        length: 90 * SEC,
        top_ups: vec![
            (0, Setup::demand(20.0, 30)),
            (30 * SEC, Setup::demand(20.0, 30)),
        ],
        cut: Some(Window {
            from: 20 * SEC,
            until: 60 * SEC,
        }),
        out: None,
        counted: Counted::All,
    }
}

fn run(plan: &Plan, seed: u64) -> Outcome {
    let setup = small();
    let arrivals = arrivals(&setup, seed);
    World::new(&setup, plan, &arrivals).run()
}

fn plans() -> [Plan; 4] {
    [
        Plan::new("even", Size::Even, false),
        Plan::new("chunk", Size::Chunk(5_000), false),
        Plan::demand("demand", 10, 1.0, false),
        Plan::demand("relay", 30, 3.0, true),
    ]
}

#[test]
fn equal_seeds_give_equal_outcomes() {
    for plan in plans() {
        assert_eq!(run(&plan, 7), run(&plan, 7), "{}", plan.name);
    }
    assert_ne!(run(&plans()[2], 7), run(&plans()[2], 8));
}

#[test]
fn no_policy_overspends() {
    for seed in 0..8 {
        for plan in plans() {
            let outcome = run(&plan, seed);
            assert_eq!(outcome.overspend, 0, "{} seed {seed}", plan.name);
            assert_eq!(outcome.void, 0, "{} seed {seed}", plan.name);
            assert!(outcome.outside.taken > 0, "{} seed {seed}", plan.name);
        }
    }
}

#[test]
fn a_grant_credited_twice_shows_as_overspend() {
    let mut plan = Plan::demand("twice", 10, 1.0, true);
    plan.credits = 2;
    let outcome = run(&plan, 1);
    assert!(outcome.overspend > 0);
    assert!(outcome.void > 0, "the fold counts no charge without rights");
}

#[test]
fn refusals_in_the_partition_are_counted_separately() {
    let outcome = run(&Plan::demand("demand", 2, 1.0, true), 1);
    assert!(outcome.inside.false_refused > 0);
    assert!(outcome.inside.false_share() > outcome.outside.false_share());
}
