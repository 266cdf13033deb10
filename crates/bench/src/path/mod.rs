//! Proxy overhead: the same call to the same engine, direct and through a router.
//!
//! Real processes on loopback, in one run; direct and routed calls alternate, so that
//! other load on the machine affects both. The engine only streams, so unstreamed
//! routed answers are compared with the same direct stream. Results are in
//! milliseconds of wall time and depend on the machine; the load average is reported too.

mod bed;
mod caller;
mod drive;
mod idle;
mod process;
mod sockets;
mod usage;

use std::time::Duration;

use anyhow::Context;

use crate::row::Rows;
use caller::Side;
use drive::{Load, Tally, Work};
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
    conclude("path", &measured, rows);
}

/// Measures the idle cost of the daemons, by the size of the fleet and by the
/// number of resources.
pub fn run_idle(_seed: u64, quick: bool, rows: &mut Rows) {
    let measured = runtime().block_on(idle::measure(quick, rows));
    conclude("idle", &measured, rows);
}

fn conclude(name: &str, measured: &anyhow::Result<()>, rows: &mut Rows) {
    if let Err(error) = measured {
        eprintln!("{name} isn't measured to its end: {error:#}");
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
    let fleet = bed::start(3, 0).await.context("starting the fleet")?;
    let engine = fleet.engines[0].address();
    let direct = Side::new(engine, true, bed::SECRET);
    rows.add("path", "machine", "load_average", usage::load_average());
    for (name, stream) in [("stream", true), ("whole", false)] {
        let routed = Side::new(fleet.router(0), stream, bed::SECRET);
        let sides = [direct.clone(), routed];
        one(&format!("path-1-{name}"), &sides, size, rows).await?;
        let rate = many(&format!("path-256-{name}"), &sides, size, rows).await?;
        half(&format!("path-half-{name}"), &sides, rate / 2.0, size, rows).await?;
    }
    rows.add("path", "machine", "load_average_end", usage::load_average());
    Ok(())
}

/// Measures one connection per side, with alternating calls.
async fn one(name: &str, sides: &[Side; 2], size: Size, rows: &mut Rows) -> anyhow::Result<()> {
    let tallies = drive::turns(sides.to_vec(), size.calls).await?;
    report(name, &tallies[0], &tallies[1], rows);
    Ok(())
}

/// Measures many connections in a closed loop; returns the routed calls a second.
async fn many(name: &str, sides: &[Side; 2], size: Size, rows: &mut Rows) -> anyhow::Result<f64> {
    let work = Work {
        conns: CONNECTIONS,
        threads: 4,
        load: Load::Closed(size.time),
    };
    let mut direct = Tally::new();
    let mut routed = Tally::new();
    let mut ratios = Vec::new();
    let mut meter = Meter::new();
    for _round in 0..size.rounds {
        let first = drive::drive(&sides[0], work).await?;
        meter.begin();
        let second = drive::drive(&sides[1], work).await?;
        meter.end();
        ratios.push(second.rate() / first.rate());
        direct.join(&first);
        routed.join(&second);
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
async fn half(
    name: &str,
    sides: &[Side; 2],
    rate: f64,
    size: Size,
    rows: &mut Rows,
) -> anyhow::Result<()> {
    let work = Work {
        conns: CONNECTIONS,
        threads: 4,
        load: Load::Open {
            rate,
            time: size.time,
        },
    };
    let mut direct = Tally::new();
    let mut routed = Tally::new();
    for _round in 0..size.rounds {
        direct.join(&drive::drive(&sides[0], work).await?);
        routed.join(&drive::drive(&sides[1], work).await?);
    }
    report(name, &direct, &routed, rows);
    rows.add(name, "routed", "calls_per_s", routed.rate());
    Ok(())
}

fn report(name: &str, direct: &Tally, routed: &Tally, rows: &mut Rows) {
    for (policy, tally) in [("direct", direct), ("routed", routed)] {
        rows.add(name, policy, "p50_ms", tally.at(0.5));
        rows.add(name, policy, "p99_ms", tally.at(0.99));
        rows.add(name, policy, "calls", tally.calls() as f64);
        rows.add(name, policy, "failed", tally.failed() as f64);
    }
    let added = |at| routed.at(at) - direct.at(at);
    rows.add(name, "added", "p50_ms", added(0.5));
    rows.add(name, "added", "p99_ms", added(0.99));
}
