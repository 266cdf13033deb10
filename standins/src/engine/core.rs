//! The running engine: the batch, its stepping task and its load report.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use super::batch::{Batch, Job, Load, StreamNo};
use super::text::Call;
use crate::fault::{BaseFault, Fault, Switches};

/// Tokens per request and step when no pace is set.
const UNPACED_TOKENS: u64 = 64;
/// How often a frozen engine, and the load sampler, look at the switches.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Switches of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFault {
    /// Switches that every stand-in has.
    #[serde(flatten)]
    pub base: BaseFault,
    /// Requests that run at once.
    pub slots: usize,
    /// Time per token of a running request (ms); 0: as fast as it goes.
    pub pace_ms: u64,
    /// Age that a load report may have (ms).
    pub load_lag_ms: u64,
    /// How long finished streams are kept (ms).
    pub keep_ms: u64,
    /// New work is answered 503 with `x-draining: true`.
    pub draining: bool,
    /// The load report says that the engine is draining, but new work is taken.
    pub told_draining: bool,
    /// A connection breaks after so many events; null: never.
    pub cut_after: Option<u64>,
    /// Events come in swapped pairs.
    pub reorder: bool,
    /// Each event comes twice.
    pub double: bool,
    /// The event with this number is left out of the first connection; null: none.
    pub drop_chunk: Option<u64>,
    /// The pace is multiplied by this.
    pub slow: f64,
    /// New work is answered 500 at once and does not run.
    pub fail_fast: bool,
    /// Nothing runs and nothing is answered.
    pub freeze: bool,
}

impl Fault for EngineFault {
    fn base(&self) -> BaseFault {
        self.base.clone()
    }
}

impl Default for EngineFault {
    fn default() -> Self {
        Self {
            base: BaseFault::default(),
            slots: 32,
            pace_ms: 0,
            load_lag_ms: 0,
            keep_ms: 60_000,
            draining: false,
            told_draining: false,
            cut_after: None,
            reorder: false,
            double: false,
            drop_chunk: None,
            slow: 1.0,
            fail_fast: false,
            freeze: false,
        }
    }
}

/// The engine behind its HTTP interface.
pub struct Engine {
    /// Switches.
    pub switches: Switches<EngineFault>,
    batch: Mutex<Batch>,
    calls: Mutex<BTreeMap<StreamNo, Call>>,
    changed: watch::Sender<()>,
    work: Notify,
    report: Mutex<(Load, Instant)>,
    start: Instant,
}

impl Engine {
    /// An idle engine.
    pub fn new(fault: EngineFault) -> Arc<Self> {
        Arc::new(Self {
            switches: Switches::new(fault),
            batch: Mutex::default(),
            calls: Mutex::default(),
            changed: watch::Sender::new(()),
            work: Notify::new(),
            report: Mutex::new((Load::default(), Instant::now())),
            start: Instant::now(),
        })
    }

    /// Queues a request.
    pub fn submit(&self, call: Call, job: Job) -> StreamNo {
        let keep_ms = self.switches.get().keep_ms;
        let mut batch = self.batch();
        batch.sweep(self.now_ms(), keep_ms);
        let no = batch.submit(job);
        let mut calls = self.calls.lock().expect("no holder panics");
        calls.retain(|no, _call| batch.stream(*no).is_some());
        calls.insert(no, call);
        drop(batch);
        self.work.notify_one();
        no
    }

    /// Ends a stream early; false when it is unknown or has ended.
    pub fn cancel(&self, no: StreamNo) -> bool {
        let cancelled = self.batch().cancel(no, self.now_ms());
        self.changed.send_replace(());
        cancelled
    }

    /// Which call a kept stream belongs to.
    pub fn call_of(&self, no: StreamNo) -> Option<Call> {
        self.calls
            .lock()
            .expect("no holder panics")
            .get(&no)
            .copied()
    }

    /// The batch, locked.
    pub fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().expect("no holder panics")
    }

    /// A receiver that wakes after each step and each cancel.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// The load as reported, and its age.
    pub fn report(&self) -> (Load, Duration) {
        if self.switches.get().load_lag_ms == 0 {
            return (self.batch().load(), Duration::ZERO);
        }
        let (load, at) = *self.report.lock().expect("no holder panics");
        (load, at.elapsed())
    }

    /// Waits until the engine is not frozen.
    pub async fn thawed(&self) {
        while self.switches.get().freeze {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Steps the batch for ever.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.thawed().await;
            let fault = self.switches.get();
            let tokens = if fault.pace_ms == 0 {
                UNPACED_TOKENS
            } else {
                1
            };
            let busy = self.batch().step(self.now_ms(), fault.slots, tokens);
            self.changed.send_replace(());
            if !busy {
                self.work.notified().await;
                continue;
            }
            if fault.pace_ms == 0 {
                tokio::task::yield_now().await;
                continue;
            }
            let pace = Duration::from_millis(fault.pace_ms);
            tokio::time::sleep(pace.mul_f64(fault.slow.max(0.0))).await;
        }
    }

    /// Takes the load report's samples for ever.
    pub async fn sample(self: Arc<Self>) {
        loop {
            let load = self.batch().load();
            *self.report.lock().expect("no holder panics") = (load, Instant::now());
            let lag = Duration::from_millis(self.switches.get().load_lag_ms);
            tokio::time::sleep(lag.max(LOOK_EVERY)).await;
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
