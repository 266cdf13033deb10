//! A caller's request from its first attempt to its response.

use std::cell::Cell;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, Method, Uri};
use swiftlink_routing::Prompt;
use swiftlink_shell::web::Response;
use swiftlink_telemetry::event;
use swiftlink_types::{DomainName, Tokens, VersionName};
use tokio::time::Instant;

use super::attempt::{ServerResponse, attempt};
use super::attempts::Attempts;
use super::buffer::NextStep;
use super::refusal::{Refusal, SERVER_RETRY};
use super::relay;
use super::service::STALL_WAIT;
use crate::dialect::RequestMeta;
use crate::fingerprint::RequestIdentity;
use crate::fleet::{Pool, SelectedServer, ServerCriteria, Ticket};
use crate::model::{Replay, Route, RouteKind, Workspace};
use crate::node::{InFlight, Node};
use crate::outcome::Outcome;
use crate::quota::RequestQuota;

/// Maximum number of attempts of one request, without those that were withheld, also when no server
/// executed it.
const MAX_ATTEMPTS: usize = 4;
/// How long an idle connection is kept if the server doesn't specify a timeout.
pub(super) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// The parts of a caller's request that are forwarded to servers.
#[derive(Debug)]
pub(super) struct ForwardedRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An admitted request, from the reservation of its quota until its response is complete.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) node: Arc<Node>,
    pub(super) pool: Arc<Pool>,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<Workspace>>,
    pub(super) request: ForwardedRequest,
    /// Identifies the request when its caller sends it again.
    pub(super) identity: Arc<RequestIdentity>,
    pub(super) meta: RequestMeta,
    pub(super) quota: RequestQuota,
    /// Failure domains that the request may go to; `None` for all.
    pub(super) domains: Option<HashSet<DomainName>>,
    /// Version of the software that wrote the first event of the response; no other may go on.
    pub(super) begun_by: Option<VersionName>,
    /// Version of the configuration that the request was admitted under.
    pub(super) version: u64,
    pub(super) start: Instant,
    pub(super) deadline: Instant,
    /// Whether the end of the request was logged.
    pub(super) is_logged: Cell<bool>,
}

