//! Load generator: sends calls and records their latencies.
//!
//! Each thread has its own runtime, so that the client adds no thread switches.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::caller::{Caller, Side};

/// Maximum failed calls printed in the whole run.
const MAX_SHOWN_FAILURES: u64 = 3;
static SEEN: AtomicU64 = AtomicU64::new(0);
/// One warm-up call is made for every 10 measured calls.
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
pub struct Work {
    /// Number of connections.
    pub conns: usize,
    /// Number of threads that share the connections.
    pub threads: usize,
    /// Load pattern.
    pub load: Load,
}

/// Latencies of calls.
#[derive(Clone, Debug)]
pub struct Tally {
    times: Histogram<u64>,
    failed: u64,
    busy: Duration,
}

impl Tally {
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
    pub fn join(&mut self, turn: &Self) {
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

    fn note(&mut self, done: &anyhow::Result<()>, time: Duration) {
        if let Err(error) = done {
            self.failed += 1;
            if SEEN.fetch_add(1, Ordering::Relaxed) < MAX_SHOWN_FAILURES {
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
pub async fn turns(sides: Vec<Side>, calls: u64) -> anyhow::Result<Vec<Tally>> {
    in_thread(async move {
        let mut lanes = Vec::new();
        for side in sides {
            lanes.push((Caller::open(side).await?, Tally::new()));
        }
        for _warm in 0..calls / CALLS_PER_WARMUP {
            for (caller, _tally) in &mut lanes {
                caller.call().await?;
            }
        }
        for _call in 0..calls {
            for (caller, tally) in &mut lanes {
                let start = Instant::now();
                let done = caller.call().await;
                tally.note(&done, start.elapsed());
            }
        }
        Ok(lanes.into_iter().map(|(_caller, tally)| tally).collect())
    })
    .await
}

/// Runs the workload against one side for one turn.
///
/// # Errors
/// Fails when the side can't be reached.
pub async fn drive(side: &Side, work: Work) -> anyhow::Result<Tally> {
    let barrier = Arc::new(Barrier::new(work.threads));
    let mut threads = Vec::new();
    for thread in 0..work.threads {
        let (side, barrier) = (side.clone(), Arc::clone(&barrier));
        threads.push(tokio::spawn(in_thread(async move {
            share(side, work, thread, &barrier).await
        })));
    }
    let mut tally = Tally::new();
    for thread in threads {
        let part = thread.await.context("a thread of callers")??;
        tally.add(&part);
        tally.busy = tally.busy.max(part.busy);
    }
    Ok(tally)
}

/// Runs one thread's share of the connections.
async fn share(side: Side, work: Work, thread: usize, barrier: &Barrier) -> anyhow::Result<Tally> {
    let mut callers = Vec::new();
    for place in (thread..work.conns).step_by(work.threads) {
        callers.push((place, warm(&side).await));
    }
    // Wait for all threads, so that no connection is opened under load.
    barrier.wait();
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (place, caller) in callers {
        tasks.spawn(send(caller?, work, place, start));
    }
    let mut tally = Tally::new();
    while let Some(part) = tasks.join_next().await {
        tally.add(&part.context("a caller")?);
    }
    tally.busy = start.elapsed();
    Ok(tally)
}

async fn warm(side: &Side) -> anyhow::Result<Caller> {
    let mut caller = Caller::open(side.clone()).await?;
    caller.call().await?;
    Ok(caller)
}

async fn send(mut caller: Caller, work: Work, place: usize, start: Instant) -> Tally {
    let mut tally = Tally::new();
    match work.load {
        Load::Closed(time) => {
            while start.elapsed() < time {
                let begin = Instant::now();
                let done = caller.call().await;
                tally.note(&done, begin.elapsed());
            }
        }
        Load::Open { rate, time } => {
            let gap = Duration::from_secs_f64(work.conns as f64 / rate);
            let mut due = start + gap.mul_f64(place as f64 / work.conns as f64);
            while due < start + time {
                // An idle connection waits until the call is due, and the timer's error is not
                // attributed to the server; a late call is timed from when it was due.
                let mut begin = due;
                if Instant::now() < due {
                    tokio::time::sleep_until(due.into()).await;
                    begin = Instant::now();
                }
                let done = caller.call().await;
                tally.note(&done, begin.elapsed());
                due += gap;
            }
        }
    }
    tally
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
