//! The running engine: the batch, the task that steps it, and the load report.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use super::batch::{Batch, Job, Load, StreamNo};
use super::text::Endpoint;
use crate::fault::{BaseFault, Fault, Switches};

/// Number of tokens per request and step when no pace is set.
const UNPACED_TOKENS: u64 = 64;
/// Interval at which a frozen engine and the load sampler read the switches.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Fault switches of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineFault {
    /// Switches that every stand-in has.
    #[serde(flatten)]
    pub base: BaseFault,
    /// Maximum number of concurrently running requests.
    pub slots: usize,
    /// Time per token of a running request, in ms; 0 for no delay.
    pub pace_ms: u64,
    /// Maximum age of a load report, in ms.
    pub load_lag_ms: u64,
    /// Retention of finished streams, in ms.
    pub keep_ms: u64,
    /// New requests get 503 with `x-draining: true`.
    pub draining: bool,
    /// The load report says that the engine is draining, but new requests are accepted.
    pub told_draining: bool,
    /// Number of events after which a connection is reset; null for never.
    pub cut_after: Option<u64>,
    /// Adjacent events are swapped pairwise.
    pub reorder: bool,
    /// Each event is sent twice.
    pub double: bool,
    /// Number of an event that the first connection skips; null for none.
    pub drop_chunk: Option<u64>,
    /// Factor on the time per token.
    pub slow: f64,
    /// New requests get 500 at once and do not run.
    pub fail_fast: bool,
    /// The engine neither runs nor answers requests.
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
    /// Fault switches.
    pub switches: Switches<EngineFault>,
    batch: Mutex<Batch>,
    endpoints: Mutex<BTreeMap<StreamNo, Endpoint>>,
    changed: watch::Sender<()>,
    work: Notify,
    report: Mutex<(Load, Instant)>,
    start: Instant,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(fault: EngineFault) -> Arc<Self> {
        Arc::new(Self {
            switches: Switches::new(fault),
            batch: Mutex::default(),
            endpoints: Mutex::default(),
            changed: watch::Sender::new(()),
            work: Notify::new(),
            report: Mutex::new((Load::default(), Instant::now())),
            start: Instant::now(),
        })
    }

    /// Queues a request and returns the number of its stream.
    pub fn submit(&self, endpoint: Endpoint, job: Job) -> StreamNo {
        let keep_ms = self.switches.get().keep_ms;
        let mut batch = self.batch();
        batch.sweep(self.now_ms(), keep_ms);
        let no = batch.submit(job);
        let mut endpoints = self.endpoints.lock().expect("no holder panics");
        endpoints.retain(|no, _endpoint| batch.stream(*no).is_some());
        endpoints.insert(no, endpoint);
        drop(batch);
        self.work.notify_one();
        no
    }

    /// Cancels a stream. Returns false when it is unknown or has ended.
    pub fn cancel(&self, no: StreamNo) -> bool {
        let cancelled = self.batch().cancel(no, self.now_ms());
        self.changed.send_replace(());
        cancelled
    }

    /// Returns the endpoint of a retained stream.
    pub fn endpoint_of(&self, no: StreamNo) -> Option<Endpoint> {
        self.endpoints
            .lock()
            .expect("no holder panics")
            .get(&no)
            .copied()
    }

    /// Locks the batch.
    pub fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch.lock().expect("no holder panics")
    }

    /// Returns a receiver that is notified after each step and each cancellation.
    pub fn watch(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the reported load and its age.
    pub fn report(&self) -> (Load, Duration) {
        if self.switches.get().load_lag_ms == 0 {
            return (self.batch().load(), Duration::ZERO);
        }
        let (load, at) = *self.report.lock().expect("no holder panics");
        (load, at.elapsed())
    }

    /// Waits until the engine is not frozen.
    pub async fn wait_until_thawed(&self) {
        while self.switches.get().freeze {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Steps the batch until the task is aborted.
    pub async fn run(self: Arc<Self>) {
        loop {
            self.wait_until_thawed().await;
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

    /// Samples the load for the report until the task is aborted.
    pub async fn sample(self: Arc<Self>) {
        loop {
            let load = self.batch().load();
            *self.report.lock().expect("no holder panics") = (load, Instant::now());
            let lag = Duration::from_millis(self.switches.get().load_lag_ms);
            tokio::time::sleep(lag.max(POLL_INTERVAL)).await;
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
