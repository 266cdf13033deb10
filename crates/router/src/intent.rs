//! Intents of non-idempotent requests, which must win on the log before the dispatch.
//!
//! The first intent of a key wins permanently. Only its owner may dispatch the request,
//! and only once. An owner that decides not to dispatch abandons the intent, which
//! releases the key for other routers.

use std::sync::Arc;
use std::time::Duration;

use papaya::HashMap;
use swiftlink_log::Backoff;
use swiftlink_telemetry::event;
use swiftlink_types::{BudgetName, Refusal, RefusalKind, RequestKey, WallMs, WorkspaceName};
use swiftlink_wire::log::{self as wire, RejectReason, fate, record};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::keys::KeyUse;
use crate::ledgers::Ledgers;
use crate::members::Membership;

/// First and maximum delay between submissions of an abandonment.
const RETRY_BASE: Duration = Duration::from_millis(200);
const RETRY_CAP: Duration = Duration::from_secs(5);
/// Maximum wait for the decision on one submission.
const ABANDON_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay while the log is unavailable.
const LOG_RETRY: Duration = Duration::from_secs(2);
/// Retry delay for a key that is in use at another router.
const KEY_RETRY: Duration = Duration::from_secs(5);

/// How this process has finished the intent of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOutcome {
    /// Dispatched: no other copy of the request may run, on any router.
    Dispatched,
    /// Abandoned: no copy may run here, but another router may run one.
    Abandoned,
}

/// Submits and abandons the intents of this router.
#[derive(Debug)]
pub struct Intents {
    ledgers: Arc<Ledgers>,
    runtime: Handle,
    tasks: TaskTracker,
    wait: Duration,
    stop: CancellationToken,
    /// The log lets the same owner win a key again, so the owner must remember the
    /// outcome.
    outcomes: HashMap<(WorkspaceName, RequestKey), KeyOutcome>,
    /// Abandonments that the log has not decided yet. The channel is closed when it has.
    undecided: HashMap<(WorkspaceName, RequestKey), watch::Receiver<()>>,
}

impl Intents {
    /// Creates intents that wait up to `wait` for the log's decision. Abandonments run
    /// on `runtime` until `stop` and are tracked by `tasks`.
    #[must_use]
    pub fn new(
        ledgers: Arc<Ledgers>,
        runtime: Handle,
        tasks: TaskTracker,
        wait: Duration,
        stop: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            ledgers,
            runtime,
            tasks,
            wait,
            stop,
            outcomes: HashMap::new(),
            undecided: HashMap::new(),
        })
    }

    /// Waits until the log has decided a pending abandonment of the key.
    pub async fn wait_abandoned(&self, workspace: &WorkspaceName, key: RequestKey) {
        let id = (workspace.clone(), key);
        let found = self.undecided.pin().get(&id).cloned();
        if let Some(mut decided) = found {
            // Nothing is sent on this channel; it is only closed.
            let _closed = decided.changed().await;
        }
    }

    /// Outcome of the key's intent in this process, if it has one.
    #[must_use]
    pub fn outcome(&self, key_use: &KeyUse) -> Option<KeyOutcome> {
        let id = (key_use.workspace().clone(), key_use.key());
        self.outcomes.pin().get(&id).copied()
    }

    /// Removes the keys created before `floor`, which every router refuses by now.
    pub fn forget(&self, floor: WallMs) {
        self.outcomes
            .pin()
            .retain(|id, _| id.1.created_ms() >= floor);
    }

    /// Submits the intent of a key for the incarnation of `membership`, and waits up to
    /// `left` for it to win.
    ///
    /// # Errors
    /// Fails when another run owns the key, or when the log doesn't decide in time. This
    /// router will never dispatch the request then.
    pub async fn win(
        self: &Arc<Self>,
        membership: &Arc<Membership>,
        key_use: &KeyUse,
        budget: &BudgetName,
        left: Duration,
    ) -> Result<Intent, Refusal> {
        let record = wire::Intent {
            incarnation: Some((&membership.incarnation).into()),
            key: key_use.key().as_bytes().to_vec(),
            workspace: key_use.workspace().to_string(),
            budget: budget.to_string(),
        };
        let intent = Intent {
            intents: Arc::clone(self),
            membership: Arc::clone(membership),
            record: record.clone(),
            id: (key_use.workspace().clone(), key_use.key()),
            is_pending: true,
        };
        let wait = self.wait.min(left);
        let kind = record::Kind::Intent(record);
        let decided = self.ledgers.submit(membership.shard, kind, wait).await;
        match decided {
            Ok(fate::Kind::Intent(fate)) if fate.won => Ok(intent),
            Ok(fate::Kind::Intent(fate)) => {
                intent.close();
                Err(lost(fate.charged))
            }
            Ok(fate::Kind::Rejected(rejected)) => {
                intent.close();
                membership.on_rejection(rejected.reason());
                Err(rejected_refusal(rejected.reason()))
            }
            Ok(other) => {
                intent.close();
                event!(error, "intent.fate", fate = format!("{other:?}"));
                let detail = "the log did not decide the request's intent";
                Err(Refusal::not_run(RefusalKind::Unavailable, detail).with_retry(LOG_RETRY))
            }
            Err(error) => {
                // Dropping `intent` abandons it: it is never dispatched from here on.
                event!(warn, "intent.undecided", key = key_use.key(), why = error);
                let detail = "the log did not decide the request's intent in time";
                Err(Refusal::not_run(RefusalKind::LogUnavailable, detail).with_retry(LOG_RETRY))
            }
        }
    }

    /// Submits the abandonment until the log has decided it.
    async fn abandon(self: Arc<Self>, shard: u32, record: wire::Intent) {
        let abandon = wire::Abandon {
            incarnation: record.incarnation,
            key: record.key,
            workspace: record.workspace,
            budget: record.budget,
        };
        let kind = record::Kind::Abandon(abandon);
        let mut backoff = Backoff::new(RETRY_BASE, RETRY_CAP);
        loop {
            let decided = self
                .ledgers
                .submit(shard, kind.clone(), ABANDON_TIMEOUT)
                .await;
            if decided.is_ok() {
                return;
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                () = tokio::time::sleep(backoff.next(rand::random())) => {}
            }
        }
    }
}

