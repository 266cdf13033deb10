//! Attempts per request while runners fail.

use crate::routing::{Choice, Fault, Outcome, Retry, Setup, Simulation};
use crate::row::Rows;

/// Number of runners, of which half or all fail.
const RUNNERS: usize = 10;
/// A load that the remaining half can carry.
const LOAD: f64 = 0.35;

/// Runs all faults with each retry policy.
pub(super) fn run(seed: u64, quick: bool, rows: &mut Rows) {
    let half = vec![Fault::Fails(1.0); RUNNERS / 2];
    let flaky = vec![Fault::Fails(0.5); RUNNERS];
    let all = vec![Fault::Fails(1.0); RUNNERS];
    let cases = [
        ("retries-half-fail", half),
        ("retries-each-fails-half", flaky),
        ("retries-all-fail", all),
    ];
    for (name, faults) in cases {
        for (policy, choice, retry) in [
            ("random-always", Choice::Random, Retry::Always),
            ("random-budget", Choice::Random, Retry::Budget),
            ("ours-always", Choice::ExpectedWait, Retry::Always),
            ("ours-budget", Choice::ExpectedWait, Retry::Budget),
        ] {
            let setup = Setup {
                faults: faults.clone(),
                load: LOAD,
                retry,
                ..Setup::basic(name, quick)
            };
            let outcome = Simulation::new(&setup, choice, seed).run();
            write(name, policy, &outcome, rows);
        }
    }
}

fn write(scenario: &str, policy: &str, outcome: &Outcome, rows: &mut Rows) {
    let attempts = outcome.attempts as f64 / outcome.requests.max(1) as f64;
    rows.add(scenario, policy, "attempts_per_request", attempts);
    rows.add(
        scenario,
        policy,
        "lost_pct",
        outcome.percent(outcome.failed),
    );
}
