//! One attempt of a request at one backend server.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, response};
use http_body_util::Full;
use swiftlink_routing::ErrorKind;
use tokio::time::Instant;

use super::exchange::Exchange;
use crate::dialect::{ForwardMeta, ResponseKind};
use crate::eligibility::Admission;
use crate::fleet::{SelectedServer, Ticket};

use crate::model::Replay;
use crate::outcome::{Execution, Outcome};
use crate::paths::PathWatch;
use crate::traffic::head_bytes;
use crate::upstream::{
    ConnectionKind, Framing, Lease, Recipient, ResponseBody, SendError, SendFailure, SendOptions,
    send_to,
};

/// Maximum time for opening a connection; within a region it takes a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A response that belongs to the request: its head, and the body that is still to be read.
pub(super) struct ServerResponse {
    pub(super) head: response::Parts,
    pub(super) body: ResponseBody,
    /// How the end of the body is marked.
    pub(super) framing: Framing,
    pub(super) lease: Lease,
    /// Watches the path that the rest of the body comes on.
    pub(super) watch: Option<PathWatch>,
    pub(super) ticket: Ticket,
    pub(super) server: SelectedServer,
    /// `Served` or `Failed`.
    pub(super) outcome: Outcome,
}

/// An attempt without a response that ends the request.
pub(super) struct FailedAttempt {
    pub(super) outcome: Outcome,
    /// What happened, for logs.
    pub(super) detail: String,
    /// The connection that the attempt used.
    pub(super) connection: ConnectionKind,
}

impl From<SendFailure> for FailedAttempt {
    fn from(failure: SendFailure) -> Self {
        let outcome = match &failure.error {
            SendError::Withheld(_) | SendError::Expired => Outcome::Withheld,
            SendError::NotSent(_) | SendError::Unreachable => Outcome::NotSent,
            SendError::Lost(_) => Outcome::Lost,
            SendError::TimedOut | SendError::Hung => Outcome::TimedOut,
        };
        Self {
            outcome,
            detail: failure.error.detail().to_owned(),
            connection: failure.connection,
        }
    }
}

