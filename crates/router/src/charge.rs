//! Charging of completed requests.
//!
//! A ledger in another failure domain stores a charge before the last chunk of the
//! answer is sent. The router keeps the charge until the fold of the log has decided
//! it, and submits it to another ledger when one doesn't respond. Charges are
//! idempotent, so duplicates are harmless.

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

use crate::history::RunHistory;
use crate::keys::KeyHold;
use crate::ledgers::{Ledgers, by_preference};
use crate::members::{Membership, WorkGuard};

/// Pause after all ledgers failed to store a charge.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Maximum wait for the decision on a stored charge before it is submitted to another
/// ledger.
const RETRY_CAP: Duration = Duration::from_secs(30);

/// The charge of one request.
#[derive(Debug, Clone)]
pub struct Cost {
    /// Key of the request.
    pub key: RequestKey,
    /// Workspace that sent it.
    pub workspace: WorkspaceName,
    /// Budget that is charged.
    pub budget: BudgetName,
    /// Tokens that the backend server processed.
    pub tokens: Tokens,
    /// Budget tokens charged.
    pub cost: Tokens,
}

/// Counts of charges.
#[derive(Debug, Default)]
pub struct ChargeCounts {
    /// Not yet decided by the log.
    pub pending: AtomicUsize,
    /// Not stored by any ledger in time.
    pub stuck: AtomicUsize,
    /// Accepted by the log.
    pub charged: AtomicU64,
    /// Void because the key was already charged for another run.
    pub void_key: AtomicU64,
    /// Void because the quota of the incarnation was released.
    pub void_released: AtomicU64,
    /// Void because the incarnation held too little quota.
    pub overdrawn: AtomicU64,
}

/// Submits charges to ledgers.
#[derive(Debug)]
pub struct Settler {
    ledgers: Arc<Ledgers>,
    past: Arc<RunHistory>,
    runtime: Handle,
    metrics: Metrics,
    counts: ChargeCounts,
    /// Maximum wait for one ledger to store a charge.
    attempt_timeout: Duration,
    /// Maximum time for which the end of an answer is held back.
    wait: Duration,
    retry: Duration,
}

impl Settler {
    /// Creates a settler whose tasks run on `runtime`, so that they outlive the
    /// connection of the caller.
    #[must_use]
    pub fn new(
        ledgers: Arc<Ledgers>,
        past: Arc<RunHistory>,
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

    /// Whether some charge was not stored within the time for which the end of an
    /// answer is held back. No new work is admitted meanwhile.
    #[must_use]
    pub fn is_stuck(&self) -> bool {
        self.counts.stuck.load(Ordering::Relaxed) > 0
    }

    /// Charges `cost` to the incarnation of `membership`. Returns when a ledger has
    /// stored the charge, or after the maximum time for which the end of an answer is
    /// held back. The returned tokens are those for which the key was charged before,
    /// if the ledger knows of it; this charge is void then.
    ///
    /// Dropping the [`ChargeGuard`] starts the background task that waits for the
    /// log's decision. The request drops it when the end of its answer is sent.
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
        // Calling the first ledger from this thread saves the end of the answer two
        // thread switches.
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
            // Set before the end of the answer is sent: the caller's next request must
            // see it.
            self.mark_stuck(&progress, key);
        }
        (outcome.ok().and_then(Result::ok).flatten(), guard)
    }

    /// Counts the charge of `key` as stuck: no ledger stored it in time.
    fn mark_stuck(&self, progress: &Progress, key: RequestKey) {
        if !progress.set_stuck() {
            return;
        }
        self.counts.stuck.fetch_add(1, Ordering::Relaxed);
        event!(error, "charge.stuck", key = key);
    }

    /// Waits until no charge is pending. Returns false when `limit` is reached first.
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

/// Keeps a charge on the thread of its answer. Dropping it, for any reason, continues
/// the charge in the background.
#[derive(Debug)]
pub struct ChargeGuard {
    job: Option<Job>,
    /// Delivers the log's decision if a ledger has stored the charge.
    replies: Option<ReplyStream>,
}

impl ChargeGuard {
    fn job(&mut self) -> &mut Job {
        self.job.as_mut().expect("taken only by detach")
    }

    /// Continues the charge in the background.
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

/// A charge that the log has not decided yet.
#[derive(Debug)]
struct Job {
    settler: Arc<Settler>,
    /// Keeps the charged incarnation from being replaced.
    membership: WorkGuard,
    serial: u64,
    cost: Cost,
    _hold: KeyHold,
    start: Instant,
    /// Whether some ledger has stored it or the log has decided it.
    is_stored: bool,
    /// Receives the ledger's answer when the charge is stored.
    stored_tx: Option<oneshot::Sender<Option<Tokens>>>,
    progress: Arc<Progress>,
}

/// State of a charge, shared by the answer that waits for it and the background job.
#[derive(Debug, Default)]
struct Progress(AtomicU8);

impl Progress {
    const WAITING: u8 = 0;
    const STUCK: u8 = 1;
    const STORED: u8 = 2;

    /// Marks a waiting charge as stuck. Returns whether the state changed.
    fn set_stuck(&self) -> bool {
        let (old, new) = (Self::WAITING, Self::STUCK);
        let changed = self
            .0
            .compare_exchange(old, new, Ordering::AcqRel, Ordering::Acquire);
        changed.is_ok()
    }

    /// Marks the charge as stored. Returns whether it was stuck.
    fn set_stored(&self) -> bool {
        self.0.swap(Self::STORED, Ordering::AcqRel) == Self::STUCK
    }
}

impl Job {
    /// Waits for the decision on `replies` of the ledger that stored the charge, and
    /// submits the charge to other ledgers until the log has decided it.
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
                self.mark_stuck();
            }
            if self.is_stored {
                retry = (retry * 2).min(RETRY_CAP);
            }
            tokio::time::sleep(ROUND_PAUSE).await;
            self.mark_stuck();
        }
    }

    /// Submits the charge to one ledger and waits until it is stored. Also returns the
    /// tokens for which the key was charged before, as far as the ledger knows.
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

    /// Waits for the log's decision on a charge that a ledger has stored.
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
            // The receiver may have timed out.
            let _sent = stored_tx.send(charged);
        }
        let us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.settler.metrics.time_us("charge.stored", us);
        if self.progress.set_stored() {
            self.settler.counts.stuck.fetch_sub(1, Ordering::Relaxed);
            event!(info, "charge.unstuck", key = self.cost.key);
        }
    }

    fn mark_stuck(&mut self) {
        if self.is_stored || self.start.elapsed() < self.settler.wait {
            return;
        }
        self.settler.mark_stuck(&self.progress, self.cost.key);
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
                // The log charged nothing, so this router still holds the tokens.
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
