//! The append side of one budget stream: one append in flight, repeated until folded.

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

use crate::batcher::{Batcher, Decided, Full, Ticket};
use crate::clock::{Clock, lock};
use crate::contact::Contact;
use crate::pacer::Pacer;
use crate::stream::{Sink, Stream};
use crate::void::fate_name;

/// First ceiling of the back-off after a failed append.
const RETRY_BASE: Duration = Duration::from_millis(20);
/// Largest ceiling of that back-off: how late an append may notice that the log is back.
const RETRY_CAP: Duration = Duration::from_secs(2);

/// Identity of this process as a writer of batches.
#[derive(Debug, Clone)]
pub struct Writer {
    /// Name of the process.
    pub name: Arc<str>,
    /// Start time in microseconds since 1970.
    pub epoch: u64,
}

/// Records that wait for the log, and who waits for them.
pub struct Outbox {
    writer: Writer,
    metrics: Metrics,
    inner: Mutex<Inner>,
    work: Notify,
    folded: Notify,
}

struct Inner {
    batcher: Batcher,
    waiters: HashMap<Ticket, oneshot::Sender<Decided>>,
}

/// Waits for the fates of records that were queued. Dropping it takes them out of the
/// queue again unless they were sent or hold charges.
#[derive(Debug)]
pub struct Waiter {
    ticket: Ticket,
    decided: oneshot::Receiver<Decided>,
    outbox: Arc<Outbox>,
}

impl Waiter {
    /// Waits until the fold has decided the records. `None` when the process stops.
    pub async fn wait(&mut self) -> Option<Decided> {
        (&mut self.decided).await.ok()
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut inner = lock(&self.outbox.inner);
        inner.waiters.remove(&self.ticket);
        inner.batcher.cancel(self.ticket);
    }
}

impl Outbox {
    /// An empty outbox with room for `limit` bytes of records.
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
    /// [`Full`] when too much waits already; nothing was queued.
    pub fn submit(self: &Arc<Self>, records: Vec<Record>) -> Result<Waiter, Full> {
        let (sender, decided) = oneshot::channel();
        let ticket = {
            let mut inner = lock(&self.inner);
            let ticket = inner.batcher.add(records)?;
            inner.waiters.insert(ticket, sender);
            ticket
        };
        self.work.notify_one();
        Ok(Waiter {
            ticket,
            decided,
            outbox: Arc::clone(self),
        })
    }

    /// Queues records for whose fates nobody waits.
    ///
    /// # Errors
    /// [`Full`] when too much waits already; nothing was queued.
    pub fn post(&self, records: Vec<Record>) -> Result<(), Full> {
        lock(&self.inner).batcher.add(records)?;
        self.work.notify_one();
        Ok(())
    }

    /// Charges of `incarnation` that the fold hasn't shown yet.
    #[must_use]
    pub fn pending(&self, incarnation: &Incarnation) -> u64 {
        lock(&self.inner).batcher.pending(incarnation)
    }

    /// Charges of all incarnations that the fold hasn't shown yet.
    #[must_use]
    pub fn pending_total(&self) -> u64 {
        lock(&self.inner).batcher.pending_total()
    }

    /// Copies of those charges.
    #[must_use]
    pub fn pending_charges(&self) -> Vec<Charges> {
        lock(&self.inner).batcher.pending_charges()
    }

    /// Bytes of records that wait for the log or the fold.
    #[must_use]
    pub fn bytes(&self) -> usize {
        lock(&self.inner).batcher.bytes()
    }

    /// Waits until nothing waits for the log or the fold any more.
    pub async fn flushed(&self) {
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
            if !lock(&self.inner).batcher.is_open(seq) {
                return;
            }
            folded.await;
        }
    }
}

impl Sink<BatchFate> for Outbox {
    fn decided(&self, fates: Vec<(u64, BatchFate)>, next: u64) {
        let mut inner = lock(&self.inner);
        for (offset, fate) in fates {
            if fate.writer != self.writer.name || fate.epoch != self.writer.epoch {
                continue;
            }
            for (ticket, decided) in inner.batcher.folded(fate.seq, offset, fate.fates) {
                count_charges(&self.metrics, &decided);
                let Some(waiter) = inner.waiters.remove(&ticket) else {
                    continue;
                };
                // Who gave up waiting has dropped the other end.
                let _result = waiter.send(decided);
            }
        }
        inner.batcher.advanced(next);
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

/// Counts charges by what became of them, and logs those that are lost.
fn count_charges(metrics: &Metrics, decided: &Decided) {
    for void in &decided.void {
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
    for fate in &decided.fates {
        let Some(fate::Kind::Charges(charges)) = &fate.kind else {
            continue;
        };
        for item in charges.items.iter().copied() {
            let name = fate_name(item);
            metrics.count_with("ledger.charges", 1, &[("fate", name)]);
        }
    }
}

/// Counts of a stream's appends since the start.
#[derive(Debug, Default)]
pub struct Appends {
    /// Appends sent, repeated ones included.
    pub sent: AtomicU64,
    /// Appends that failed or gave no answer.
    pub failed: AtomicU64,
}

/// The task that appends a stream's batches.
pub struct Appender {
    /// Stream that is appended to.
    pub stream: Arc<Stream<Fold>>,
    /// Where the batches come from.
    pub outbox: Arc<Outbox>,
    /// The log.
    pub log: Arc<dyn Log>,
    /// When the log was last heard from.
    pub contact: Arc<Contact>,
    /// Pace of the whole process.
    pub pacer: Arc<Pacer>,
    /// Least time between two appends to the stream.
    pub gap: Micros,
    /// Counts.
    pub appends: Arc<Appends>,
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
        let mut is_out = false;
        loop {
            self.outbox.wait_for_work().await;
            self.clock.until(earliest).await;
            let slot = self.pacer.reserve(self.clock.now());
            self.clock.until(slot).await;
            let taken = lock(&self.outbox.inner).batcher.take(wall_ms());
            let Some((seq, data)) = taken else {
                continue;
            };
            earliest = self.clock.now() + self.gap;
            if self.append(seq, data).await {
                if is_out {
                    // The back-off's pauses have saved up appends again, at every
                    // ledger; the log is back for all of them at once.
                    self.pacer.drain(self.clock.now());
                }
                is_out = false;
                backoff.reset();
                continue;
            }
            is_out = true;
            self.pacer.drain(self.clock.now());
            let pause = tokio::time::sleep(backoff.next(rand::random()));
            tokio::select! {
                () = pause => {}
                // Only the answer was lost, the log is there.
                () = self.outbox.wait_for_fold(seq) => backoff.reset(),
            }
        }
    }

    /// Appends one batch; returns whether the log is known to have it.
    async fn append(&self, seq: u64, data: Bytes) -> bool {
        self.appends.sent.fetch_add(1, Ordering::Relaxed);
        self.metrics.count("ledger.appends", 1);
        let sent = self.clock.now();
        let append = self.log.append(self.stream.name(), data.clone());
        let answer = tokio::select! {
            answer = append => answer,
            // The follower saw the batch first; its answer is of no more use.
            () = self.outbox.wait_for_fold(seq) => return true,
        };
        match answer {
            Ok(offset) => {
                self.contact.answered();
                lock(&self.outbox.inner).batcher.answered(seq, Some(offset));
                let data = data.to_vec();
                self.stream.offer(LogRecord { offset, data }, sent);
                // The fold may have passed the offset before the answer came.
                let applied = self.stream.state().applied();
                lock(&self.outbox.inner).batcher.advanced(applied);
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
                lock(&self.outbox.inner).batcher.answered(seq, None);
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
