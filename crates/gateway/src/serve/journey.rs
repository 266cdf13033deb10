//! A request from its first send to the head of its answer.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::CONNECTION;
use http::{HeaderMap, Method, Uri};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use swiftlink_routing::{ErrorKind, Prompt, ServerIdx};
use swiftlink_shell::web::{Body, Response};
use swiftlink_telemetry::event;
use swiftlink_types::{DomainName, Tokens};
use tokio::time::{Instant, timeout_at};

use super::attempt::{Reply, attempt};
use super::refuse::{Refusal, SERVER_WAIT};
use super::relay;
use crate::dialect::Ask;
use crate::fingerprint::Origin;
use crate::fleet::{Pool, ServerCriteria};
use crate::model::{Replay, Route, RouteKind, Workspace};
use crate::node::{InFlight, Node};
use crate::proof::{Outcome, Ran};
use crate::rights::Spend;

/// Most servers that one request is offered to, also when none of them ran it.
const OFFERS: usize = 4;
/// Longest answer that is read whole before it is handed on, in bytes: one that breaks
/// off can then be replaced by another or by an honest failure.
const WHOLE: usize = 256 * 1024;
/// How long an idle connection is kept when the server doesn't say.
const KEEP: Duration = Duration::from_secs(4);

/// A caller's request, as it is sent on.
#[derive(Debug)]
pub(super) struct Parcel {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A request that has its rights, and what is known of it.
#[derive(Debug)]
pub(super) struct Journey {
    pub(super) node: Arc<Node>,
    pub(super) pool: Arc<Pool>,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) parcel: Parcel,
    /// What it is known by when its caller sends it again.
    pub(super) origin: Arc<Origin>,
    pub(super) ask: Ask,
    pub(super) spend: Option<Spend>,
    /// Failure domains that it may go to; all where there is nothing.
    pub(super) domains: Option<HashSet<DomainName>>,
    /// Version of the configuration that it was admitted under.
    pub(super) version: u64,
    pub(super) start: Instant,
    pub(super) deadline: Instant,
    /// Whether its end was logged.
    pub(super) is_told: Cell<bool>,
}

/// A caller that leaves drops the request wherever it is.
impl Drop for Journey {
    fn drop(&mut self) {
        if self.is_told.get() {
            return;
        }
        event!(
            info,
            "request.left",
            id = self.id(),
            route = self.route.name,
            workspace = self.workspace(),
            charged = self.spent(),
            config = self.version,
            ms = self.start.elapsed().as_millis(),
        );
        let kind = self.route.kind.as_str();
        self.node
            .metrics
            .answered(kind, "left", self.start.elapsed());
    }
}

/// What follows where an answer isn't there as a whole.
enum Step {
    /// The request is sent again.
    Again,
    /// The caller gets the router's own answer.
    Refuse(Refusal),
    /// The answer is long: its start is there, the rest is handed on as it comes.
    Relay(Bytes, Box<Reply>),
}

/// The body of an answer that isn't a stream, as far as it was read.
enum Short {
    Whole(Bytes),
    Long { start: Bytes, rest: Incoming },
}

/// Sends so far.
#[derive(Debug, Default)]
pub(super) struct Trail {
    tried: Vec<ServerIdx>,
    /// Servers that may have run it.
    runs: u32,
    /// Sends that were given up before anything left, since the failure domain was emptied.
    withheld: usize,
}

