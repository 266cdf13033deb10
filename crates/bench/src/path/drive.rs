//! Sends calls and times them.
//!
//! Each thread has a runtime of its own, so that the client adds no change of thread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use anyhow::Context;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

use super::caller::{Caller, Side};

/// Failed calls that are shown, of the whole run.
const SHOWN: u64 = 3;
static SEEN: AtomicU64 = AtomicU64::new(0);
/// One call in so many is made before, to warm up.
const WARM: u64 = 10;
/// Nanoseconds in a millisecond.
const MS: f64 = 1e6;

/// How the connections of a side send.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Each sends again at once, for this time.
    Closed(Duration),
    /// Together they send this many calls a second, evenly, whatever the answers take.
    Open {
        /// Calls a second.
        rate: f64,
        /// For this time.
        time: Duration,
    },
}

/// What a side is put under.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Connections.
    pub conns: usize,
    /// Threads that they are spread over.
    pub threads: usize,
    /// How they send.
    pub load: Load,
}

/// Times of calls.
#[derive(Clone, Debug)]
pub struct Tally {
    times: Histogram<u64>,
    failed: u64,
    busy: Duration,
}

impl Tally {
    /// No calls.
    #[must_use]
    pub fn new() -> Self {
        let times = Histogram::new(3).expect("three digits are allowed");
        Self {
            times,
            failed: 0,
            busy: Duration::ZERO,
        }
    }

    /// Adds the calls of another turn.
    pub fn join(&mut self, turn: &Self) {
        self.add(turn);
        self.busy += turn.busy;
    }

    /// Whole calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.times.len()
    }

    /// Calls without a whole answer.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.failed
    }

    /// Whole calls a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.calls() as f64 / self.busy.as_secs_f64()
    }

    /// The time (ms) that a share of the calls stayed under.
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
            if SEEN.fetch_add(1, Ordering::Relaxed) < SHOWN {
                eprintln!("a call failed: {error:#}");
            }
            return;
        }
        let noted = self.times.record(time.as_nanos() as u64);
        noted.expect("a histogram that resizes takes all values");
    }
}

/// Calls of some sides in turns, on one connection each.
///
/// # Errors
/// When a side can't be reached.
pub async fn turns(sides: Vec<Side>, calls: u64) -> anyhow::Result<Vec<Tally>> {
    in_thread(async move {
        let mut lanes = Vec::new();
        for side in sides {
            lanes.push((Caller::open(side).await?, Tally::new()));
        }
        for _warm in 0..calls / WARM {
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

/// Puts one side under load for one turn.
///
/// # Errors
/// When the side can't be reached.
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

/// One thread's share of the connections.
async fn share(side: Side, work: Work, thread: usize, barrier: &Barrier) -> anyhow::Result<Tally> {
    let mut callers = Vec::new();
    for place in (thread..work.conns).step_by(work.threads) {
        callers.push((place, warm(&side).await));
    }
    // All threads stand here, so that no connection is opened under load.
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
                // A connection that is free waits, and the timer's error isn't the
                // callee's; one that is late counts from when it was due.
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