/// Sends the request once, and gives up at `until` if the server hasn't responded.
pub(super) async fn attempt(
    exchange: &Exchange,
    server: SelectedServer,
    mut ticket: Ticket,
    resume: Option<u64>,
    until: Instant,
) -> Result<ServerResponse, FailedAttempt> {
    let request = build(exchange, &server, resume);
    let options = SendOptions {
        connect: CONNECT_TIMEOUT,
        response: until.saturating_duration_since(Instant::now()),
        fresh: false,
        may_abort: exchange.route.replay() != Replay::Never,
    };
    let dialer = Arc::clone(&exchange.node.dialer);
    let recipient = Recipient::server(server.destination.clone(), dialer);
    let admission = Admission::new(server.eligibility.clone(), ticket.permit.take());
    let held = Arc::clone(&exchange.node.quarantine).until_held(Arc::clone(&exchange.identity));
    let sent = tokio::select! {
        sent = send_to(admission, recipient, request, options) => sent,
        () = held => {
            return Err(FailedAttempt {
                outcome: Outcome::Quarantined,
                detail: "the request is quarantined".to_owned(),
                connection: ConnectionKind::None,
            });
        }
    };
    let response = match sent {
        Ok(response) => response,
        Err(failure) => {
            if failure.connection == ConnectionKind::Reused
                && failure.error.kind() == Some(ErrorKind::Broken)
            {
                let suspects = exchange.node.dialer.suspects();
                suspects.on_failed(&server.destination);
            }
            if let Some(kind) = failure.error.kind() {
                ticket.fail(kind);
            }
            return Err(failure.into());
        }
    };
    let connection = response.connection;
    let watch = response.watch.clone();
    let (response, mut lease) = response.split();
    let framing = Framing::of(&response);
    let (head, body) = response.into_parts();
    exchange.node.traffic.received(head_bytes(&head.headers));
    let dialect = &exchange.node.dialect;
    if let Some(report) = dialect.load(&head.headers) {
        exchange.pool.on_report(ticket.idx, report);
    }
    if let Some(left) = dialect.warmup(&head.headers) {
        exchange.pool.on_cold(ticket.idx, left);
    }
    let kind = dialect.classify(exchange.meta.id.as_ref(), head.status, &head.headers);
    let outcome = match kind {
        ResponseKind::Shed => Outcome::Shed,
        ResponseKind::Misdirected => Outcome::Misdirected,
        ResponseKind::Mismatched => Outcome::Mismatched,
        ResponseKind::Served => Outcome::Served,
        ResponseKind::Failed => Outcome::Failed,
    };
    if !matches!(outcome, Outcome::Mismatched | Outcome::Misdirected) {
        record_announcement(exchange, &ticket, &server, &head);
        let max = dialect.max_rejections(&head.headers);
        let is_refusal = outcome == Outcome::Shed;
        let pool = &exchange.pool;
        pool.on_max_rejections(ticket.idx, &server, max, is_refusal);
    }
    match outcome {
        Outcome::Mismatched => ticket.fail(ErrorKind::Broken),
        Outcome::Misdirected => ticket.fail(ErrorKind::Misdirected),
        Outcome::Shed => {
            if let Some(keep_alive) = dialect.keep_alive(&head.headers) {
                drain_body(body, &mut lease, keep_alive).await;
            }
            drop(ticket);
        }
        _ => {
            if outcome.execution() == Execution::Yes && !exchange.is_stream() {
                ticket.on_first_event();
            }
            return Ok(ServerResponse {
                head,
                body,
                framing,
                lease,
                watch,
                ticket,
                server,
                outcome,
            });
        }
    }
    Err(FailedAttempt {
        outcome,
        detail: format!("status {}", head.status.as_u16()),
        connection,
    })
}

/// Records what the server announces about itself, which binds all requests sent from here on.
fn record_announcement(
    exchange: &Exchange,
    ticket: &Ticket,
    server: &SelectedServer,
    head: &response::Parts,
) {
    let dialect = &exchange.node.dialect;
    if dialect.is_draining(&head.headers) {
        exchange.pool.on_draining(ticket.idx, server);
    }
    if let Some(time) = dialect.backoff(head.status, &head.headers) {
        exchange.pool.on_backoff(ticket.idx, server, time);
    }
    let notice = dialect.rate_notice(&head.headers);
    exchange.pool.on_rate_notice(ticket.idx, server, notice);
}

/// Reads the short body of a refusal, so that its connection can be reused.
async fn drain_body(body: ResponseBody, lease: &mut Lease, keep_alive: Duration) {
    use http_body_util::{BodyExt, Limited};
    /// Maximum length in bytes of a body that is read to reuse its connection.
    const MAX_BYTES: usize = 4_096;
    /// Maximum time for reading it.
    const TIMEOUT: Duration = Duration::from_millis(20);
    let rest = Limited::new(body, MAX_BYTES).collect();
    if let Ok(Ok(_body)) = tokio::time::timeout(TIMEOUT, rest).await {
        lease.recycle_for(keep_alive);
    }
}

fn build(
    exchange: &Exchange,
    server: &SelectedServer,
    resume: Option<u64>,
) -> Request<Full<Bytes>> {
    let forwarded = &exchange.request;
    let workspace = exchange.workspace.as_deref();
    let meta = ForwardMeta {
        server: &server.instance.name,
        workspace: workspace.map(|workspace| &workspace.name),
        left: exchange.left(),
        priority: Some(exchange.priority()),
        resume,
    };
    let headers = exchange
        .node
        .dialect
        .request_headers(&forwarded.headers, &meta);
    let bytes = head_bytes(&headers) + forwarded.body.len();
    exchange.node.traffic.sent(bytes);
    let mut request = Request::new(Full::new(forwarded.body.clone()));
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = headers;
    request
}
