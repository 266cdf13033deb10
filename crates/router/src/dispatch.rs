//! Dispatch of a request to a backend server: queueing, selection, connection, retries.
//!
//! A request that certainly did not reach a server is sent to another one. One that
//! may have reached a server is retried only if it is idempotent and the pool's retry
//! budget allows it.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use swiftlink_admission::Reservation;
use swiftlink_routing::{ErrorKind, ServerIdx};
use swiftlink_telemetry::event;
use swiftlink_types::{Refusal, RefusalKind};
use tokio::time::timeout_at;

use crate::admit::no_server;
use crate::call::Call;
use crate::engine;
use crate::fleet::Target;
use crate::history::TrackedRun;
use crate::intent::Intent;
use crate::node::Node;
use crate::queue::Slot;
use swiftlink_gateway::upstream::{PendingResponse, SendError, send};

/// Retry delay after the deadline passed before an answer.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);
/// Maximum length of an engine's refusal that is forwarded (bytes).
const MAX_EXCERPT: usize = 1_024;

/// The quota reserved for one request, and the history of its dispatches.
#[derive(Debug, Default)]
pub struct Attempt {
    /// Quota reserved for the run.
    pub reservation: Option<Reservation>,
    /// The won intent of a non-idempotent request.
    pub intent: Option<Intent>,
    /// The router's record of the run.
    pub past: Option<TrackedRun>,
    /// Servers to which the request was sent.
    pub tried: Vec<ServerIdx>,
    /// Whether a server may have run the request.
    pub maybe_ran: bool,
}

impl Attempt {
    /// Marks the request as dispatched: from here on a server may run it.
    fn dispatch(&mut self) {
        if let Some(reservation) = self.reservation.as_mut() {
            reservation.dispatch();
        }
        if let Some(intent) = self.intent.as_mut() {
            intent.dispatch();
        }
        if let Some(past) = self.past.as_mut() {
            past.dispatch();
        }
    }

    /// Undoes the last dispatch, which certainly did not reach a server.
    fn recall(&mut self) {
        if self.maybe_ran {
            return;
        }
        if let Some(reservation) = self.reservation.as_mut() {
            reservation.recall();
        }
        if let Some(intent) = self.intent.as_mut() {
            intent.recall();
        }
        if let Some(past) = self.past.as_mut() {
            past.recall();
        }
    }

    /// Changes the refusal to an unknown outcome if a server may have run the request.
    #[must_use]
    pub fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        if !self.maybe_ran {
            return refusal;
        }
        Refusal {
            retry_after: refusal.retry_after,
            ..Refusal::unknown(RefusalKind::ServerFailed, refusal.detail)
        }
    }
}

/// A server's answer whose head has been received.
#[derive(Debug)]
pub struct ServerResponse {
    /// The answer.
    pub answer: PendingResponse,
    /// The server that sends it.
    pub target: Target,
}

/// Waits for a slot of the call's pool.
///
/// # Errors
/// Fails when no server accepts work, or when the queue refuses the request.
pub async fn wait_slot(call: &Call) -> Result<Slot, Refusal> {
    let (open, retry) = call.pool.availability();
    if open == 0 {
        return Err(no_server(&call.pool.name, retry));
    }
    call.pool.queue.acquire(call.arrival()).await
}

/// Sends the request that `make` builds to one server after another until one answers.
/// With `is_model`, only status 200 counts as an answer.
///
/// # Errors
/// The refusal's outcome is `not-run` only if no server can have received the request.
pub async fn open(
    node: &Node,
    call: &Call,
    attempt: &mut Attempt,
    prefix: u64,
    is_model: bool,
    make: impl Fn(&Target) -> Request<Full<Bytes>>,
) -> Result<ServerResponse, Refusal> {
    loop {
        let left = call.time_left();
        if left.is_zero() {
            let detail = "the deadline has passed";
            let late = Refusal::not_run(RefusalKind::Overloaded, detail);
            return Err(attempt.adjust_refusal(late.with_retry(DEADLINE_RETRY)));
        }
        let Some(target) = call.pool.choose(prefix, &attempt.tried, !call.once) else {
            let (_open, retry) = call.pool.availability();
            return Err(attempt.adjust_refusal(no_server(&call.pool.name, retry)));
        };
        attempt.tried.push(target.idx);
        attempt.dispatch();
        // A request that may be repeated leaves an engine that doesn't respond. A run that
        // must not repeat, and a service, whose speed is unknown, have until the deadline.
        let mut options = node.send_options(left, call.once);
        if is_model && !call.once {
            options.response = left.min(node.read_options().stall);
        }
        match send(target.address, make(&target), options).await {
            Ok(answer) => {
                let response = &answer.response;
                if engine::is_draining(response.status(), response.headers()) {
                    attempt.recall();
                    target.draining();
                    continue;
                }
                if !is_model || response.status() == StatusCode::OK {
                    return Ok(ServerResponse { answer, target });
                }
                failed_status(call, attempt, target, answer).await?;
            }
            Err(
                error @ (SendError::NotSent(_)
                | SendError::Unreachable
                | SendError::Withheld(_)
                | SendError::Expired),
            ) => {
                attempt.recall();
                let why = error.detail();
                event!(debug, "dispatch.not-sent", server = target.name, why = why);
                if let Some(kind) = error.kind() {
                    target.failed(kind);
                }
            }
            Err(error @ (SendError::Lost(_) | SendError::TimedOut | SendError::Hung)) => {
                let why = error.detail();
                event!(
                    info,
                    "dispatch.lost",
                    server = target.name,
                    key = call.key(),
                    why = why
                );
                target.failed(ErrorKind::Broken);
                may_retry(call, attempt, why)?;
            }
        }
    }
}

/// Checks that a request that may have run can be sent to another server.
///
/// # Errors
/// Returns the final refusal if it can't.
pub fn may_retry(call: &Call, attempt: &mut Attempt, why: &str) -> Result<(), Refusal> {
    attempt.maybe_ran = true;
    if !call.once && call.pool.retries.take() {
        return Ok(());
    }
    let detail = format!("the backend server's answer was lost: {why}");
    Err(Refusal::unknown(RefusalKind::ServerFailed, detail))
}

/// Handles an engine's answer with a status other than 200.
///
/// # Errors
/// Returns the final refusal if the request can't be sent to another server.
async fn failed_status(
    call: &Call,
    attempt: &mut Attempt,
    target: Target,
    answer: PendingResponse,
) -> Result<(), Refusal> {
    let status = answer.response.status();
    let (response, _lease) = answer.split();
    let body = Limited::new(response.into_body(), MAX_EXCERPT).collect();
    let body = timeout_at(call.deadline, body).await;
    let body = body.ok().and_then(Result::ok);
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    let excerpt = String::from_utf8_lossy(&bytes).into_owned();
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        // The engine rejected the request without running it.
        attempt.recall();
        drop(target);
        let detail = format!("the engine answered {status}: {excerpt}");
        return Err(Refusal::unknown(RefusalKind::Malformed, detail).with_field("body"));
    }
    if matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    ) {
        call.pool.queue.on_full();
    }
    target.failed(ErrorKind::Status);
    may_retry(call, attempt, &format!("{status}: {excerpt}"))
}
