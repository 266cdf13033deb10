//! Scenarios and their output rows.

use super::outcome::Outcome;
use super::setup::{Choice, Fault, Prefixes, Setup};
use super::simulation::Simulation;
use crate::draw::{MS, SEC};
use crate::row::Rows;

/// Runners in the full-scale deployment.
const MANY: usize = 600;
/// Routers at full scale, a third of its daemons.
const MANY_ROUTERS: usize = 120;
/// Runners in each router's subset at full scale: the default of the setting.
const SUBSET: usize = 32;
/// Slowdown factor of the slow runner.
const SLOW: f64 = 4.0;

/// Runs all scenarios with all policies.
pub fn run(seed: u64, quick: bool, rows: &mut Rows) {
    for setup in setups(quick) {
        for choice in Choice::ALL {
            let outcome = Simulation::new(&setup, choice, seed).run();
            write(&setup, choice.name(), &outcome, rows);
        }
    }
}

/// Writes the rows of a run.
pub(crate) fn write(setup: &Setup, policy: &str, outcome: &Outcome, rows: &mut Rows) {
    let mut add = |metric, value| rows.add(setup.name, policy, metric, value);
    add("ttft_p50_ms", outcome.first_ms(0.5));
    add("ttft_p95_ms", outcome.first_ms(0.95));
    add("ttft_p99_ms", outcome.first_ms(0.99));
    add("prefix_hits_pct", outcome.percent(outcome.hits));
    if !setup.faults.is_empty() {
        add("to_faulty_pct", outcome.percent(outcome.faulty_attempts));
        add("lost_pct", outcome.percent(outcome.failed));
    }
}

fn setups(quick: bool) -> Vec<Setup> {
    let basic = |name| Setup::basic(name, quick);
    let many = |name| many(name, quick);
    let lagged = |name, report_age| Setup {
        report_age,
        ..basic(name)
    };
    let faulty = |setup: Setup, fault| Setup {
        faults: vec![fault],
        ..setup
    };
    let cold = Prefixes {
        share: 0.0,
        count: 1,
        skew: 1.0,
    };
    let hot = Prefixes {
        share: 0.9,
        count: 12,
        skew: 1.2,
    };
    let slow = Fault::Slow(SLOW);
    let hole = Fault::Fails(1.0);
    vec![
        lagged("routing-lag-500ms", 500 * MS),
        basic("routing-lag-1s"),
        lagged("routing-lag-2s", 2 * SEC),
        lagged("routing-lag-5s", 5 * SEC),
        faulty(basic("routing-slow"), slow),
        faulty(lagged("routing-slow-lag-5s", 5 * SEC), slow),
        faulty(basic("routing-black-hole"), hole),
        Setup {
            prefixes: hot,
            ..basic("routing-hot")
        },
        Setup {
            prefixes: cold,
            ..basic("routing-cold")
        },
        Setup {
            load: 0.9,
            ..basic("routing-load-90")
        },
        Setup {
            poll: 5 * SEC,
            report_age: 5 * SEC,
            ..basic("routing-poll-5s-lag-5s")
        },
        many("routing-600"),
        faulty(many("routing-600-slow"), slow),
        faulty(many("routing-600-black-hole"), hole),
        Setup {
            prefixes: hot,
            ..many("routing-600-hot")
        },
        Setup {
            poll: 5 * SEC,
            ..many("routing-600-poll-5s")
        },
        Setup {
            subset: 3 * SUBSET,
            ..many("routing-600-subset-96")
        },
    ]
}

fn many(name: &'static str, quick: bool) -> Setup {
    Setup {
        routers: MANY_ROUTERS,
        runners: MANY,
        subset: SUBSET,
        length: if quick { 25 } else { 80 } * SEC,
        ..Setup::basic(name, quick)
    }
}
