//! Dispatch of a request to a backend server: queue, choice, connection, retry.
//!
//! A request that certainly did not reach a server goes to another one. One that
//! may have reached it goes to another only if it is idempotent and the pool's
//! retry budget allows.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use swiftlink_admission::Reservation;
use swiftlink_routing::{ErrorKind, ServerIdx};
use swiftlink_telemetry::event;
use swiftlink_types::{Refusal, RefusalKind};

use crate::admit::no_server;
use crate::call::Call;
use crate::engine;
use crate::fleet::Target;
use crate::intent::Intent;
use crate::node::Node;
use crate::past::PastRun;
use crate::queue::Slot;
use swiftlink_gateway::upstream::{PendingResponse, SendError, send};

/// When to come back after a deadline that passed before an answer.
const DEADLINE_RETRY: Duration = Duration::from_secs(1);
/// Most of an engine's refusal that is passed on (bytes).
const MAX_EXCERPT: usize = 1_024;

/// The rights and the history of one request's dispatches.
#[derive(Debug, Default)]
pub struct Attempt {
    /// Rights reserved for the run.
    pub rights: Option<Reservation>,
    /// The won intent of a non-idempotent request.
    pub intent: Option<Intent>,
    /// What the router remembers of the run.
    pub past: Option<PastRun>,
    /// Servers that were tried.
    pub tried: Vec<ServerIdx>,
    /// A server may have run the request.
    pub maybe_ran: bool,
}

impl Attempt {
    /// From now on a server may run the request.
    fn dispatch(&mut self) {
        if let Some(rights) = self.rights.as_mut() {
            rights.dispatch();
        }
        if let Some(intent) = self.intent.as_mut() {
            intent.dispatch();
        }
        if let Some(past) = self.past.as_mut() {
            past.dispatch();
        }
    }

    /// The last dispatch certainly did not reach a server.
    fn recall(&mut self) {
        if self.maybe_ran {
            return;
        }
        if let Some(rights) = self.rights.as_mut() {
            rights.recall();
        }
        if let Some(intent) = self.intent.as_mut() {
            intent.recall();
        }
        if let Some(past) = self.past.as_mut() {
            past.recall();
        }
    }

    /// The refusal as it is when a server may have run the request.
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

/// An answer that has begun to come.
#[derive(Debug)]
pub struct ServerResponse {
    /// The answer.
    pub answer: PendingResponse,
    /// The server that gives it.
    pub target: Target,
}

/// Waits for a slot of the call's pool.
///
/// # Errors
/// When no server takes work, or the queue refuses.
pub async fn wait_slot(call: &Call) -> Result<Slot, Refusal> {
    let (open, retry) = call.pool.availability();
    if open == 0 {
        return Err(no_server(&call.pool.name, retry));
    }
    call.pool.queue.acquire(call.arrival()).await
}

/// Sends the request that `make` builds for a server, to one server after another
/// until one answers. `is_model`: an answer other than 200 is no answer.
///
/// # Errors
/// `not-run` only if no server can have seen the request.
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
        // A silent engine is left for another; a run that must not repeat, and a
        // service of any speed, have until the deadline.
        let mut options = node.send_options(left, call.once);
        if is_model && !call.once {
            options.head = left.min(node.read_options().stall);
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
                error @ (SendError::NotSent(_) | SendError::Unreachable | SendError::Withheld(_)),
            ) => {
                attempt.recall();
                let why = error.detail();
                event!(debug, "dispatch.not-sent", server = target.name, why = why);
                if let Some(kind) = error.kind() {
                    target.failed(kind);
                }
            }
            Err(error @ (SendError::Lost(_) | SendError::TimedOut)) => {
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

/// Whether a request that may have run can be sent to another server.
///
/// # Errors
/// The final answer, when it can't.
pub fn may_retry(call: &Call, attempt: &mut Attempt, why: &str) -> Result<(), Refusal> {
    attempt.maybe_ran = true;
    if !call.once && call.pool.retries.take() {
        return Ok(());
    }
    let detail = format!("the backend server's answer was lost: {why}");
    Err(Refusal::unknown(RefusalKind::ServerFailed, detail))
}

/// An engine answered with another status than 200.
async fn failed_status(
    call: &Call,
    attempt: &mut Attempt,
    target: Target,
    answer: PendingResponse,
) -> Result<(), Refusal> {
    let status = answer.response.status();
    let (response, _lease) = answer.split();
    let body = Limited::new(response.into_body(), MAX_EXCERPT)
        .collect()
        .await;
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    let excerpt = String::from_utf8_lossy(&bytes).into_owned();
    if status.is_client_error() && status != StatusCode::TOO_MANY_REQUESTS {
        // The engine read the request and would not run it.
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
