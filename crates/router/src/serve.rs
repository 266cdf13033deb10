//! Serves one admitted request: reserves quota, wins the intent, runs the request and answers.
//!
//! Each request runs in its own task on the thread of its caller's connection, so that it is
//! still charged if the caller disconnects.

use std::sync::{Arc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use http::{HeaderMap, Method};
use swiftlink_admission::Reservation;
use swiftlink_shell::web::{Incoming, Response, Service};
use swiftlink_types::{
    Outcome, Refusal, RefusalKind, RequestKey, ServerName, Tokens, WorkspaceName,
};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::account::{Shortage, WaitPolicy};
use crate::admit::admit;
use crate::auth::authenticate;
use crate::call::{Call, Work};
use crate::charge::{ChargeGuard, Cost};
use crate::dispatch::Attempt;
use crate::history::{CompletedRun, KeyStatus, digest};
use crate::intent::{KeyOutcome, lost};
use crate::members::WorkGuard;
use crate::node::Node;
use crate::record::{self, Record};
use crate::relay::RelayResult;
use crate::reply::{Reply, ReplySender};
use crate::{health, model, problem, relay, repeat, resume, service, surface};

/// Retry time while the router has not joined the budget's stream.
const JOIN_RETRY: Duration = Duration::from_secs(1);
/// Retry time while the log is unavailable.
const LOG_RETRY: Duration = Duration::from_secs(2);

/// HTTP service for callers.
#[derive(Debug)]
pub struct CallerService {
    /// Shared state of the router.
    pub node: Arc<Node>,
}

#[async_trait(?Send)]
impl Service for CallerService {
    async fn call(&self, mut request: Incoming) -> Response {
        if request.method() == Method::GET && request.uri().path() == health::PATH {
            return health::respond(&self.node);
        }
        let started = Instant::now();
        let call = match admit(&self.node, &mut request, started).await {
            Ok(call) => call,
            Err(refusal) => {
                count_refusal(&self.node, &refusal);
                let headers = request.headers();
                let key = surface::key(headers).ok().flatten();
                record::refused(&refusal, key, || workspace_of(&self.node, headers), started);
                return problem::respond(&refusal, None);
            }
        };
        let record = Record::new(&call, started);
        let key = call.key();
        let workspace = call.workspace().clone();
        let is_resumption = call.is_resumption();
        let (once, deadline) = (call.once, call.deadline);
        let (sender, receiver) = oneshot::channel();
        let task = serve(Arc::clone(&self.node), call, Arc::clone(&record), sender);
        let task = tokio::spawn(task);
        let reply = receiver.await.unwrap_or_else(|_closed| {
            let detail = "the request's task ended without an answer";
            Reply::Refused(Refusal::unknown(RefusalKind::ServerFailed, detail))
        });
        let reply = match reply {
            Reply::Refused(refusal) => {
                let refusal = if is_resumption {
                    repeat::with_unknown_outcome(refusal)
                } else {
                    repeat::adjust_outcome(&self.node.history, &workspace, key, refusal)
                };
                if once
                    && refusal.outcome == Outcome::NotRun
                    && refusal.kind != RefusalKind::LogUnavailable
                {
                    self.free(task, &workspace, key, deadline).await;
                }
                count_refusal(&self.node, &refusal);
                Reply::Refused(refusal)
            }
            other => other,
        };
        record.set_head(&reply);
        reply.into_response(key)
    }
}

impl CallerService {
    /// Waits briefly until the log has released the key of a request that was not run.
    /// Otherwise the next router that the caller tries may report that a run may exist.
    async fn free(
        &self,
        task: JoinHandle<()>,
        workspace: &WorkspaceName,
        key: RequestKey,
        deadline: Instant,
    ) {
        let node = &self.node;
        if node.config.is_log_silent() {
            return;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let limit = Duration::from_millis(node.settings.abandon_wait_ms).min(left / 2);
        let free = async {
            // The intent is abandoned when the task ends.
            let _ended = task.await;
            node.intents.wait_abandoned(workspace, key).await;
        };
        let _late = timeout(limit, free).await;
    }
}

/// Workspace of a request that was not admitted, by its API key.
fn workspace_of(node: &Node, headers: &HeaderMap) -> Option<WorkspaceName> {
    let secret = surface::bearer(headers).ok()?;
    let sender = authenticate(&node.config.load(), secret, false);
    Some(sender.ok()?.name)
}

fn count_refusal(node: &Node, refusal: &Refusal) {
    let tags = [
        ("kind", refusal.kind.slug()),
        ("outcome", refusal.outcome.as_str()),
    ];
    node.metrics.count_with("request.refused", 1, &tags);
}

/// Quota reserved for one request, and the membership that holds it.
#[derive(Debug)]
pub struct HeldQuota {
    /// Keeps the membership in use for the request.
    pub guard: WorkGuard,
    /// Reserved quota, until a dispatch takes it over.
    pub reservation: Reservation,
}

async fn serve(node: Arc<Node>, call: Call, record: Arc<Record>, reply: ReplySender) {
    let mut reply = reply;
    let is_run = !call.is_resumption();
    let digest = if is_run { digest(&call.original) } else { 0 };
    if is_run {
        match node.history.status(&call.key_use, digest) {
            KeyStatus::Runnable => {}
            KeyStatus::Complete(completed) => {
                record.mark_passed();
                return repeat::run(&node, call, completed, reply).await;
            }
            KeyStatus::Reused => return send_reply(reply, Reply::Refused(repeat::reused())),
            KeyStatus::Charged => return send_reply(reply, Reply::Refused(repeat::charged())),
        }
    }
    match previous_outcome(&node, &call) {
        None => {}
        Some(KeyOutcome::Dispatched) => return send_reply(reply, Reply::Refused(lost(false))),
        Some(KeyOutcome::Abandoned) => {
            record.mark_passed();
            let relayer = relay::Relayer {
                node: &node,
                call: &call,
            };
            return relayer
                .relay_or_refuse(Vec::new(), abandoned(), reply)
                .await;
        }
    }
    let held = match reserve(&node, &call, Phase::First).await {
        Ok(held) => held,
        Err(shortage) => match relay_or_reserve(&node, &call, shortage, reply).await {
            Fallback::Reserved(held, back) => {
                reply = back;
                held
            }
            Fallback::Answered => return record.mark_passed(),
            Fallback::Refused(refusal, back) => return send_reply(back, Reply::Refused(refusal)),
        },
    };
    let (guard, reservation) = held.map(|held| (held.guard, held.reservation)).unzip();
    let mut attempt = Attempt {
        reservation,
        past: is_run.then(|| node.history.begin(&call.key_use, digest)),
        ..Attempt::default()
    };
    if call.once {
        let Some(guard) = guard.as_ref() else {
            return send_reply(reply, Reply::Refused(not_joined()));
        };
        if node.config.is_log_silent() {
            return send_reply(reply, Reply::Refused(log_unavailable()));
        }
        let won = node
            .intents
            .win(guard, &call.key_use, &call.budget, call.time_left())
            .await;
        match won {
            Ok(intent) => attempt.intent = Some(intent),
            Err(refusal) => return send_reply(reply, Reply::Refused(refusal)),
        }
    }
    let run = Run {
        node,
        call,
        guard,
        attempt,
        record: Arc::downgrade(&record),
        carrier: None,
    };
    match &run.call.work {
        Work::Model(_) => model::run(run, reply).await,
        Work::Service(_) => service::run(run, reply).await,
        Work::Resume(_) => resume::run(run, reply).await,
    }
}

/// Sends a reply; the caller may have disconnected.
pub fn send_reply(sender: ReplySender, reply: Reply) {
    let _gone = sender.send(reply);
}

/// Returns what this process did earlier with a non-idempotent request of the same key.
fn previous_outcome(node: &Node, call: &Call) -> Option<KeyOutcome> {
    if !call.once {
        return None;
    }
    node.intents.outcome(&call.key_use)
}

fn abandoned() -> Refusal {
    let detail = "this router has given the key up; another router may run it";
    Refusal::unknown(RefusalKind::KeyInUse, detail).with_retry(JOIN_RETRY)
}

fn not_joined() -> Refusal {
    let detail = "this router has no membership of the budget's stream on the log now";
    Refusal::not_run(RefusalKind::Unavailable, detail).with_retry(JOIN_RETRY)
}

fn log_unavailable() -> Refusal {
    let detail = "the log is out, and the request must be recorded there before it runs";
    Refusal::not_run(RefusalKind::LogUnavailable, detail).with_retry(LOG_RETRY)
}

/// Result of relaying a request that had no quota here.
enum Fallback {
    /// Quota was reserved here after the relay ran nothing.
    Reserved(Option<HeldQuota>, ReplySender),
    /// The relay sent the reply.
    Answered,
    /// Neither a peer nor this router can serve it.
    Refused(Refusal, ReplySender),
}

/// Relays a request that had no quota here. If no peer ran it although quota was expected there,
/// free tokens of the budget may still serve it here.
async fn relay_or_reserve(
    node: &Node,
    call: &Call,
    shortage: Shortage,
    reply: ReplySender,
) -> Fallback {
    let Shortage { refusal, holders } = shortage;
    let had_holders = !holders.is_empty();
    let relayer = relay::Relayer { node, call };
    let reply = match relayer.relay(holders, &refusal, reply).await {
        RelayResult::Answered => return Fallback::Answered,
        RelayResult::NotRun(reply) => reply,
    };
    if !had_holders {
        return Fallback::Refused(refusal, reply);
    }
    match reserve(node, call, Phase::AfterRelay).await {
        Ok(held) => Fallback::Reserved(held, reply),
        Err(shortage) => Fallback::Refused(shortage.refusal, reply),
    }
}

/// When a request asks for quota.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    First,
    AfterRelay,
}

/// Reserves the upper bound of the call's cost; `None` if it is free and needs no intent.
async fn reserve(node: &Node, call: &Call, phase: Phase) -> Result<Option<HeldQuota>, Shortage> {
    if call.bound == 0 && !call.once {
        return Ok(None);
    }
    let joined = node.members.find(&call.budget);
    let Some(guard) = joined.and_then(|membership| membership.begin_work()) else {
        return Err(no_membership());
    };
    let account = guard.open(&call.budget, &node.claimers);
    let policy = WaitPolicy {
        deadline: call.deadline,
        claim_wait: Duration::from_millis(node.settings.claim_wait_ms),
        pause: Duration::from_millis(node.settings.claim_pause_ms),
        has_log: !node.config.is_log_silent(),
    };
    let reservation = match phase {
        Phase::First => account.reserve(call.bound, policy, !call.relayed).await?,
        Phase::AfterRelay => account.reserve_locally(call.bound, policy).await?,
    };
    if guard.is_retired() {
        // Retired while waiting: quota of a retired membership is quarantined and must not be used.
        return Err(no_membership());
    }
    Ok(Some(HeldQuota { guard, reservation }))
}

/// Shortage of a router that can reserve no quota now.
fn no_membership() -> Shortage {
    Shortage {
        refusal: not_joined(),
        holders: Vec::new(),
    }
}

/// A request with its reserved quota.
#[derive(Debug)]
pub struct Run {
    /// Shared state of the router.
    pub node: Arc<Node>,
    /// The request.
    pub call: Call,
    /// Guard of the membership that holds its quota; `None` if the request is free.
    pub guard: Option<WorkGuard>,
    /// Quota, intent and the dispatches so far.
    pub attempt: Attempt,
    /// Log record; dropped once its line is written.
    pub record: Weak<Record>,
    /// The submitted charge, which is followed up once the run is dropped.
    pub carrier: Option<ChargeGuard>,
}

impl Run {
    /// Charges `tokens` once, and returns the charge of the key, by this run or an earlier one.
    /// Waits until the charge is stored in another failure domain or the wait times out.
    pub async fn charge(&mut self, tokens: Tokens) -> Tokens {
        let (Some(guard), Some(quota)) = (&self.guard, self.attempt.reservation.take()) else {
            return 0;
        };
        let cost = self.call.cost(tokens);
        let mut before = None;
        if cost > 0 {
            let charge = self.charge_of(tokens, cost);
            let hold = self.call.key_use.hold();
            let (known, carrier) = self.node.settler.settle(guard, charge, hold).await;
            before = known;
            self.carrier = Some(carrier);
        }
        let drawn = quota.settle(cost);
        let charged = before.unwrap_or(drawn);
        if let Some(record) = self.record.upgrade() {
            record.charge(charged);
        }
        if let Some(account) = guard.find(&self.call.budget) {
            account.on_released();
        }
        charged
    }

    /// Marks the answer as complete in the log record.
    pub fn mark_complete(&self) {
        if let Some(record) = self.record.upgrade() {
            record.mark_complete();
        }
    }

    /// Records the complete answer, so that it can be repeated.
    pub fn remember(&self, server: Option<ServerName>, stream: Option<&str>, charged: Tokens) {
        self.mark_complete();
        if let Some(past) = &self.attempt.past {
            past.complete(CompletedRun {
                server,
                stream: stream.map(str::to_owned),
                charged,
            });
        }
    }

    /// Builds the charge for `tokens`.
    #[must_use]
    pub fn charge_of(&self, tokens: Tokens, cost: Tokens) -> Cost {
        Cost {
            key: self.call.key(),
            workspace: self.call.workspace().clone(),
            budget: self.call.budget.clone(),
            tokens,
            cost,
        }
    }
}
