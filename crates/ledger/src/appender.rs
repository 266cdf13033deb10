//! Appends to one budget stream, with one append in flight, repeated until it is folded.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use swiftlink_budget::{BatchFate, Fold};
use swiftlink_log::{Backoff, Log};
use swiftlink_telemetry::{Metrics, event};
use swiftlink_types::{Incarnation, Micros, wall_ms};
use swiftlink_wire::log::{Charges, LogRecord, Record, fate};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::batcher::{Batcher, EntryId, EntryOutcome, QueueFull};
use crate::clock::{Clock, lock};
use crate::log_health::LogHealth;
use crate::rate_limiter::RateLimiter;
use crate::stream::{Sink, Stream};
use crate::void::fate_name;

/// Initial upper bound of the backoff after a failed append.
const RETRY_BASE: Duration = Duration::from_millis(20);
/// Largest upper bound of that backoff, and so the longest time until an append notices
/// that the log has recovered.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// Identity of this process as a writer of batches.
#[derive(Debug, Clone)]
pub struct Writer {
    /// Name of the process.
    pub name: Arc<str>,
    /// Start time of the process (µs since 1970).
    pub epoch: u64,
}

/// Records that wait for the log, and the callers that wait for their outcomes.
pub struct Outbox {
    writer: Writer,
    metrics: Metrics,
    inner: Mutex<Inner>,
    work: Notify,
    folded: Notify,
}

struct Inner {
    batcher: Batcher,
    waiters: HashMap<EntryId, oneshot::Sender<EntryOutcome>>,
}

/// Waits for the fates of queued records. Dropping it removes the records from the
/// queue unless they were sent or hold charges.
#[derive(Debug)]
pub struct Waiter {
    entry_id: EntryId,
    outcome: oneshot::Receiver<EntryOutcome>,
    outbox: Arc<Outbox>,
}

impl Waiter {
    /// Waits until the fold has decided the records. Returns `None` when the process stops.
    pub async fn wait(&mut self) -> Option<EntryOutcome> {
        (&mut self.outcome).await.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut inner = lock(&self.outbox.inner);
        inner.waiters.remove(&self.entry_id);
        inner.batcher.cancel(self.entry_id);
    }
}

impl Outbox {
    /// Creates an empty outbox with a capacity of `limit` bytes of records.
    #[must_use]
    pub fn new(writer: Writer, limit: usize, metrics: Metrics) -> Arc<Self> {
        let batcher = Batcher::new(&writer.name, writer.epoch, limit);
        let inner = Inner {
            batcher,
            waiters: HashMap::new(),
        };
        Arc::new(Self {
            writer,
            metrics,
            inner: Mutex::new(inner),
            work: Notify::new(),
            folded: Notify::new(),
        })
    }

    /// Queues records for the log.
    ///
    /// # Errors
    /// [`QueueFull`] when the outbox would exceed its capacity; nothing was queued.
    pub fn submit(self: &Arc<Self>, records: Vec<Record>) -> Result<Waiter, QueueFull> {
        let (sender, outcome) = oneshot::channel();
        let entry_id = {
            let mut inner = lock(&self.inner);
            let entry_id = inner.batcher.add(records)?;
            inner.waiters.insert(entry_id, sender);
            entry_id
        };
        self.work.notify_one();
        Ok(Waiter {
            entry_id,
            outcome,
            outbox: Arc::clone(self),
        })
    }

    /// Queues records for the log without waiting for their fates.
    ///
    /// # Errors
    /// [`QueueFull`] when the outbox would exceed its capacity; nothing was queued.
    pub fn post(&self, records: Vec<Record>) -> Result<(), QueueFull> {
        lock(&self.inner).batcher.add(records)?;
        self.work.notify_one();
        Ok(())
    }

    /// Number of charges of `incarnation` that aren't folded yet.
    #[must_use]
    pub fn pending(&self, incarnation: &Incarnation) -> u64 {
        lock(&self.inner).batcher.pending(incarnation)
    }

    /// Number of charges of all incarnations that aren't folded yet.
    #[must_use]
    pub fn pending_total(&self) -> u64 {
        lock(&self.inner).batcher.pending_total()
    }

    /// Copies of all charges that aren't folded yet.
    #[must_use]
    pub fn pending_charges(&self) -> Vec<Charges> {
        lock(&self.inner).batcher.pending_charges()
    }

    /// Total size of the records that aren't folded yet (bytes).
    #[must_use]
    pub fn bytes(&self) -> usize {
        lock(&self.inner).batcher.bytes()
    }

    /// Waits until all queued records are folded.
    pub async fn wait_flushed(&self) {
        loop {
            let folded = self.folded.notified();
            if lock(&self.inner).batcher.is_empty() {
                return;
            }
            folded.await;
        }
    }

    async fn wait_for_work(&self) {
        loop {
            let work = self.work.notified();
            if lock(&self.inner).batcher.has_work() {
                return;
            }
            work.await;
        }
    }

    async fn wait_for_fold(&self, seq: u64) {
        loop {
            let folded = self.folded.notified();
            tokio::pin!(folded);
            folded.as_mut().enable();
            if !lock(&self.inner).batcher.is_unfolded(seq) {
                return;
            }
            folded.await;
        }
    }
}

