//! One send of a request to one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use hyper::body::Incoming as Body;
use swiftlink_routing::ErrorKind;
use tokio::time::Instant;

use super::journey::Journey;
use crate::dialect::{Order, Verdict};
use crate::fleet::{SelectedServer, Ticket};
use crate::headroom::head_bytes;
use crate::proof::{Outcome, Ran};
use crate::upstream::{Endpoint, Lease, SendError, SendOptions, send_to};

/// Longest time for a new connection; within a region it takes a millisecond or two.
const CONNECT: Duration = Duration::from_millis(400);

/// The head of an answer that belongs to the request, and what is to come.
pub(super) struct Reply {
    pub(super) head: response::Parts,
    pub(super) body: Body,
    pub(super) lease: Lease,
    pub(super) ticket: Ticket,
    pub(super) server: SelectedServer,
    /// `Served` or `Failed`.
    pub(super) outcome: Outcome,
}

/// Sends the request once. `until`: when to give the server up.
pub(super) async fn attempt(
    journey: &Journey,
    server: SelectedServer,
    mut ticket: Ticket,
    resume: Option<u64>,
    until: Instant,
) -> Result<Reply, Outcome> {
    let request = build(journey, &server, resume);
    let now = Instant::now();
    let options = SendOptions {
        connect: CONNECT.min(until.saturating_duration_since(now)),
        head: until.saturating_duration_since(now),
        fresh: false,
    };
    let endpoint = Endpoint::of(server.address, &server.instance);
    let standing = server.standing.clone();
    let held = Arc::clone(&journey.node.quarantine).until_held(Arc::clone(&journey.origin));
    let sent = tokio::select! {
        sent = send_to(standing, endpoint, request, options) => sent,
        () = held => return Err(Outcome::Cut),
    };
    let answer = match sent {
        Ok(answer) => answer,
        Err(error) => {
            if let Some(kind) = error.kind() {
                ticket.fail(kind);
            }
            return Err(match error {
                SendError::Withheld(_) => Outcome::Withheld,
                SendError::NotSent(_) | SendError::Unreachable => Outcome::NotSent,
                SendError::Lost(_) => Outcome::Lost,
                SendError::Silent => Outcome::Silent,
            });
        }
    };
    let (response, mut lease) = answer.split();
    let (head, body) = response.into_parts();
    journey.node.traffic.relayed(head_bytes(&head.headers));
    let dialect = &journey.node.dialect;
    if let Some(report) = dialect.load(&head.headers) {
        journey.pool.on_report(ticket.idx, report);
    }
    if let Some(left) = dialect.warmup(&head.headers) {
        journey.pool.on_cold(ticket.idx, left);
    }
    let verdict = dialect.verdict(journey.ask.id.as_ref(), head.status, &head.headers);
    let outcome = match verdict {
        Verdict::Shed => Outcome::Shed,
        Verdict::Misdirected => Outcome::Misdirected,
        Verdict::Stray => Outcome::Stray,
        Verdict::Served => Outcome::Served,
        Verdict::Failed => Outcome::Failed,
    };
    if !matches!(outcome, Outcome::Stray | Outcome::Misdirected) {
        hear(journey, &ticket, &server, &head);
    }
    match outcome {
        Outcome::Stray => ticket.fail(ErrorKind::Broken),
        Outcome::Misdirected => ticket.fail(ErrorKind::Misdirected),
        Outcome::Shed => {
            if let Some(keep) = dialect.keep(&head.headers) {
                finish(body, &mut lease, keep).await;
            }
            drop(ticket);
        }
        _ => {
            if outcome.ran() == Ran::Yes && !journey.is_stream() {
                ticket.on_first_event();
            }
            return Ok(Reply {
                head,
                body,
                lease,
                ticket,
                server,
                outcome,
            });
        }
    }
    Err(outcome)
}

/// Takes what the server says of itself: it binds all that is sent from here on.
fn hear(journey: &Journey, ticket: &Ticket, server: &SelectedServer, head: &response::Parts) {
    let dialect = &journey.node.dialect;
    if dialect.is_leaving(&head.headers) {
        journey.pool.on_draining(ticket.idx, server);
    }
    if let Some(time) = dialect.rest(head.status, &head.headers) {
        journey.pool.on_backoff(ticket.idx, server, time);
    }
}

/// Reads the short body of a refusal, so that its connection can be used again.
async fn finish(body: Body, lease: &mut Lease, keep: Duration) {
    use http_body_util::{BodyExt, Limited};
    /// Longest body that is read for the sake of its connection, in bytes.
    const SHORT: usize = 4_096;
    /// Longest wait for it.
    const WAIT: Duration = Duration::from_millis(20);
    let rest = Limited::new(body, SHORT).collect();
    if let Ok(Ok(_body)) = tokio::time::timeout(WAIT, rest).await {
        lease.recycle_for(keep);
    }
}

fn build(journey: &Journey, server: &SelectedServer, resume: Option<u64>) -> Request<Full<Bytes>> {
    let parcel = &journey.parcel;
    let workspace = journey.workspace.as_deref();
    let priority = workspace.and_then(|workspace| workspace.priority);
    let order = Order {
        server: &server.instance.name,
        workspace: workspace.map(|workspace| &workspace.name),
        left: journey.left(),
        priority: Some(priority.unwrap_or(journey.route.priority)),
        resume,
    };
    let headers = journey
        .node
        .dialect
        .request_headers(&parcel.headers, &order);
    let bytes = head_bytes(&headers) + parcel.body.len();
    journey.node.traffic.sent(bytes);
    let mut request = Request::new(Full::new(parcel.body.clone()));
    *request.method_mut() = parcel.method.clone();
    *request.uri_mut() = parcel.uri.clone();
    *request.headers_mut() = headers;
    request
}
