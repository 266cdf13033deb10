//! The grants driver is deterministic, and detects a policy that credits grants twice.

use swiftlink_bench::grants::{
    Counted, Outcome, PolicySpec, Setup, Simulation, Size, Window, arrivals,
};

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
        partition: Some(Window {
            from: 20 * SEC,
            until: 60 * SEC,
        }),
        log_outage: None,
        counted: Counted::All,
    }
}

fn run(policy: &PolicySpec, seed: u64) -> Outcome {
    let setup = small();
    let arrivals = arrivals(&setup, seed);
    Simulation::new(&setup, policy, &arrivals).run()
}

fn policies() -> [PolicySpec; 4] {
    [
        PolicySpec::new("even", Size::Even, false),
        PolicySpec::new("chunk", Size::Chunk(5_000), false),
        PolicySpec::demand("demand", 10, 1.0, false),
        PolicySpec::demand("relay", 30, 3.0, true),
    ]
}

#[test]
fn equal_seeds_give_equal_outcomes() {
    for policy in policies() {
        assert_eq!(run(&policy, 7), run(&policy, 7), "{}", policy.name);
    }
    assert_ne!(run(&policies()[2], 7), run(&policies()[2], 8));
}

#[test]
fn no_policy_overspends() {
    for seed in 0..8 {
        for policy in policies() {
            let outcome = run(&policy, seed);
            assert_eq!(outcome.overspend, 0, "{} seed {seed}", policy.name);
            assert_eq!(outcome.void_charges, 0, "{} seed {seed}", policy.name);
            assert!(outcome.outside.admitted > 0, "{} seed {seed}", policy.name);
        }
    }
}

#[test]
fn a_grant_credited_twice_shows_as_overspend() {
    let mut policy = PolicySpec::demand("twice", 10, 1.0, true);
    policy.credits = 2;
    let outcome = run(&policy, 1);
    assert!(outcome.overspend > 0);
    assert!(
        outcome.void_charges > 0,
        "the fold applies no charge without quota"
    );
}

#[test]
fn refusals_in_the_partition_are_counted_separately() {
    let outcome = run(&PolicySpec::demand("demand", 2, 1.0, true), 1);
    assert!(outcome.inside.false_refused > 0);
    assert!(outcome.inside.false_share() > outcome.outside.false_share());
}
