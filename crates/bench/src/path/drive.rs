//! Load generator: sends calls and records their latencies.
//!
//! Each thread has its own runtime, so that the client adds no thread switches.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::caller::{Caller, Target};

/// Maximum failed calls printed in the whole run.
const MAX_SHOWN_FAILURES: u64 = 3;
static FAILURES: AtomicU64 = AtomicU64::new(0);
/// Measured calls per warm-up call.
const CALLS_PER_WARMUP: u64 = 10;
/// Nanoseconds in a millisecond.
const MS: f64 = 1e6;

/// Load pattern of the connections to a side.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Closed loop: each connection sends its next call at once, for this duration.
    Closed(Duration),
    /// Open loop: calls are sent at a constant total rate, independent of latency.
    Open {
        /// Calls a second.
        rate: f64,
        /// Duration.
        time: Duration,
    },
}

/// Workload of a side.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Number of connections.
    pub connections: usize,
    /// Number of threads that share the connections.
    pub threads: usize,
    /// Load pattern.
    pub load: Load,
}

/// Latencies of calls.
#[derive(Clone, Debug)]
pub struct CallStats {
    times: Histogram<u64>,
    failed: u64,
    busy: Duration,
}

impl CallStats {
    /// Creates an empty tally.
    #[must_use]
    pub fn new() -> Self {
        let times = Histogram::new(3).expect("three digits are allowed");
        Self {
            times,
            failed: 0,
            busy: Duration::ZERO,
        }
    }

    /// Merges the calls of another turn.
    pub fn merge(&mut self, turn: &Self) {
        self.add(turn);
        self.busy += turn.busy;
    }

    /// Number of calls with a complete answer.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.times.len()
    }

    /// Number of calls without a complete answer.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Completed calls a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.calls() as f64 / self.busy.as_secs_f64()
    }

    /// Returns the latency quantile (ms) for the given share of calls.
    #[must_use]
    pub fn at(&self, share: f64) -> f64 {
        self.times.value_at_quantile(share) as f64 / MS
    }

    fn add(&mut self, other: &Self) {
        let added = self.times.add(&other.times);
        added.expect("a histogram that resizes takes all values");
        self.failed += other.failed;
    }

    fn record_call(&mut self, done: &anyhow::Result<()>, time: Duration) {
        if let Err(error) = done {
            self.failed += 1;
            if FAILURES.fetch_add(1, Ordering::Relaxed) < MAX_SHOWN_FAILURES {
                eprintln!("a call failed: {error:#}");
            }
            return;
        }
        let noted = self.times.record(time.as_nanos() as u64);
        noted.expect("a histogram that resizes takes all values");
    }
}

/// Calls the sides alternately, on one connection each.
///
/// # Errors
/// Fails when a side can't be reached.
pub async fn turns(targets: Vec<Target>, calls: u64) -> anyhow::Result<Vec<CallStats>> {
    in_thread(async move {
        let mut lanes = Vec::new();
        for target in targets {
            lanes.push((Caller::open(target).await?, CallStats::new()));
        }
        for _warm in 0..calls / CALLS_PER_WARMUP {
            for (caller, _tally) in &mut lanes {
                caller.call().await?;
            }
        }
        for _call in 0..calls {
            for (caller, stats) in &mut lanes {
                let start = Instant::now();
                let done = caller.call().await;
                stats.record_call(&done, start.elapsed());
            }
        }
        Ok(lanes.into_iter().map(|(_caller, stats)| stats).collect())
    })
    .await
}

/// Runs the workload against one side for one turn.
///
/// # Errors
/// Fails when the side can't be reached.
pub async fn drive(target: &Target, work: Workload) -> anyhow::Result<CallStats> {
    let barrier = Arc::new(Barrier::new(work.threads));
    let mut threads = Vec::new();
    for thread in 0..work.threads {
        let (target, barrier) = (target.clone(), Arc::clone(&barrier));
        threads.push(tokio::spawn(in_thread(async move {
            share(target, work, thread, &barrier).await
        })));
    }
    let mut stats = CallStats::new();
    for thread in threads {
        let part = thread.await.context("a thread of callers")??;
        stats.add(&part);
        stats.busy = stats.busy.max(part.busy);
    }
    Ok(stats)
}

/// Runs one thread's share of the connections.
async fn share(
    target: Target,
    work: Workload,
    thread: usize,
    barrier: &Barrier,
) -> anyhow::Result<CallStats> {
    let mut callers = Vec::new();
    for place in (thread..work.connections).step_by(work.threads) {
        callers.push((place, open_warmed_up(&target).await));
    }
    // Wait for all threads, so that no connection is opened under load.
    barrier.wait();
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (place, caller) in callers {
        tasks.spawn(send(caller?, work, place, start));
    }
    let mut stats = CallStats::new();
    while let Some(part) = tasks.join_next().await {
        stats.add(&part.context("a caller")?);
    }
    stats.busy = start.elapsed();
    Ok(stats)
}

async fn open_warmed_up(target: &Target) -> anyhow::Result<Caller> {
    let mut caller = Caller::open(target.clone()).await?;
    caller.call().await?;
    Ok(caller)
}

async fn send(mut caller: Caller, work: Workload, place: usize, start: Instant) -> CallStats {
    let mut stats = CallStats::new();
    match work.load {
        Load::Closed(time) => {
            while start.elapsed() < time {
                let begin = Instant::now();
                let done = caller.call().await;
                stats.record_call(&done, begin.elapsed());
            }
        }
        Load::Open { rate, time } => {
            let gap = Duration::from_secs_f64(work.connections as f64 / rate);
            let mut due = start + gap.mul_f64(place as f64 / work.connections as f64);
            while due < start + time {
                // An idle connection waits until the call is due, and the timer's error is not
                // attributed to the server; a late call is timed from when it was due.
                let mut begin = due;
                if Instant::now() < due {
                    tokio::time::sleep_until(due.into()).await;
                    begin = Instant::now();
                }
                let done = caller.call().await;
                stats.record_call(&done, begin.elapsed());
                due += gap;
            }
        }
    }
    stats
}

/// Runs a future on a thread and a runtime of its own.
async fn in_thread<T: Send + 'static>(
    work: impl Future<Output = anyhow::Result<T>> + Send + 'static,
) -> anyhow::Result<T> {
    let joined = tokio::task::spawn_blocking(move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().context("a runtime")?;
        runtime.block_on(work)
    });
    joined.await.context("a thread")?
}
