//! The way of one admitted request: rights, intent, run, answer.
//!
//! A request runs in a task of its own, on the thread of its caller's connection, so
//! that it goes on to its charge when the caller disconnects.

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
use crate::intent::{KeyOutcome, lost};
use crate::members::WorkGuard;
use crate::node::Node;
use crate::past::{Past, WholeRun, digest};
use crate::record::{self, Record};
use crate::relay::Relayed;
use crate::reply::{Reply, ReplySender};
use crate::{health, model, problem, relay, repeat, resume, service, surface};

/// When to come back to a router that has not joined the budget's stream yet.
const JOIN_RETRY: Duration = Duration::from_secs(1);
/// When to come back while the log is out.
const LOG_RETRY: Duration = Duration::from_secs(2);

/// Answers the callers' requests.
#[derive(Debug)]
pub struct Surface {
    /// What the router's parts share.
    pub node: Arc<Node>,
}

#[async_trait(?Send)]
impl Service for Surface {
    async fn call(&self, mut request: Incoming) -> Response {
        if request.method() == Method::GET && request.uri().path() == health::PATH {
            return health::respond(&self.node);
        }
        let begun = Instant::now();
        let call = match admit(&self.node, &mut request).await {
            Ok(call) => call,
            Err(refusal) => {
                count_refusal(&self.node, &refusal);
                let headers = request.headers();
                let key = surface::key(headers).ok().flatten();
                record::refused(&refusal, key, || workspace_of(&self.node, headers), begun);
                return problem::respond(&refusal, None);
            }
        };
        let record = Record::new(&call, begun);
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
                    repeat::of_run(refusal)
                } else {
                    repeat::judge(&self.node.past, &workspace, key, refusal)
                };
                if once && refusal.outcome == Outcome::NotRun && refusal.kind != RefusalKind::LogOut
                {
                    self.free(task, &workspace, key, deadline).await;
                }
                count_refusal(&self.node, &refusal);
                Reply::Refused(refusal)
            }
            other => other,
        };
        record.answer(&reply);
        reply.into_response(key)
    }
}

impl Surface {
    /// Waits shortly until the log has freed the key of a request that was not run, so
    /// that its caller, who will go to another router, isn't told that a run may exist.
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
            // The intent is given up when the task ends.
            let _ended = task.await;
            node.intents.wait_abandoned(workspace, key).await;
        };
        let _late = timeout(limit, free).await;
    }
}

/// Workspace that a request which was not admitted speaks for.
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

/// The rights of one request, and the incarnation that holds them.
#[derive(Debug)]
pub struct Holding {
    /// Work under way on the incarnation.
    pub seat: WorkGuard,
    /// The rights, until a dispatch takes them over.
    pub reservation: Reservation,
}

