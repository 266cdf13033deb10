//! Brings a change set onto the log and reads its fate back.

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

use crate::board::Board;
use crate::follower::CONFIG_STREAM;
use crate::ledgers::{Known, Ledgers};

/// First and largest ceiling of the delay between two appends of a set.
const BACKOFF_BASE: Duration = Duration::from_millis(50);
const BACKOFF_CAP: Duration = Duration::from_secs(1);
/// Time between two questions for a top-up.
const TOPUP_POLL: Duration = Duration::from_millis(50);
/// When to come back after an outage of the log.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A change set as the caller sent it.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    /// Identifier of the set.
    pub(crate) id: String,
    /// Whether the identifier certainly was not used before.
    pub(crate) first: bool,
    /// The changes.
    pub(crate) request: ApplyRequest,
}

/// What became of an order.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The log decided for it.
    Accepted(Applied),
    /// The log decided against it.
    Rejected(Vec<Reject>),
    /// It certainly is not on the log.
    NotApplied {
        /// Why.
        detail: String,
        /// When to come back.
        retry: Duration,
    },
    /// It may be on the log, now or later.
    Unknown {
        /// Why.
        detail: String,
        /// When to come back.
        retry: Duration,
    },
}

impl Outcome {
    /// Of an order that the daemon's stop cut off.
    pub(crate) fn stopped() -> Self {
        undecided(true, "the operator is stopping")
    }
}

/// Applies orders.
pub(crate) struct Applier {
    pub(crate) log: Arc<dyn Log>,
    pub(crate) board: Arc<Board>,
    pub(crate) ledgers: Arc<Ledgers>,
    pub(crate) metrics: Metrics,
    /// Time limit for a decision.
    pub(crate) limit: Duration,
    /// Time limit for top-ups to come into effect.
    pub(crate) topup: Duration,
}

impl Applier {
    /// Returns once the log's decision was read back, or the time limit is over.
    pub(crate) async fn apply(&self, order: &Order) -> Outcome {
        let deadline = Instant::now() + self.limit;
        let fate = match self.board.fate(&order.id) {
            Some(fate) => Ok(fate),
            None => self.decide(order, deadline).await,
        };
        let outcome = match fate {
            Ok(fate) => self.conclude(order, fate).await,
            Err(outcome) => outcome,
        };
        let word = word(&outcome);
        self.metrics
            .count_with("operator.applies", 1, &[("outcome", word)]);
        event!(
            info,
            "apply",
            change = order.id,
            changes = order.request.changes.len(),
            outcome = word
        );
        outcome
    }

    async fn decide(&self, order: &Order, deadline: Instant) -> Result<SetFate, Outcome> {
        let Some(config) = self.board.config() else {
            return Err(undecided(
                !order.first,
                "the configuration was not read yet",
            ));
        };
        let set = change_set(order, &config);
        if set.changes.is_empty() {
            return Ok(settled(&order.id, config.version));
        }
        let set = Bytes::from(set.encode_to_vec());
        let stream = StreamName::from(CONFIG_STREAM);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
        let mut doubt = !order.first;
        loop {
            let appended = timeout_at(deadline, self.log.append(&stream, set.clone())).await;
            let detail = match appended {
                Ok(Ok(_offset)) => return self.read_back(order, deadline).await,
                Ok(Err(error)) => {
                    doubt |= matches!(error, LogError::Unknown(_));
                    error.to_string()
                }
                Err(_elapsed) => return Err(undecided(true, "the log did not answer in time")),
            };
            if !doubt {
                return Err(undecided(false, &detail));
            }
            // Read back before the set is appended again; a second copy folds to nothing.
            if let Some(fate) = self.look(order, &mut backoff, deadline).await {
                return Ok(fate);
            }
            if Instant::now() >= deadline {
                return Err(undecided(true, &detail));
            }
        }
    }

    /// Waits for the fate of a set that certainly is on the log.
    async fn read_back(&self, order: &Order, deadline: Instant) -> Result<SetFate, Outcome> {
        let fate = timeout_at(deadline, self.board.decided(&order.id)).await;
        fate.map_err(|_elapsed| undecided(true, "it is on the log, but its fate can't be read yet"))
    }

