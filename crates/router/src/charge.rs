//! Where a completed request is charged.
//!
//! A charge is stored by a ledger in another failure domain before the last chunk
//! of the answer is released. The router keeps it until the fold has decided it,
//! and hands it to another ledger when one is silent; copies are harmless.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use swiftlink_budget::stream_of;
use swiftlink_link::{Client, ReplyStream};
use swiftlink_telemetry::{Metrics, event};
use swiftlink_types::{BudgetName, RequestKey, Tokens, WorkspaceName};
use swiftlink_wire::link::{Settle, Submitted, reply, request};
use swiftlink_wire::log::{self as wire, ChargeFate, fate};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::keys::KeyHold;
use crate::ledgers::{Ledgers, by_preference};
use crate::members::{Membership, WorkGuard};
use crate::past::PastRuns;

/// Pause after all ledgers failed to take a charge.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for a stored charge to be decided before it goes to another ledger.
const RETRY_CAP: Duration = Duration::from_secs(30);

/// What is to be charged.
#[derive(Debug, Clone)]
pub struct Cost {
    /// Key of the request.
    pub key: RequestKey,
    /// Workspace that sent it.
    pub workspace: WorkspaceName,
    /// Budget that is drawn on.
    pub budget: BudgetName,
    /// Tokens that the backend server ran.
    pub tokens: Tokens,
    /// Budget tokens drawn.
    pub cost: Tokens,
}

/// Counts of charges.
#[derive(Debug, Default)]
pub struct ChargeCounts {
    /// Not yet decided by the log.
    pub pending: AtomicUsize,
    /// Not stored by any ledger within the wait.
    pub stuck: AtomicUsize,
    /// Counted by the log.
    pub charged: AtomicU64,
    /// Void, since the key was charged by another run.
    pub void_key: AtomicU64,
    /// Void, since the rights of the incarnation were released.
    pub void_released: AtomicU64,
    /// Void, since the incarnation held too little.
    pub overdrawn: AtomicU64,
}

/// Hands charges to ledgers.
#[derive(Debug)]
pub struct Settler {
    ledgers: Arc<Ledgers>,
    past: Arc<PastRuns>,
    runtime: Handle,
    metrics: Metrics,
    counts: ChargeCounts,
    /// Longest wait for one ledger to store a charge.
    attempt_timeout: Duration,
    /// Longest wait of an answer's end.
    wait: Duration,
    retry: Duration,
}

impl Settler {
    /// A settler whose work runs on `runtime`, so that it outlives the connection
    /// that the answer goes to.
    #[must_use]
    pub fn new(
        ledgers: Arc<Ledgers>,
        past: Arc<PastRuns>,
        runtime: Handle,
        metrics: Metrics,
        settings: &crate::settings::Settings,
    ) -> Arc<Self> {
        Arc::new(Self {
            ledgers,
            past,
            runtime,
            metrics,
            counts: ChargeCounts::default(),
            attempt_timeout: settings.ledger_try(),
            wait: Duration::from_millis(settings.settle_wait_ms),
            retry: Duration::from_millis(settings.settle_retry_ms),
        })
    }

    /// Counts so far.
    #[must_use]
    pub fn counts(&self) -> &ChargeCounts {
        &self.counts
    }

    /// Whether a charge waits for a ledger beyond the time that an answer waits for
    /// it; no new work is admitted meanwhile.
    #[must_use]
    pub fn is_stuck(&self) -> bool {
        self.counts.stuck.load(Ordering::Relaxed) > 0
    }

