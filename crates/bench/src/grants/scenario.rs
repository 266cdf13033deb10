//! Scenarios and their output rows.

use swiftlink_types::{Micros, Tokens};

use super::outcome::Outcome;
use super::setup::{Arrival, Counted, MEAN_SPEND, PolicySpec, Setup, Size, Window, arrivals};
use super::simulation::Simulation;
use crate::draw::SEC;
use crate::row::Rows;

/// Requests a second: with 8 holders, as a budget runs out, and with 300 holders.
const RATE: f64 = 20.0;
const RATE_TAIL: f64 = 100.0;
const RATE_MANY: f64 = 300.0;
/// Claim size of the fixed-chunk policy (tokens): 20 mean requests.
const CHUNK: Tokens = 20 * MEAN_SPEND;
/// Duration of each fault.
const FAULT_LENGTH: Micros = 600 * SEC;
/// Start time of each fault.
const FAULT_START: Micros = 300 * SEC;
/// Interval between top-ups (s).
const TOP_UP: u64 = 60;
/// Seeds averaged for each point of the curve.
const CURVE_REPEATS: u64 = 4;
/// Points of the curve: demand held ahead (s), and quota held per free token.
const CURVE: [(u64, f64); 11] = [
    (2, 1.0),
    (5, 1.0),
    (10, 1.0),
    (30, 1.0),
    (60, 1.0),
    (120, 1.0),
    (300, 1.0),
    (900, 1.0),
    (120, 3.0),
    (300, 3.0),
    (900, 3.0),
];

/// Runs all scenarios with all policies.
pub fn run(seed: u64, quick: bool, rows: &mut Rows) {
    for setup in setups(quick) {
        let arrivals = arrivals(&setup, seed);
        for policy in policies() {
            measure(&setup, &policy, &arrivals, rows);
        }
    }
}

/// Runs the fault scenarios over the settings between the trade-offs of two users, who
/// weigh the metrics differently.
pub fn ahead_curve(seed: u64, quick: bool, rows: &mut Rows) {
    let setups = [partition(quick), log_out(quick), tail(8, quick)];
    let repeats = if quick { 1 } else { CURVE_REPEATS };
    for setup in setups {
        let name = format!("curve-{}", setup.name);
        for (ahead, hold) in CURVE {
            let label = format!("ahead={ahead}s,hold={hold}");
            let policy = PolicySpec::demand(&label, ahead, hold, true);
            let mut sum = Outcome::default();
            // The quota held when a fault begins depends on the last claims, so average seeds.
            for repeat in 0..repeats {
                let arrivals = arrivals(&setup, seed + repeat);
                sum.add(&Simulation::new(&setup, &policy, &arrivals).run());
            }
            sum.divide(repeats);
            write(&name, &policy.name, &setup, &sum, rows);
        }
    }
}

fn policies() -> Vec<PolicySpec> {
    vec![
        PolicySpec::new("even-split", Size::Even, false),
        PolicySpec::new("fixed-chunk", Size::Chunk(CHUNK), false),
        PolicySpec::demand("demand", 10, 1.0, false),
        PolicySpec::demand("demand-relay", 10, 1.0, true),
        PolicySpec::demand("demand-relay-900s", 900, 3.0, true),
    ]
}

fn setups(quick: bool) -> Vec<Setup> {
    vec![
        steady(8, quick),
        partition(quick),
        tail(8, quick),
        hot_domain(quick),
        log_out(quick),
        steady(300, quick),
        tail(300, quick),
    ]
}

fn measure(setup: &Setup, policy: &PolicySpec, arrivals: &[Arrival], rows: &mut Rows) {
    let outcome = Simulation::new(setup, policy, arrivals).run();
    write(setup.name, &policy.name, setup, &outcome, rows);
}

