//! Proxy overhead: the same call to the same engine, direct and through a router.
//!
//! Real processes on loopback, in one run; direct and routed calls alternate, so that
//! other load on the machine affects both. The engine only streams, so unstreamed
//! routed answers are compared with the same direct stream. Results are in
//! milliseconds of wall time and depend on the machine; the load average is reported too.

mod caller;
mod drive;
mod idle;
mod process;
mod sockets;
mod testbed;
mod usage;

use std::time::Duration;

use anyhow::Context;

use crate::row::Rows;
use caller::Target;
use drive::{CallStats, Load, Workload};
use usage::Meter;

/// Connections in the scenarios under load.
const CONNECTIONS: usize = 256;

/// Extent of the measurement.
#[derive(Clone, Copy)]
struct Size {
    rounds: usize,
    calls: u64,
    time: Duration,
}

impl Size {
    fn of(quick: bool) -> Self {
        if quick {
            return Self {
                rounds: 2,
                calls: 2_000,
                time: Duration::from_millis(500),
            };
        }
        Self {
            rounds: 8,
            calls: 10_000,
            time: Duration::from_millis(1_500),
        }
    }
}

/// Measures the proxy overhead. If the processes can't be started, for example because
/// their binaries are missing from this binary's directory, a row reports it.
pub fn run(_seed: u64, quick: bool, rows: &mut Rows) {
    let measured = runtime().block_on(path(Size::of(quick), rows));
    report_completion("path", &measured, rows);
}

/// Measures the idle cost of the daemons, by the size of the fleet and by the
/// number of resources.
pub fn run_idle(_seed: u64, quick: bool, rows: &mut Rows) {
    let measured = runtime().block_on(idle::measure(quick, rows));
    report_completion("idle", &measured, rows);
}

fn report_completion(name: &str, measured: &anyhow::Result<()>, rows: &mut Rows) {
    if let Err(error) = measured {
        eprintln!("measurement of {name} is incomplete: {error:#}");
    }
    let whole = f64::from(u8::from(measured.is_ok()));
    rows.add(name, "machine", "measured_whole", whole);
}

fn runtime() -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(2).enable_all().build();
    runtime.expect("threads can be started")
}

async fn path(size: Size, rows: &mut Rows) -> anyhow::Result<()> {
    let fleet = testbed::start(3, 0).await.context("starting the fleet")?;
    let engine = fleet.engines[0].address();
    let direct = Target::new(engine, true, testbed::SECRET);
    rows.add("path", "machine", "load_average", usage::load_average());
    for (name, stream) in [("stream", true), ("whole", false)] {
        let routed = Target::new(fleet.router(0), stream, testbed::SECRET);
        let targets = [direct.clone(), routed];
        measure_alternating(&format!("path-1-{name}"), &targets, size, rows).await?;
        let rate = measure_closed_loop(&format!("path-256-{name}"), &targets, size, rows).await?;
        measure_open_loop(
            &format!("path-half-{name}"),
            &targets,
            rate / 2.0,
            size,
            rows,
        )
        .await?;
    }
    rows.add("path", "machine", "load_average_end", usage::load_average());
    Ok(())
}

/// Measures one connection per side, with alternating calls.
async fn measure_alternating(
    name: &str,
    targets: &[Target; 2],
    size: Size,
    rows: &mut Rows,
) -> anyhow::Result<()> {
    let stats = drive::turns(targets.to_vec(), size.calls).await?;
    report(name, &stats[0], &stats[1], rows);
    Ok(())
}

/// Measures many connections in a closed loop; returns the routed calls a second.
async fn measure_closed_loop(
    name: &str,
    targets: &[Target; 2],
    size: Size,
    rows: &mut Rows,
) -> anyhow::Result<f64> {
    let work = Workload {
        connections: CONNECTIONS,
        threads: 4,
        load: Load::Closed(size.time),
    };
    let mut direct = CallStats::new();
    let mut routed = CallStats::new();
    let mut ratios = Vec::new();
    let mut meter = Meter::new();
    for _round in 0..size.rounds {
        let first = drive::drive(&targets[0], work).await?;
        meter.begin();
        let second = drive::drive(&targets[1], work).await?;
        meter.end();
        ratios.push(second.rate() / first.rate());
        direct.merge(&first);
        routed.merge(&second);
    }
    report(name, &direct, &routed, rows);
    rows.add(name, "direct", "calls_per_s", direct.rate());
    rows.add(name, "routed", "calls_per_s", routed.rate());
    rows.add(name, "ratio", "calls_per_s", routed.rate() / direct.rate());
    ratios.sort_by(f64::total_cmp);
    rows.add(
        name,
        "ratio",
        "calls_per_s_median",
        ratios[ratios.len() / 2],
    );
    meter.report(name, routed.calls(), rows);
    Ok(routed.rate())
}

/// Measures many connections at a constant total rate of calls a second.
async fn measure_open_loop(
    name: &str,
    targets: &[Target; 2],
    rate: f64,
    size: Size,
    rows: &mut Rows,
) -> anyhow::Result<()> {
    let work = Workload {
        connections: CONNECTIONS,
        threads: 4,
        load: Load::Open {
            rate,
            time: size.time,
        },
    };
    let mut direct = CallStats::new();
    let mut routed = CallStats::new();
    for _round in 0..size.rounds {
        direct.merge(&drive::drive(&targets[0], work).await?);
        routed.merge(&drive::drive(&targets[1], work).await?);
    }
    report(name, &direct, &routed, rows);
    rows.add(name, "routed", "calls_per_s", routed.rate());
    Ok(())
}

fn report(name: &str, direct: &CallStats, routed: &CallStats, rows: &mut Rows) {
    for (policy, stats) in [("direct", direct), ("routed", routed)] {
        rows.add(name, policy, "p50_ms", stats.at(0.5));
        rows.add(name, policy, "p99_ms", stats.at(0.99));
        rows.add(name, policy, "calls", stats.calls() as f64);
        rows.add(name, policy, "failed", stats.failed() as f64);
    }
    let added = |at| routed.at(at) - direct.at(at);
    rows.add(name, "added", "p50_ms", added(0.5));
    rows.add(name, "added", "p99_ms", added(0.99));
}
