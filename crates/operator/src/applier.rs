//! Appends change sets to the log and reads back their fates.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rand::Rng;
use swiftlink_client::api::{Applied, AppliedChange, ApplyChange, ApplyRequest};
use swiftlink_log::{Backoff, Log, LogError};
use swiftlink_resource::{Config, Kind, Reject, SetFate, TopUp, Verdict};
use swiftlink_telemetry::{Metrics, event};
use swiftlink_types::{StreamName, wall_ms};
use swiftlink_wire::log::{Change, ChangeSet};
use tokio::time::{Instant, timeout_at};

use crate::follower::CONFIG_STREAM;
use crate::ledgers::{BudgetLookup, Ledgers};
use crate::shared_state::SharedState;

/// Initial and maximum backoff between two appends of a set.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
const BACKOFF_CAP: Duration = Duration::from_secs(1);
/// Interval at which ledgers are polled for a top-up.
const TOPUP_POLL: Duration = Duration::from_millis(50);
/// Retry delay given to callers during a log outage.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A change set as received from the caller.
#[derive(Clone, Debug)]
pub(crate) struct Submission {
    /// Identifier of the set.
    pub(crate) id: String,
    /// Whether the caller states that the identifier is used for the first time.
    pub(crate) is_first_use: bool,
    /// Changes and their author.
    pub(crate) request: ApplyRequest,
}

/// Outcome of a submission.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The set was accepted.
    Accepted(Applied),
    /// The set was rejected.
    Rejected(Vec<Reject>),
    /// The set certainly isn't on the log.
    NotApplied {
        /// Cause, for the caller.
        detail: String,
        /// Time after which to retry.
        retry: Duration,
    },
    /// The set may be on the log, or may still reach it.
    Unknown {
        /// Cause, for the caller.
        detail: String,
        /// Time after which to retry.
        retry: Duration,
    },
}

impl Outcome {
    /// Outcome of a submission interrupted by the shutdown of the daemon.
    pub(crate) fn interrupted() -> Self {
        undecided(true, "the operator is stopping")
    }
}

/// Applies submissions: appends them to the log and waits for the decision.
pub(crate) struct Applier {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) state: Arc<SharedState>,
    pub(crate) ledgers: Arc<Ledgers>,
    pub(crate) metrics: Metrics,
    /// Timeout of a decision.
    pub(crate) decision_timeout: Duration,
    /// Time to wait until ledgers credit top-ups.
    pub(crate) topup_timeout: Duration,
}

impl Applier {
    /// Returns once the decision was read back from the log, or after the timeout.
    pub(crate) async fn apply(&self, submission: &Submission) -> Outcome {
        let deadline = Instant::now() + self.decision_timeout;
        let fate = match self.state.fate(&submission.id) {
            Some(fate) => Ok(fate),
            None => self.decide(submission, deadline).await,
        };
        let outcome = match fate {
            Ok(fate) => self.to_outcome(submission, fate).await,
            Err(outcome) => outcome,
        };
        let label = outcome_label(&outcome);
        self.metrics
            .count_with("operator.applies", 1, &[("outcome", label)]);
        event!(
            info,
            "apply",
            change = submission.id,
            changes = submission.request.changes.len(),
            outcome = label
        );
        outcome
    }

    async fn decide(&self, submission: &Submission, deadline: Instant) -> Result<SetFate, Outcome> {
        let Some(config) = self.state.config() else {
            return Err(undecided(
                !submission.is_first_use,
                "the configuration was not read yet",
            ));
        };
        let set = change_set(submission, &config);
        if set.changes.is_empty() {
            return Ok(accepted_unchanged(&submission.id, config.version));
        }
        let set = Bytes::from(set.encode_to_vec());
        let stream = StreamName::from(CONFIG_STREAM);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
        let mut maybe_appended = !submission.is_first_use;
        loop {
            let appended = timeout_at(deadline, self.log.append(&stream, set.clone())).await;
            let detail = match appended {
                Ok(Ok(_offset)) => return self.read_back(submission, deadline).await,
                Ok(Err(error)) => {
                    maybe_appended |= matches!(error, LogError::Unknown(_));
                    error.to_string()
                }
                Err(_elapsed) => return Err(undecided(true, "the log did not answer in time")),
            };
            if !maybe_appended {
                return Err(undecided(false, &detail));
            }
            // Read the log before appending the set again; the fold ignores a duplicate.
            if let Some(fate) = self.search(submission, &mut backoff, deadline).await {
                return Ok(fate);
            }
            if Instant::now() >= deadline {
                return Err(undecided(true, &detail));
            }
        }
    }

    /// Waits for the fate of a set that is known to be on the log.
    async fn read_back(
        &self,
        submission: &Submission,
        deadline: Instant,
    ) -> Result<SetFate, Outcome> {
        let fate = timeout_at(deadline, self.state.wait_for_fate(&submission.id)).await;
        fate.map_err(|_elapsed| undecided(true, "it is on the log, but its fate can't be read yet"))
    }

