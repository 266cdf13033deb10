//! The routing driver is deterministic, and shows the effect of failing runners.

use swiftlink_bench::routing::{Choice, Fault, Outcome, Retry, Setup, Simulation};

const SEC: u64 = 1_000_000;

fn small(faults: Vec<Fault>) -> Setup {
    Setup {
        routers: 4,
        runners: 6,
        faults,
        length: 60 * SEC,
        warm_up: 10 * SEC,
        ..Setup::basic("small", true)
    }
}

fn run(setup: &Setup, choice: Choice, seed: u64) -> Outcome {
    Simulation::new(setup, choice, seed).run()
}

#[test]
fn equal_seeds_give_equal_outcomes() {
    let setup = small(vec![Fault::Slow(4.0)]);
    for choice in Choice::ALL {
        let one = run(&setup, choice, 3);
        assert_eq!(one, run(&setup, choice, 3), "{}", choice.name());
        assert!(!one.first_token_times.is_empty(), "{}", choice.name());
    }
    assert_ne!(
        run(&setup, Choice::ExpectedWait, 3),
        run(&setup, Choice::ExpectedWait, 4)
    );
}

#[test]
fn load_reports_alone_attract_requests_to_a_failing_runner() {
    let setup = small(vec![Fault::Fails(1.0)]);
    let naive = run(&setup, Choice::LeastReported, 1);
    let ours = run(&setup, Choice::ExpectedWait, 1);
    assert!(naive.failed > 0);
    assert!(ours.faulty_attempts < naive.faulty_attempts);
}

#[test]
fn retries_multiply_without_a_retry_budget() {
    let faults = vec![Fault::Fails(1.0); 6];
    let mut setup = small(faults);
    let saved = run(&setup, Choice::Random, 1);
    setup.retry = Retry::Always;
    let always = run(&setup, Choice::Random, 1);
    assert_eq!(always.attempts, 3 * always.requests);
    assert!(saved.attempts < 2 * saved.requests);
    assert_eq!(saved.failed, saved.requests);
}