impl Sink<BatchFate> for Outbox {
    fn on_decided(&self, fates: Vec<(u64, BatchFate)>, next: u64) {
        let mut inner = lock(&self.inner);
        for (offset, fate) in fates {
            if fate.writer != self.writer.name || fate.epoch != self.writer.epoch {
                continue;
            }
            for (entry_id, outcome) in inner.batcher.on_folded(fate.seq, offset, fate.fates) {
                count_charges(&self.metrics, &outcome);
                let Some(waiter) = inner.waiters.remove(&entry_id) else {
                    continue;
                };
                // Fails if the waiter was dropped.
                let _result = waiter.send(outcome);
            }
        }
        inner.batcher.on_advanced(next);
        drop(inner);
        self.folded.notify_waiters();
        self.work.notify_one();
    }
}

impl fmt::Debug for Outbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outbox").finish_non_exhaustive()
    }
}

/// Counts charges by fate, and logs void ones.
fn count_charges(metrics: &Metrics, outcome: &EntryOutcome) {
    for void in &outcome.void {
        metrics.count("ledger.void_tokens", void.cost);
        event!(
            warn,
            "charge.void",
            router = void.router,
            workspace = void.workspace,
            budget = void.budget,
            key = void.key,
            cost = void.cost,
            reason = fate_name(void.reason.into())
        );
    }
    for fate in &outcome.fates {
        let Some(fate::Kind::Charges(charges)) = &fate.kind else {
            continue;
        };
        for item in charges.items.iter().copied() {
            let name = fate_name(item);
            metrics.count_with("ledger.charges", 1, &[("fate", name)]);
        }
    }
}

/// Numbers of appends to a stream since the process started.
#[derive(Debug, Default)]
pub struct AppendCounters {
    /// Appends sent, including retries.
    pub sent: AtomicU64,
    /// Appends that failed or got no answer.
    pub failed: AtomicU64,
}

/// Task that appends the batches of one stream.
pub struct Appender {
    /// Stream to append to.
    pub stream: Arc<Stream<Fold>>,
    /// Source of the batches.
    pub outbox: Arc<Outbox>,
    /// The log.
    pub log: Arc<dyn Log>,
    /// Reachability of the log.
    pub log_health: Arc<LogHealth>,
    /// Limit of appends per second, shared by all streams of the process.
    pub rate_limiter: Arc<RateLimiter>,
    /// Shortest time between two appends to the stream (µs).
    pub min_interval: Micros,
    /// Counters of the stream.
    pub appends: Arc<AppendCounters>,
    /// Time source.
    pub clock: Clock,
    /// Metrics sender.
    pub metrics: Metrics,
}

impl Appender {
    /// Appends until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        let _stopped = stop.run_until_cancelled(self.append_all()).await;
    }

    async fn append_all(&self) {
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        let mut earliest = 0;
        let mut is_failing = false;
        loop {
            self.outbox.wait_for_work().await;
            self.clock.sleep_until(earliest).await;
            let slot = self.rate_limiter.reserve(self.clock.now());
            self.clock.sleep_until(slot).await;
            let taken = lock(&self.outbox.inner).batcher.next_batch(wall_ms());
            let Some((seq, data)) = taken else {
                continue;
            };
            earliest = self.clock.now() + self.min_interval;
            if self.append(seq, data).await {
                if is_failing {
                    // Every ledger has saved up a burst again during its backoff, and
                    // the log recovers for all of them at once.
                    self.rate_limiter.clear_burst(self.clock.now());
                }
                is_failing = false;
                backoff.reset();
                continue;
            }
            is_failing = true;
            self.rate_limiter.clear_burst(self.clock.now());
            let pause = tokio::time::sleep(backoff.next(rand::random()));
            tokio::select! {
                () = pause => {}
                // The batch was folded: only the answer was lost, and the log is reachable.
                () = self.outbox.wait_for_fold(seq) => backoff.reset(),
            }
        }
    }

    /// Appends one batch. Returns whether the log is known to have it.
    async fn append(&self, seq: u64, data: Bytes) -> bool {
        self.appends.sent.fetch_add(1, Ordering::Relaxed);
        self.metrics.count("ledger.appends", 1);
        let sent = self.clock.now();
        let append = self.log.append(self.stream.name(), data.clone());
        let answer = tokio::select! {
            answer = append => answer,
            // The follower read the batch first, so the answer isn't needed.
            () = self.outbox.wait_for_fold(seq) => return true,
        };
        match answer {
            Ok(offset) => {
                self.log_health.record_success();
                lock(&self.outbox.inner)
                    .batcher
                    .on_append_result(seq, Some(offset));
                let data = data.to_vec();
                self.stream.offer(LogRecord { offset, data }, sent);
                // The fold may have passed the offset before the answer arrived.
                let applied = self.stream.state().applied();
                lock(&self.outbox.inner).batcher.on_advanced(applied);
                true
            }
            Err(error) => {
                self.appends.failed.fetch_add(1, Ordering::Relaxed);
                self.metrics.count("ledger.append_errors", 1);
                event!(
                    debug,
                    "append.failed",
                    stream = self.stream.name(),
                    seq = seq,
                    error = error
                );
                lock(&self.outbox.inner).batcher.on_append_result(seq, None);
                false
            }
        }
    }
}

impl fmt::Debug for Appender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut out = f.debug_struct("Appender");
        out.field("stream", self.stream.name());
        out.finish_non_exhaustive()
    }
}