    /// Looks for a set that may be on the log, for one delay at least.
    ///
    /// Ends with its fate, or once the log was read to its end without it, or at
    /// the deadline.
    async fn look(
        &self,
        order: &Order,
        backoff: &mut Backoff,
        deadline: Instant,
    ) -> Option<SetFate> {
        let stream = StreamName::from(CONFIG_STREAM);
        loop {
            let pause = Instant::now() + backoff.next(rand::rng().next_u64());
            let until = pause.min(deadline);
            if let Ok(fate) = timeout_at(until, self.board.decided(&order.id)).await {
                return Some(fate);
            }
            if Instant::now() >= deadline {
                return None;
            }
            let from = self.board.next();
            let read = self.log.read(&stream, from, 1, Duration::ZERO);
            match timeout_at(deadline, read).await {
                Ok(Ok(page)) if page.records.is_empty() => return self.board.fate(&order.id),
                Ok(_) => {}
                Err(_elapsed) => return None,
            }
        }
    }

    async fn conclude(&self, order: &Order, fate: SetFate) -> Outcome {
        match fate.verdict {
            Verdict::Accepted => Outcome::Accepted(self.accepted(order, fate.version).await),
            Verdict::Rejected(rejects) => Outcome::Rejected(rejects),
            Verdict::Duplicate => Outcome::Unknown {
                detail: "it was decided before this operator began to read: `get` shows the \
                         resources in force"
                    .to_owned(),
                retry: RETRY_AFTER,
            },
        }
    }

    async fn accepted(&self, order: &Order, version: u64) -> Applied {
        let deadline = Instant::now() + self.topup;
        let mut results = Vec::new();
        for change in &order.request.changes {
            let mut result = AppliedChange {
                kind: change.kind.clone(),
                name: change.name.clone(),
                version,
                effective: None,
            };
            if change.kind == Kind::TopUp.as_str() && !change.delete {
                result.version = self.topup_version(&change.name).unwrap_or(version);
                result.effective = Some(self.effective(&change.name, deadline).await);
            }
            results.push(result);
        }
        Applied {
            id: order.id.clone(),
            version,
            results,
        }
    }

    /// Version of a top-up, which may stand in the configuration since an earlier set.
    fn topup_version(&self, name: &str) -> Option<u64> {
        let config = self.board.config()?;
        Some(config.get(Kind::TopUp, name)?.version)
    }

    /// Whether a ledger shows the top-up in its budget before the deadline.
    async fn effective(&self, name: &str, deadline: Instant) -> bool {
        let config = self.board.config();
        let topup = config.as_ref().and_then(|config| config.topups.get(name));
        let Some(topup) = topup else {
            return false;
        };
        loop {
            let ask = self.ledgers.budget(topup.budget.as_str());
            match timeout_at(deadline, ask).await {
                Ok(Known::View(view)) if view.top_ups.iter().any(|known| known == name) => {
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

/// The record of an order; a change without base is made from the version in `config`.
/// Top-ups that are in force just so are left out.
fn change_set(order: &Order, config: &Config) -> ChangeSet {
    let mut changes = Vec::new();
    for change in &order.request.changes {
        if is_settled(change, config) {
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
                .unwrap_or_else(|| current(config, &change.kind, &change.name)),
            delete: change.delete,
            spec,
        });
    }
    ChangeSet {
        id: order.id.clone(),
        author: order.request.author.clone(),
        stamp_ms: wall_ms(),
        changes,
        snapshot: None,
    }
}

/// Whether the change asks for a top-up that is in force just so.
///
/// A top-up never changes, so this holds whatever else the log decides meanwhile;
/// a file can be applied again without a rejection of its old top-ups.
fn is_settled(change: &ApplyChange, config: &Config) -> bool {
    if change.kind != Kind::TopUp.as_str() || change.delete || change.base.is_some() {
        return false;
    }
    let asked = change.spec.clone().map(serde_json::from_value::<TopUp>);
    match (asked, config.topups.get(change.name.as_str())) {
        (Some(Ok(asked)), Some(known)) => asked == **known,
        _ => false,
    }
}

/// The fate of a set that asks for nothing new.
fn settled(id: &str, version: u64) -> SetFate {
    SetFate {
        id: Arc::from(id),
        version,
        verdict: Verdict::Accepted,
        events: Vec::new(),
    }
}

fn current(config: &Config, kind: &str, name: &str) -> u64 {
    let Ok(kind) = kind.parse::<Kind>() else {
        return 0;
    };
    config
        .get(kind, name)
        .map_or(0, |resource| resource.version)
}

fn undecided(doubt: bool, detail: &str) -> Outcome {
    let detail = detail.to_owned();
    if doubt {
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

fn word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted(_) => "accepted",
        Outcome::Rejected(_) => "rejected",
        Outcome::NotApplied { .. } => "not-applied",
        Outcome::Unknown { .. } => "unknown",
    }
}