async fn serve(node: Arc<Node>, call: Call, record: Arc<Record>, reply: ReplySender) {
    let mut reply = reply;
    let is_run = !call.is_resumption();
    let digest = if is_run { digest(&call.original) } else { 0 };
    if is_run {
        match node.past.look(&call.key_use, digest) {
            Past::Open => {}
            Past::Whole(whole) => {
                record.pass();
                return repeat::run(&node, call, whole, reply).await;
            }
            Past::Reused => return send(reply, Reply::Refused(repeat::reused())),
            Past::Charged => return send(reply, Reply::Refused(repeat::charged())),
        }
    }
    match spent(&node, &call) {
        None => {}
        Some(KeyOutcome::Dispatched) => return send(reply, Reply::Refused(lost(false))),
        Some(KeyOutcome::Abandoned) => {
            record.pass();
            let origin = relay::Origin {
                node: &node,
                call: &call,
            };
            return origin.relay_or_refuse(Vec::new(), given_up(), reply).await;
        }
    }
    let holding = match hold(&node, &call, Turn::First).await {
        Ok(holding) => holding,
        Err(shortage) => match relay_or_hold(&node, &call, shortage, reply).await {
            Got::Rights(holding, back) => {
                reply = back;
                holding
            }
            Got::Answered => return record.pass(),
            Got::Refused(refusal, back) => return send(back, Reply::Refused(refusal)),
        },
    };
    let (seat, rights) = holding
        .map(|holding| (holding.seat, holding.reservation))
        .unzip();
    let mut attempt = Attempt {
        reservation: rights,
        past: is_run.then(|| node.past.begin(&call.key_use, digest)),
        ..Attempt::default()
    };
    if call.once {
        let Some(seat) = seat.as_ref() else {
            return send(reply, Reply::Refused(not_joined()));
        };
        if node.config.is_log_silent() {
            return send(reply, Reply::Refused(log_out()));
        }
        let won = node
            .intents
            .win(seat, &call.key_use, &call.budget, call.time_left())
            .await;
        match won {
            Ok(intent) => attempt.intent = Some(intent),
            Err(refusal) => return send(reply, Reply::Refused(refusal)),
        }
    }
    let run = Run {
        node,
        call,
        seat,
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

/// Puts an answer; the caller may have gone.
pub fn send(sender: ReplySender, reply: Reply) {
    let _gone = sender.send(reply);
}

/// What this process has done before with the run of a request that must not repeat.
fn spent(node: &Node, call: &Call) -> Option<KeyOutcome> {
    if !call.once {
        return None;
    }
    node.intents.outcome(&call.key_use)
}

fn given_up() -> Refusal {
    let detail = "this router has given the key up; another router may run it";
    Refusal::unknown(RefusalKind::KeyInUse, detail).with_retry(JOIN_RETRY)
}

fn not_joined() -> Refusal {
    let detail = "this router has no membership of the budget's stream on the log now";
    Refusal::not_run(RefusalKind::Unavailable, detail).with_retry(JOIN_RETRY)
}

fn log_out() -> Refusal {
    let detail = "the log is out, and the request must be recorded there before it runs";
    Refusal::not_run(RefusalKind::LogOut, detail).with_retry(LOG_RETRY)
}

/// What a request that found no rights came to.
enum Got {
    /// Rights here after all.
    Rights(Option<Holding>, ReplySender),
    /// An answer by way of a peer.
    Answered,
    /// Nothing.
    Refused(Refusal, ReplySender),
}

/// Relays a request that found no rights; where that certainly ran nothing, and rights
/// were expected there, what is free in the budget may still serve it here.
async fn relay_or_hold(node: &Node, call: &Call, shortage: Shortage, reply: ReplySender) -> Got {
    let Shortage { refusal, holders } = shortage;
    let had_holders = !holders.is_empty();
    let origin = relay::Origin { node, call };
    let reply = match origin.relay(holders, &refusal, reply).await {
        Relayed::Answered => return Got::Answered,
        Relayed::Nowhere(reply) => reply,
    };
    if !had_holders {
        return Got::Refused(refusal, reply);
    }
    match hold(node, call, Turn::AfterRelay).await {
        Ok(holding) => Got::Rights(holding, reply),
        Err(shortage) => Got::Refused(shortage.refusal, reply),
    }
}

/// When a request asks for rights.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Turn {
    First,
    AfterRelay,
}

/// Reserves the bound of the call's cost; `None` when it is free and needs no log.
async fn hold(node: &Node, call: &Call, turn: Turn) -> Result<Option<Holding>, Shortage> {
    if call.bound == 0 && !call.once {
        return Ok(None);
    }
    let joined = node.members.find(&call.budget);
    let Some(seat) = joined.and_then(|seat| seat.begin_work()) else {
        return Err(none_here());
    };
    let account = seat.open(&call.budget, &node.claimers);
    let policy = WaitPolicy {
        deadline: call.deadline,
        claim_wait: Duration::from_millis(node.settings.claim_wait_ms),
        pause: Duration::from_millis(node.settings.claim_pause_ms),
        has_log: !node.config.is_log_silent(),
    };
    let reservation = match turn {
        Turn::First => account.reserve(call.bound, policy, !call.relayed).await?,
        Turn::AfterRelay => account.reserve_locally(call.bound, policy).await?,
    };
    if seat.is_retired() {
        // Meanwhile; nothing new is begun on rights that are in quarantine.
        return Err(none_here());
    }
    Ok(Some(Holding { seat, reservation }))
}

/// No rights can be held here now.
fn none_here() -> Shortage {
    Shortage {
        refusal: not_joined(),
        holders: Vec::new(),
    }
}

/// A request that has its rights.
#[derive(Debug)]
pub struct Run {
    /// What the router's parts share.
    pub node: Arc<Node>,
    /// The request.
    pub call: Call,
    /// Incarnation that holds its rights; `None` when it costs nothing.
    pub seat: Option<WorkGuard>,
    /// Rights, intent and the dispatches so far.
    pub attempt: Attempt,
    /// What the log gets to read; gone once the line is written.
    pub record: Weak<Record>,
    /// Its charge, which is followed once the run is dropped.
    pub carrier: Option<ChargeGuard>,
}

impl Run {
    /// Charges `tokens` run, once; the answer is what the key is charged, by this run
    /// or by one before. Returns once the charge is stored in another failure domain, or
    /// after the wait for it.
    pub async fn charge(&mut self, tokens: Tokens) -> Tokens {
        let (Some(seat), Some(rights)) = (&self.seat, self.attempt.reservation.take()) else {
            return 0;
        };
        let cost = self.call.cost(tokens);
        let mut before = None;
        if cost > 0 {
            let charge = self.charge_of(tokens, cost);
            let hold = self.call.key_use.hold();
            let (known, carrier) = self.node.settler.settle(seat, charge, hold).await;
            before = known;
            self.carrier = Some(carrier);
        }
        let drawn = rights.settle(cost);
        let charged = before.unwrap_or(drawn);
        if let Some(record) = self.record.upgrade() {
            record.charge(charged);
        }
        if let Some(account) = seat.find(&self.call.budget) {
            account.on_released();
        }
        charged
    }

    /// Notes that the answer came to its end.
    pub fn whole(&self) {
        if let Some(record) = self.record.upgrade() {
            record.whole();
        }
    }

    /// Remembers that the answer was whole, for a repeat of the request.
    pub fn remember(&self, server: Option<ServerName>, stream: Option<&str>, charged: Tokens) {
        self.whole();
        if let Some(past) = &self.attempt.past {
            past.whole(WholeRun {
                server,
                stream: stream.map(str::to_owned),
                charged,
            });
        }
    }

    /// What a charge for `tokens` run says.
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
