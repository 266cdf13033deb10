//! The limits driver is deterministic, and refuses requests only under overload.

use swiftlink_bench::limits::{Outcome, Setup, Simulation};

const SEC: u64 = 1_000_000;

fn run(load: f64, seed: u64) -> Outcome {
    let setup = Setup {
        length: 60 * SEC,
        warm_up: 10 * SEC,
        ..Setup::at(load, true, true)
    };
    Simulation::new(&setup, seed).run()
}

#[test]
fn equal_seeds_give_equal_outcomes() {
    assert_eq!(run(2.0, 5), run(2.0, 5));
    assert_ne!(run(2.0, 5), run(2.0, 6));
}

#[test]
fn only_overload_refuses() {
    let refused = |outcome: &Outcome| {
        outcome
            .classes
            .iter()
            .map(|class| class.refused)
            .sum::<u64>()
    };
    assert_eq!(refused(&run(0.5, 1)), 0);
    assert!(refused(&run(2.0, 1)) > 0);
}

#[test]
fn class_counts_are_consistent() {
    let outcome = run(2.0, 1);
    for class in &outcome.classes {
        assert!(class.in_time <= class.times.len() as u64);
        assert!(class.retries_admitted <= class.retries);
        assert!(class.retries_expired <= class.retries_admitted);
    }
}