/// An intent that has won. Dropping it before [`Intent::dispatch`] abandons it.
#[derive(Debug)]
pub struct Intent {
    intents: Arc<Intents>,
    membership: Arc<Membership>,
    record: wire::Intent,
    id: (WorkspaceName, RequestKey),
    is_pending: bool,
}

impl Intent {
    /// Marks the intent as dispatched: from here on it can't be abandoned.
    pub fn dispatch(&mut self) {
        self.is_pending = false;
        self.remember(KeyOutcome::Dispatched);
    }

    /// Undoes a dispatch that certainly did not reach a backend server.
    pub fn recall(&mut self) {
        self.is_pending = true;
    }

    fn remember(&self, outcome: KeyOutcome) {
        self.intents.outcomes.pin().insert(self.id.clone(), outcome);
    }

    /// Drops an intent that the log has refused, which needs no abandonment.
    fn close(mut self) {
        self.is_pending = false;
    }
}

impl Drop for Intent {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        self.remember(KeyOutcome::Abandoned);
        let intents = Arc::clone(&self.intents);
        let id = self.id.clone();
        let (undecided, decided) = watch::channel(());
        intents.undecided.pin().insert(id.clone(), decided);
        let (shard, record) = (self.membership.shard, self.record.clone());
        let work = async move {
            Arc::clone(&intents).abandon(shard, record).await;
            intents.undecided.pin().remove(&id);
            drop(undecided);
        };
        self.intents.tasks.spawn_on(work, &self.intents.runtime);
    }
}

/// The refusal of a request whose key belongs to another run.
#[must_use]
pub fn lost(is_charged: bool) -> Refusal {
    let detail = if is_charged {
        "a run of this key has ended and was charged"
    } else {
        "a run of this key exists or may exist at another router"
    };
    Refusal::unknown(RefusalKind::KeyInUse, detail).with_retry(KEY_RETRY)
}

fn rejected_refusal(reason: RejectReason) -> Refusal {
    if reason == RejectReason::KeyTooOld {
        let detail = "the key is older than the time for which keys are remembered";
        return Refusal::unknown(RefusalKind::KeyTooOld, detail);
    }
    let detail = "this router must join its budget stream anew";
    Refusal::not_run(RefusalKind::Unavailable, detail).with_retry(Duration::from_secs(1))
}