    /// Charges `cost` on the incarnation of `seat`; returns once a ledger has stored
    /// the charge, or after the wait that an answer's end is given. The answer is what
    /// the key was charged before, if the ledger knows of it: the charge is void then.
    ///
    /// The charge is followed to the log's word once the [`ChargeGuard`] is dropped, which
    /// the request does when its answer's end is on the way.
    pub async fn settle(
        self: &Arc<Self>,
        membership: &Arc<Membership>,
        cost: Cost,
        hold: KeyHold,
    ) -> (Option<Tokens>, ChargeGuard) {
        let progress = Arc::new(Progress::default());
        let key = cost.key;
        let job = Job {
            settler: Arc::clone(self),
            membership: membership.continue_work(),
            serial: membership.next_serial(),
            cost,
            _hold: hold,
            start: Instant::now(),
            is_stored: false,
            stored_tx: None,
            progress: Arc::clone(&progress),
        };
        self.counts.pending.fetch_add(1, Ordering::Relaxed);
        let mut guard = ChargeGuard {
            job: Some(job),
            replies: None,
        };
        // The first ledger is asked from this thread: it saves the end of the answer
        // two changes of thread.
        if let Some(ledger) = by_preference(self.ledgers.far()).first() {
            if let Some((charged, replies)) = guard.job().store(&ledger.client).await {
                guard.replies = Some(replies);
                return (charged, guard);
            }
            ledger.deprioritize();
        }
        let (sender, stored) = oneshot::channel();
        guard.job().stored_tx = Some(sender);
        let left = self.wait.saturating_sub(guard.job().start.elapsed());
        guard.detach();
        let outcome = timeout(left, stored).await;
        if outcome.is_err() {
            // Before the answer's end goes out: its caller's next request must find it.
            self.note_stuck(&progress, key);
        }
        (outcome.ok().and_then(Result::ok).flatten(), guard)
    }

    /// Notes that no ledger stored the charge of `key` within the wait.
    fn note_stuck(&self, progress: &Progress, key: RequestKey) {
        if !progress.set_stuck() {
            return;
        }
        self.counts.stuck.fetch_add(1, Ordering::Relaxed);
        event!(error, "charge.stuck", key = key);
    }