/// Logs a request whose caller disconnected, which drops the exchange at any point.
impl Drop for Exchange {
    fn drop(&mut self) {
        if self.is_logged.get() {
            return;
        }
        event!(
            info,
            "request.abandoned",
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

impl Exchange {
    /// Priority of the request: its workspace's, or else its route's.
    pub(super) fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Whether the response is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        self.route.kind == RouteKind::Streaming
    }

    /// Time until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tokens that the request has spent.
    pub(super) fn spent(&self) -> Tokens {
        self.quota.spent()
    }

    /// Charges a response that is delivered as a whole.
    pub(super) fn deliver_all(&mut self) {
        if let Some(reservation) = self.quota.reservation() {
            reservation.deliver_all();
        }
    }

    /// Length of the prompt, in own and shared tokens.
    pub(super) fn prompt(&self) -> Prompt {
        let all = self.meta.usage.map_or(0, |usage| usage.prompt);
        let shared = self.meta.shared.min(all);
        Prompt {
            own: all - shared,
            shared,
        }
    }

    /// The fingerprints of the prompt's parts for the log entry of a response that broke off; `-` for
    /// others.
    pub(super) fn logged_parts(&self, is_broken: bool) -> String {
        if is_broken {
            self.identity.parts().to_string()
        } else {
            "-".to_owned()
        }
    }

    /// The fingerprint for the log entry of a response that broke off; `-` for others.
    pub(super) fn logged_fingerprint(&self, is_broken: bool) -> String {
        if is_broken {
            self.identity.fingerprint().to_string()
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
        self.meta.id()
    }

    /// How long the connection of a response may be kept; `None` if the server closes it.
    pub(super) fn keep_alive(&self, head: &HeaderMap) -> Option<Duration> {
        let connection = head.get(CONNECTION);
        if connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return None;
        }
        Some(
            self.node
                .dialect
                .keep_alive(head)
                .unwrap_or(DEFAULT_KEEP_ALIVE),
        )
    }

    /// Sends the request until it has a response or a refusal.
    pub(super) async fn run(mut self, guard: InFlight) -> Response {
        let mut attempts = Attempts::default();
        loop {
            let response = match self.dispatch(&mut attempts, self.meta.resume).await {
                Ok(response) => response,
                Err(refusal) => return self.refuse(refusal, &attempts),
            };
            if !self.is_paid().await {
                return self.refuse(Refusal::Lost, &attempts);
            }
            if self.is_stream() && response.outcome == Outcome::Served {
                return relay::stream(self, attempts, response, guard);
            }
            match self.buffer(&mut attempts, response).await {
                Ok(response) => return response,
                Err(NextStep::Refuse(refusal)) => return self.refuse(refusal, &attempts),
                Err(NextStep::Relay(start, response)) => {
                    self.deliver_all();
                    return relay::long_body(self, attempts, start, *response, guard);
                }
                Err(NextStep::Retry) => {}
            }
        }
    }

    /// Sends the request to one server after the other until one responds.
    pub(super) async fn dispatch(
        &mut self,
        attempts: &mut Attempts,
        resume: Option<u64>,
    ) -> Result<ServerResponse, Refusal> {
        loop {
            if let Some(rest) = self.node.quarantine.remaining_hold(&self.identity) {
                return Err(quarantine_refusal(attempts, rest));
            }
            self.admit(attempts).await?;
            // The process may have stood still since the request came.
            self.node.freshness.wait_after_stall(STALL_WAIT).await;
            let Some((server, ticket)) = self.choose(attempts).await else {
                return Err(self.unserved(attempts));
            };
            self.on_sent(attempts, &ticket);
            let idx = ticket.idx;
            let until = self.attempt_deadline(attempts);
            let name = server.instance.name.clone();
            let selected = server.clone();
            let start = Instant::now();
            let failed = match attempt(self, server, ticket, resume, until).await {
                Ok(response) => {
                    self.node.metrics.attempted(response.outcome.as_str());
                    attempts.tried.push(idx);
                    attempts.executions += 1;
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            let outcome = failed.outcome;
            attempts.tried.push(idx);
            self.node.metrics.attempted(outcome.as_str());
            attempts.record(outcome);
            let is_broken = outcome == Outcome::Lost;
            if is_broken {
                self.node
                    .quarantine
                    .on_broken_attempt(&selected, &self.identity);
            }
            event!(
                info,
                "request.send_failed",
                id = self.id(),
                server = name,
                outcome = outcome.as_str(),
                attempt = attempts.count(),
                connection = failed.connection.as_str(),
                detail = failed.detail,
                took_ms = start.elapsed().as_millis(),
                print = self.logged_fingerprint(is_broken),
                parts = self.logged_parts(is_broken),
                left_ms = self.left().as_millis(),
            );
            if !self.may_retry(attempts, outcome) {
                return Err(match outcome {
                    Outcome::Quarantined => Refusal::Lost,
                    Outcome::TimedOut => Refusal::Timeout,
                    _ => self.unserved(attempts),
                });
            }
        }
    }

    /// Chooses the next server. Where all limit their rate, waits for a permit once.
    async fn choose(&self, attempts: &Attempts) -> Option<(SelectedServer, Ticket)> {
        let chosen = self.pool.send(&self.criteria(attempts));
        if chosen.is_some() || !self.pool.wait_for_permit().await {
            return chosen;
        }
        self.pool.send(&self.criteria(attempts))
    }

    /// Criteria for choosing the next server.
    fn criteria<'a>(&'a self, attempts: &'a Attempts) -> ServerCriteria<'a> {
        ServerCriteria {
            prefix: self.meta.prefix,
            prompt: self.prompt(),
            latency_target: self.route.latency_target,
            domains: self.domains.as_ref(),
            exclude: &attempts.tried,
            route: Some(&self.route.name),
            version: self.begun_by.as_ref(),
            is_resumable: self.route.replay() == Replay::Resume,
            may_canary: attempts.tried.is_empty(),
            priority: self.priority(),
        }
    }

    /// Refusal of a request that isn't sent again.
    fn unserved(&self, attempts: &Attempts) -> Refusal {
        if attempts.executions > 0 {
            return Refusal::Lost;
        }
        if self.left().is_zero() {
            return Refusal::Expired;
        }
        Refusal::NoServer(
            self.pool
                .retry_after(self.priority())
                .unwrap_or(SERVER_RETRY),
        )
    }

    /// Whether the request may be sent once more. Takes a retry from the fleet's limit if the last
    /// attempt may have reached a server.
    pub(super) fn may_retry(&self, attempts: &Attempts, outcome: Outcome) -> bool {
        let may_retry = outcome.may_retry(self.route.replay())
            && attempts.executions < self.route.max_attempts.max(1)
            && attempts.count() < MAX_ATTEMPTS
            && !self.left().is_zero();
        may_retry && (!outcome.may_have_arrived() || self.pool.retries.take())
    }

    /// When to stop waiting for the head of a response: if another server may be tried, half of
    /// the remaining time is left for it.
    fn attempt_deadline(&self, attempts: &Attempts) -> Instant {
        let is_last = attempts.executions + 1 >= self.route.max_attempts;
        if self.route.replay() == Replay::Never || is_last {
            return self.deadline;
        }
        Instant::now() + self.left() / 2
    }

    /// Logs the refusal and makes its response.
    pub(super) fn refuse(&self, refusal: Refusal, attempts: &Attempts) -> Response {
        if let Refusal::Overloaded(overloaded) = refusal {
            return self.refuse_overloaded(&overloaded);
        }
        event!(
            info,
            "request.refused",
            id = self.id(),
            route = self.route.name,
            workspace = self.workspace(),
            reason = refusal.as_str(),
            attempts = attempts.count(),
            runs = attempts.executions,
            open = self.pool.open_len(),
            ejected = self.pool.ejected_len(),
            config = self.version,
            ms = self.start.elapsed().as_millis(),
        );
        self.is_logged.set(true);
        self.node.metrics.refused(refusal.as_str());
        refusal.response()
    }
}

/// Refusal of a quarantined request, which depends on whether the request may have been executed.
fn quarantine_refusal(attempts: &Attempts, rest: Duration) -> Refusal {
    if attempts.executions == 0 {
        return Refusal::Held(rest);
    }
    Refusal::Lost
}