    /// Searches the log for a set that may be on it, for at least one backoff delay.
    ///
    /// Returns the fate of the set, or `None` once the log was read to its end without it or
    /// the deadline has passed.
    async fn search(
        &self,
        submission: &Submission,
        backoff: &mut Backoff,
        deadline: Instant,
    ) -> Option<SetFate> {
        let stream = StreamName::from(CONFIG_STREAM);
        loop {
            let retry_at = Instant::now() + backoff.next(rand::rng().next_u64());
            let until = retry_at.min(deadline);
            if let Ok(fate) = timeout_at(until, self.state.wait_for_fate(&submission.id)).await {
                return Some(fate);
            }
            if Instant::now() >= deadline {
                return None;
            }
            let from = self.state.next_offset();
            let read = self.log.read(&stream, from, 1, Duration::ZERO);
            match timeout_at(deadline, read).await {
                Ok(Ok(page)) if page.records.is_empty() => return self.state.fate(&submission.id),
                Ok(_) => {}
                Err(_elapsed) => return None,
            }
        }
    }

    async fn to_outcome(&self, submission: &Submission, fate: SetFate) -> Outcome {
        match fate.verdict {
            Verdict::Accepted => {
                Outcome::Accepted(self.accepted_response(submission, fate.version).await)
            }
            Verdict::Rejected(rejects) => Outcome::Rejected(rejects),
            Verdict::Duplicate => Outcome::Unknown {
                detail: "it was decided before this operator began to read: `get` shows the \
                         resources in force"
                    .to_owned(),
                retry: RETRY_AFTER,
            },
        }
    }

    async fn accepted_response(&self, submission: &Submission, version: u64) -> Applied {
        let deadline = Instant::now() + self.topup_timeout;
        let mut results = Vec::new();
        for change in &submission.request.changes {
            let mut result = AppliedChange {
                kind: change.kind.clone(),
                name: change.name.clone(),
                version,
                effective: None,
            };
            if change.kind == Kind::TopUp.as_str() && !change.delete {
                result.version = self.topup_version(&change.name).unwrap_or(version);
                result.effective = Some(self.wait_until_credited(&change.name, deadline).await);
            }
            results.push(result);
        }
        Applied {
            id: submission.id.clone(),
            version,
            results,
        }
    }

    /// Returns the version of a top-up, which an earlier set may have declared.
    fn topup_version(&self, name: &str) -> Option<u64> {
        let config = self.state.config()?;
        Some(config.get(Kind::TopUp, name)?.version)
    }

    /// Waits until a ledger lists the top-up in its budget; `false` if none does by the deadline.
    async fn wait_until_credited(&self, name: &str, deadline: Instant) -> bool {
        let config = self.state.config();
        let topup = config.as_ref().and_then(|config| config.topups.get(name));
        let Some(topup) = topup else {
            return false;
        };
        loop {
            let query = self.ledgers.budget(topup.budget.as_str());
            match timeout_at(deadline, query).await {
                Ok(BudgetLookup::Found(view)) if view.top_ups.iter().any(|known| known == name) => {
                    return true;
                }
                Ok(_) => {}
                Err(_elapsed) => return false,
            }
            if Instant::now() + TOPUP_POLL >= deadline {
                return false;
            }
            tokio::time::sleep(TOPUP_POLL).await;
        }
    }
}

/// Builds the log record of a submission. A change without a base version is based on the
/// version in `config`. Top-ups that were already applied with the same specification are left
/// out.
fn change_set(submission: &Submission, config: &Config) -> ChangeSet {
    let mut changes = Vec::new();
    for change in &submission.request.changes {
        if is_already_applied(change, config) {
            continue;
        }
        let spec = match &change.spec {
            Some(spec) if !change.delete => spec.to_string(),
            _ => String::new(),
        };
        changes.push(Change {
            kind: change.kind.clone(),
            name: change.name.clone(),
            base: change
                .base
                .unwrap_or_else(|| current_version(config, &change.kind, &change.name)),
            delete: change.delete,
            spec,
        });
    }
    ChangeSet {
        id: submission.id.clone(),
        author: submission.request.author.clone(),
        stamp_ms: wall_ms(),
        changes,
        snapshot: None,
    }
}

/// Whether the change declares a top-up that already exists with the same specification.
///
/// Top-ups are immutable, so the answer can't be invalidated by concurrent changes. Leaving such
/// top-ups out lets a file be applied again without a rejection of its old top-ups.
fn is_already_applied(change: &ApplyChange, config: &Config) -> bool {
    if change.kind != Kind::TopUp.as_str() || change.delete || change.base.is_some() {
        return false;
    }
    let declared = change.spec.clone().map(serde_json::from_value::<TopUp>);
    match (declared, config.topups.get(change.name.as_str())) {
        (Some(Ok(declared)), Some(known)) => declared == **known,
        _ => false,
    }
}

/// Fate of a set without changes left to append.
fn accepted_unchanged(id: &str, version: u64) -> SetFate {
    SetFate {
        id: Arc::from(id),
        version,
        verdict: Verdict::Accepted,
        events: Vec::new(),
    }
}

fn current_version(config: &Config, kind: &str, name: &str) -> u64 {
    let Ok(kind) = kind.parse::<Kind>() else {
        return 0;
    };
    config
        .get(kind, name)
        .map_or(0, |resource| resource.version)
}

fn undecided(maybe_appended: bool, detail: &str) -> Outcome {
    let detail = detail.to_owned();
    if maybe_appended {
        return Outcome::Unknown {
            detail,
            retry: RETRY_AFTER,
        };
    }
    Outcome::NotApplied {
        detail,
        retry: RETRY_AFTER,
    }
}

fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted(_) => "accepted",
        Outcome::Rejected(_) => "rejected",
        Outcome::NotApplied { .. } => "not-applied",
        Outcome::Unknown { .. } => "unknown",
    }
}