    /// Waits until no charge is pending; false when `limit` comes first.
    pub async fn drain(&self, limit: Instant) -> bool {
        while self.counts.pending.load(Ordering::Relaxed) > 0 {
            if Instant::now() >= limit {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }
}

/// Holds a charge on the thread of its answer. Dropped, for whatever reason, it lets
/// the charge go on in the background.
#[derive(Debug)]
pub struct ChargeGuard {
    job: Option<Job>,
    /// Where the log's word comes from, if a ledger has stored the charge.
    replies: Option<ReplyStream>,
}

impl ChargeGuard {
    fn job(&mut self) -> &mut Job {
        self.job.as_mut().expect("taken only when departing")
    }

    /// Goes on in the background.
    fn detach(&mut self) {
        if let Some(job) = self.job.take() {
            let runtime = job.settler.runtime.clone();
            runtime.spawn(job.run(self.replies.take()));
        }
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        self.detach();
    }
}

/// One charge on its way.
#[derive(Debug)]
struct Job {
    settler: Arc<Settler>,
    /// Incarnation that is charged.
    membership: WorkGuard,
    serial: u64,
    cost: Cost,
    _hold: KeyHold,
    start: Instant,
    /// Some ledger has it, or the log has decided it.
    is_stored: bool,
    /// Who waits for the storing.
    stored_tx: Option<oneshot::Sender<Option<Tokens>>>,
    progress: Arc<Progress>,
}

/// How far a charge is, for the answer that waits for it and for the job that goes on.
#[derive(Debug, Default)]
struct Progress(AtomicU8);

impl Progress {
    const WAITING: u8 = 0;
    const STUCK: u8 = 1;
    const STORED: u8 = 2;

    /// The wait is over. Says whether that is news.
    fn set_stuck(&self) -> bool {
        let (old, new) = (Self::WAITING, Self::STUCK);
        let changed = self
            .0
            .compare_exchange(old, new, Ordering::AcqRel, Ordering::Acquire);
        changed.is_ok()
    }

    /// A ledger has it. Says whether it was stuck.
    fn set_stored(&self) -> bool {
        self.0.swap(Self::STORED, Ordering::AcqRel) == Self::STUCK
    }
}

impl Job {
    /// Follows `replies` of the ledger that stored the charge, and hands it to other
    /// ledgers until the log has decided it.
    async fn run(mut self, replies: Option<ReplyStream>) {
        let ledgers = Arc::clone(&self.settler.ledgers);
        let mut retry = self.settler.retry;
        if let Some(mut replies) = replies
            && let Some(fate) = self.wait_fate(&mut replies, retry).await
        {
            return self.finish(fate);
        }
        loop {
            for ledger in by_preference(ledgers.far()) {
                if let Some((_, mut replies)) = self.store(&ledger.client).await
                    && let Some(fate) = self.wait_fate(&mut replies, retry).await
                {
                    return self.finish(fate);
                }
                ledger.deprioritize();
                self.note_stuck();
            }
            if self.is_stored {
                retry = (retry * 2).min(RETRY_CAP);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
            self.note_stuck();
        }
    }

    /// Hands the charge to one ledger and waits until it has stored it; the answer
    /// begins with what the key was charged before, as far as the ledger knows.
    async fn store(&mut self, client: &Arc<Client>) -> Option<(Option<Tokens>, ReplyStream)> {
        let limit = self.settler.attempt_timeout;
        let settle = request::Kind::Settle(self.message());
        let opened = timeout(limit, client.stream(settle)).await;
        let mut replies = opened.ok()?.ok()?;
        match replies.next_within(limit).await?.ok()? {
            reply::Kind::Stored(stored) => {
                self.on_stored(stored.charged_cost);
                Some((stored.charged_cost, replies))
            }
            _ => None,
        }
    }

    /// Waits for the log's word on a charge that a ledger has stored.
    async fn wait_fate(
        &mut self,
        replies: &mut ReplyStream,
        limit: Duration,
    ) -> Option<ChargeFate> {
        let reply = timeout(limit, replies.next()).await.ok()??.ok()?;
        match reply {
            reply::Kind::Submitted(submitted) => Some(first_fate(&submitted)),
            _ => None,
        }
    }

    fn message(&self) -> Settle {
        let charge = wire::Charge {
            key: self.cost.key.as_bytes().to_vec(),
            workspace: self.cost.workspace.to_string(),
            budget: self.cost.budget.to_string(),
            tokens: self.cost.tokens,
            cost: self.cost.cost,
            serial: self.serial,
        };
        Settle {
            stream: stream_of(self.membership.shard).to_string(),
            charges: Some(wire::Charges {
                incarnation: Some((&self.membership.incarnation).into()),
                items: vec![charge],
            }),
        }
    }

    fn on_stored(&mut self, charged: Option<Tokens>) {
        if self.is_stored {
            return;
        }
        self.is_stored = true;
        if let Some(stored_tx) = self.stored_tx.take() {
            // The answer's end may have stopped waiting.
            let _sent = stored_tx.send(charged);
        }
        let us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.settler.metrics.time_us("charge.stored", us);
        if self.progress.set_stored() {
            self.settler.counts.stuck.fetch_sub(1, Ordering::Relaxed);
            event!(info, "charge.unstuck", key = self.cost.key);
        }
    }

    fn note_stuck(&mut self) {
        if self.is_stored || self.start.elapsed() < self.settler.wait {
            return;
        }
        self.settler.note_stuck(&self.progress, self.cost.key);
    }

    fn finish(self, fate: ChargeFate) {
        let counts = &self.settler.counts;
        let metrics = &self.settler.metrics;
        match fate {
            ChargeFate::Charged | ChargeFate::Duplicate => {
                counts.charged.fetch_add(1, Ordering::Relaxed);
                metrics.count("charge.charged", 1);
            }
            ChargeFate::VoidKey => {
                counts.void_key.fetch_add(1, Ordering::Relaxed);
                metrics.count("charge.void-key", 1);
                event!(
                    info,
                    "charge.void",
                    key = self.cost.key,
                    reason = "key charged before"
                );
                let Cost { workspace, key, .. } = &self.cost;
                self.settler.past.note_void(workspace, *key);
                // The log drew nothing, so the rights are still held here.
                if let Some(account) = self.membership.find(&self.cost.budget) {
                    account.grant.credit(self.cost.cost);
                }
            }
            ChargeFate::VoidReleased => {
                counts.void_released.fetch_add(1, Ordering::Relaxed);
                metrics.count("charge.void-released", 1);
                event!(
                    error,
                    "charge.void",
                    key = self.cost.key,
                    reason = "released"
                );
                self.membership.retire();
            }
            ChargeFate::Overdrawn | ChargeFate::Unspecified => {
                counts.overdrawn.fetch_add(1, Ordering::Relaxed);
                metrics.count("charge.overdrawn", 1);
                event!(
                    error,
                    "charge.void",
                    key = self.cost.key,
                    reason = "overdrawn"
                );
            }
        }
        counts.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

fn first_fate(submitted: &Submitted) -> ChargeFate {
    let kind = submitted.fates.first().and_then(|fate| fate.kind.as_ref());
    match kind {
        Some(fate::Kind::Charges(charges)) => {
            let first = charges.items.first().copied().unwrap_or_default();
            ChargeFate::try_from(first).unwrap_or(ChargeFate::Unspecified)
        }
        _ => ChargeFate::Unspecified,
    }
}