fn write(scenario: &str, policy: &str, setup: &Setup, outcome: &Outcome, rows: &mut Rows) {
    let mut add = |metric, value| rows.add(scenario, policy, metric, value);
    add("overspend_tokens", outcome.overspend as f64);
    add("void_charges", outcome.void_charges as f64);
    let side = &outcome.outside;
    add("false_refused_pct", 100.0 * side.false_share());
    add("missing_pct", 100.0 * side.missing_share());
    add("refused_with_rest_pct", 100.0 * side.funded_share());
    if setup.partition.is_some() {
        let side = &outcome.inside;
        add("cut_false_refused_pct", 100.0 * side.false_share());
        add("cut_missing_pct", 100.0 * side.missing_share());
        add("cut_stranded_tokens", outcome.held_partitioned);
    }
    add("stranded_tokens", outcome.held);
    add(
        "stranded_per_vm_tokens",
        outcome.held / setup.weights.len() as f64,
    );
    add("left_tokens", outcome.left as f64);
    let thousands = outcome.requests as f64 / 1_000.0;
    add(
        "claims_returns_per_1k",
        outcome.transfers as f64 / thousands,
    );
    add("appends_per_1k", outcome.appends as f64 / thousands);
    add(
        "relayed_pct",
        100.0 * outcome.relayed as f64 / outcome.requests as f64,
    );
}

/// Returns moderately uneven demand shares.
fn uneven(holders: usize) -> Vec<f64> {
    (0..holders).map(|n| 1.0 + 0.1 * (n % 6) as f64).collect()
}

fn rate(holders: usize) -> f64 {
    if holders > 8 { RATE_MANY } else { RATE }
}

/// Tops up `first` seconds of demand at the start, then a minute's demand each minute.
fn periodic_top_ups(rate: f64, first: u64, length: Micros) -> Vec<(Micros, Tokens)> {
    let mut list = vec![(0, Setup::demand(rate, first))];
    let minutes = length / (TOP_UP * SEC);
    for minute in 1..minutes {
        list.push((minute * TOP_UP * SEC, Setup::demand(rate, TOP_UP)));
    }
    list
}

fn steady(holders: usize, quick: bool) -> Setup {
    let length = if quick { 120 } else { 600 } * SEC;
    let rate = rate(holders);
    Setup {
        name: if holders > 8 {
            "grants-steady-300"
        } else {
            "grants-steady"
        },
        weights: uneven(holders),
        domains: 4,
        rate,
        length,
        top_ups: periodic_top_ups(rate, 360, length),
        partition: None,
        log_outage: None,
        counted: Counted::All,
    }
}

fn fault_window(quick: bool) -> Window {
    let scale = if quick { 10 } else { 1 };
    Window {
        from: FAULT_START / scale,
        until: (FAULT_START + FAULT_LENGTH) / scale,
    }
}

fn partition(quick: bool) -> Setup {
    let partition = fault_window(quick);
    let length = partition.until + partition.from;
    Setup {
        name: "grants-cut",
        length,
        top_ups: periodic_top_ups(RATE, 360, length),
        partition: Some(partition),
        ..steady(8, quick)
    }
}

fn log_out(quick: bool) -> Setup {
    let log_outage = fault_window(quick);
    let length = log_outage.until + log_outage.from;
    Setup {
        name: "grants-log-out",
        length,
        // Top up in advance: nothing reaches the log during its outage.
        top_ups: vec![(0, Setup::demand(RATE, 3_600))],
        log_outage: Some(log_outage),
        ..steady(8, quick)
    }
}

fn hot_domain(quick: bool) -> Setup {
    let mut weights = vec![0.1; 8];
    weights[0] = 8.0;
    weights[4] = 8.0;
    let length = if quick { 120 } else { 600 } * SEC;
    Setup {
        name: "grants-hot-domain",
        weights,
        length,
        // The busy domain needs more than its even share of the budget.
        top_ups: vec![(0, Setup::demand(RATE, length / SEC * 5 / 4))],
        ..steady(8, quick)
    }
}

fn tail(holders: usize, quick: bool) -> Setup {
    let rate = rate(holders).max(RATE_TAIL);
    let secs = if quick { 300 } else { 1_500 };
    Setup {
        name: if holders > 8 {
            "grants-tail-300"
        } else {
            "grants-tail"
        },
        rate,
        length: (secs + secs / 5) * SEC,
        top_ups: vec![(0, Setup::demand(rate, secs))],
        counted: Counted::Tail(0.02),
        ..steady(holders, quick)
    }
}