impl Journey {
    /// Whether the answer is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Streaming
    }

    /// Time until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tokens that it has spent.
    pub(super) fn spent(&self) -> Tokens {
        self.spend.as_ref().map_or(0, Spend::spent)
    }

    /// A whole answer goes out.
    fn deliver_all(&mut self) {
        if let Some(spend) = &mut self.spend {
            spend.deliver_all();
        }
    }

    /// Length of the prompt.
    fn prompt(&self) -> Prompt {
        let all = self.ask.usage.map_or(0, |usage| usage.prompt);
        let shared = self.ask.shared.min(all);
        Prompt {
            own: all - shared,
            shared,
        }
    }

    /// Its fingerprint for the line of an answer that broke off, and nothing for others.
    pub(super) fn shown_print(&self, is_broken: bool) -> String {
        if is_broken {
            self.origin.print().to_string()
        } else {
            "-".to_owned()
        }
    }

    /// Name of the workspace that is charged, for logs.
    pub(super) fn workspace(&self) -> &str {
        let workspace = self.workspace.as_ref();
        workspace.map_or("-", |workspace| workspace.name.as_str())
    }

    /// Id of the request, for logs.
    pub(super) fn id(&self) -> &str {
        self.ask.id()
    }

    /// How long the connection of an answer may be kept.
    pub(super) fn keep(&self, head: &HeaderMap) -> Option<Duration> {
        let is_last = head.get(CONNECTION);
        if is_last.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return None;
        }
        Some(self.node.dialect.keep(head).unwrap_or(KEEP))
    }

    /// Serves the request.
    pub(super) async fn run(mut self, guard: InFlight) -> Response {
        let mut trail = Trail::default();
        loop {
            let reply = match self.dispatch(&mut trail, self.ask.resume).await {
                Ok(reply) => reply,
                Err(refusal) => return self.refuse(refusal, &trail),
            };
            if self.is_stream() && reply.outcome == Outcome::Served {
                return relay::stream(self, trail, reply, guard);
            }
            match self.whole(&mut trail, reply).await {
                Ok(response) => return response,
                Err(Step::Refuse(refusal)) => return self.refuse(refusal, &trail),
                Err(Step::Relay(start, reply)) => {
                    self.deliver_all();
                    return relay::long(self, trail, start, *reply, guard);
                }
                Err(Step::Again) => {}
            }
        }
    }

    /// Sends the request until a server answers it.
    pub(super) async fn dispatch(
        &mut self,
        trail: &mut Trail,
        resume: Option<u64>,
    ) -> Result<Reply, Refusal> {
        loop {
            if let Some(rest) = self.node.quarantine.remaining_hold(&self.origin) {
                return Err(hold(trail, rest));
            }
            let Some((server, ticket)) = self.pool.send(&self.wish(trail)) else {
                return Err(self.give_up(trail));
            };
            let idx = ticket.idx;
            let until = self.until(trail);
            let name = server.instance.name.clone();
            let chosen = server.clone();
            let outcome = match attempt(self, server, ticket, resume, until).await {
                Ok(reply) => {
                    self.node.metrics.sent(reply.outcome.as_str());
                    trail.tried.push(idx);
                    trail.runs += 1;
                    return Ok(reply);
                }
                Err(outcome) => outcome,
            };
            trail.tried.push(idx);
            self.node.metrics.sent(outcome.as_str());
            trail.note(outcome);
            let is_broken = outcome == Outcome::Lost;
            if is_broken {
                self.node
                    .quarantine
                    .on_broken_attempt(&chosen, &self.origin);
            }
            event!(
                info,
                "request.send_failed",
                id = self.id(),
                server = name,
                outcome = outcome.as_str(),
                attempt = trail.sends(),
                print = self.shown_print(is_broken),
                left_ms = self.left().as_millis(),
            );
            if !self.may_retry(trail, outcome) {
                return Err(match outcome {
                    Outcome::Cut => Refusal::Lost,
                    Outcome::Silent => Refusal::Timeout,
                    _ => self.give_up(trail),
                });
            }
        }
    }

    /// What it asks of the server that is to get it next.
    fn wish<'a>(&'a self, trail: &'a Trail) -> ServerCriteria<'a> {
        ServerCriteria {
            prefix: self.ask.prefix,
            prompt: self.prompt(),
            latency_target: self.route.latency_target,
            domains: self.domains.as_ref(),
            exclude: &trail.tried,
            route: Some(&self.route.name),
            may_canary: trail.tried.is_empty(),
        }
    }

    /// What the caller hears when the request isn't sent again.
    fn give_up(&self, trail: &Trail) -> Refusal {
        if trail.runs == 0 {
            return Refusal::NoServer(self.pool.retry_after().unwrap_or(SERVER_WAIT));
        }
        Refusal::Lost
    }

    /// Whether the request may be sent once more, and the fleet's retries allow it.
    pub(super) fn may_retry(&self, trail: &Trail, outcome: Outcome) -> bool {
        let may = outcome.may_retry(self.route.replay())
            && trail.runs < self.route.max_attempts.max(1)
            && trail.sends() < OFFERS
            && !self.left().is_zero();
        may && (!outcome.has_arrived() || self.pool.retries.take())
    }

    /// When to give up waiting for a server's head: where another may be asked, half of
    /// the time is left for it.
    fn until(&self, trail: &Trail) -> Instant {
        let is_last = trail.runs + 1 >= self.route.max_attempts;
        if self.route.replay() == Replay::Never || is_last {
            return self.deadline;
        }
        Instant::now() + self.left() / 2
    }

    /// Reads an answer that isn't a stream and makes the caller's answer of it.
    async fn whole(&mut self, trail: &mut Trail, reply: Reply) -> Result<Response, Step> {
        let Reply {
            head,
            body,
            mut lease,
            ticket,
            server,
            outcome,
        } = reply;
        if outcome == Outcome::Failed && self.may_retry(trail, outcome) {
            event!(
                info,
                "request.failed",
                id = self.id(),
                server = server.instance.name,
                status = head.status.as_u16(),
                next = "another server",
            );
            ticket.fail(ErrorKind::Status);
            return Err(Step::Again);
        }
        let body = match timeout_at(self.deadline, read_short(body)).await {
            Ok(Ok(Short::Whole(body))) => {
                self.node.traffic.relayed(body.len());
                body
            }
            Ok(Ok(Short::Long { start, rest })) => {
                let reply = Reply {
                    head,
                    body: rest,
                    lease,
                    ticket,
                    server,
                    outcome,
                };
                return Err(Step::Relay(start, Box::new(reply)));
            }
            Ok(Err(error)) => {
                event!(
                    info,
                    "request.truncated",
                    id = self.id(),
                    server = server.instance.name,
                    print = self.origin.print(),
                    error = error,
                );
                ticket.fail(ErrorKind::Broken);
                self.node
                    .quarantine
                    .on_broken_attempt(&server, &self.origin);
                if self.may_retry(trail, Outcome::Truncated) {
                    return Err(Step::Again);
                }
                return Err(Step::Refuse(Refusal::Lost));
            }
            Err(_elapsed) => return Err(Step::Refuse(Refusal::Timeout)),
        };
        if let Some(keep) = self.keep(&head.headers) {
            lease.recycle_for(keep);
        }
        match outcome {
            Outcome::Failed => ticket.fail(ErrorKind::Status),
            _ => {
                ticket.complete();
                self.deliver_all();
                self.node.quarantine.on_completed(&self.origin);
            }
        }
        event!(
            info,
            "request.answered",
            id = self.id(),
            route = self.route.name,
            workspace = self.workspace(),
            server = server.instance.name,
            status = head.status.as_u16(),
            attempts = trail.sends(),
            config = self.version,
            ms = self.start.elapsed().as_millis(),
        );
        self.is_told.set(true);
        let kind = self.route.kind.as_str();
        self.node
            .metrics
            .answered(kind, outcome.as_str(), self.start.elapsed());
        let mut response = Response::new(Body::full(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.node.dialect.response_headers(&head.headers);
        Ok(response)
    }

    /// The router's own answer.
    pub(super) fn refuse(&self, refusal: Refusal, trail: &Trail) -> Response {
        event!(
            info,
            "request.refused",
            id = self.id(),
            route = self.route.name,
            workspace = self.workspace(),
            reason = refusal.as_str(),
            attempts = trail.sends(),
            runs = trail.runs,
            open = self.pool.open_len(),
            config = self.version,
            ms = self.start.elapsed().as_millis(),
        );
        self.is_told.set(true);
        self.node.metrics.refused(refusal.as_str());
        refusal.response()
    }
}

/// What the caller of a request that is held hears: whether it may have run decides.
fn hold(trail: &Trail, rest: Duration) -> Refusal {
    if trail.runs == 0 {
        return Refusal::Held(rest);
    }
    Refusal::Lost
}

/// Reads a body up to [`WHOLE`] bytes.
async fn read_short(mut body: Incoming) -> Result<Short, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        read.extend_from_slice(&piece);
        if read.len() > WHOLE {
            let start = read.freeze();
            return Ok(Short::Long { start, rest: body });
        }
    }
    Ok(Short::Whole(read.freeze()))
}

impl Trail {
    /// Number of sends.
    pub(super) fn sends(&self) -> usize {
        self.tried.len() - self.withheld
    }

    /// Keeps count of a failed send.
    fn note(&mut self, outcome: Outcome) {
        if outcome.ran() != Ran::No {
            self.runs += 1;
        }
        if outcome == Outcome::Withheld {
            self.withheld += 1;
        }
    }
}
