//! Buffers responses that aren't streams, so that one that breaks off can be replaced.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use swiftlink_routing::ErrorKind;
use swiftlink_shell::web::{Body, Response};
use swiftlink_telemetry::event;
use tokio::time::timeout_at;

use super::attempt::ServerResponse;
use super::attempts::Attempts;
use super::body_end::BodyEnd;
use super::exchange::Exchange;
use super::refusal::Refusal;
use crate::fleet::SelectedServer;
use crate::outcome::Outcome;
use crate::paths::PathWatch;
use crate::upstream::{Framing, ResponseBody};

/// Maximum length in bytes of a response that is buffered before it is relayed. One that breaks
/// off can then be replaced by the response of another server or by an error.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// What to do with a response that wasn't buffered completely.
pub(super) enum NextStep {
    /// Send the request again.
    Retry,
    /// Return a response of the router itself.
    Refuse(Refusal),
    /// Relay a long response: the start is buffered, the rest is passed on as it arrives.
    Relay(Bytes, Box<ServerResponse>),
}

/// The body of a response that isn't a stream, as far as it was read.
enum BufferedBody {
    Complete(Bytes, BodyEnd),
    Partial { start: Bytes, rest: ResponseBody },
}

/// Why a body is incomplete.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    #[error("the connection was closed, and the server has ended")]
    ServerEnded,
}

impl Exchange {
    /// Buffers a response that isn't a stream and makes the caller's response of it.
    pub(super) async fn buffer(
        &mut self,
        attempts: &mut Attempts,
        response: ServerResponse,
    ) -> Result<Response, NextStep> {
        let ServerResponse {
            head,
            body,
            framing,
            mut lease,
            watch,
            ticket,
            server,
            outcome,
        } = response;
        if outcome == Outcome::Failed && self.may_retry(attempts, outcome) {
            event!(
                info,
                "request.failed",
                id = self.id(),
                server = server.instance.name,
                status = head.status.as_u16(),
                next = "another server",
            );
            ticket.fail(ErrorKind::Status);
            return Err(NextStep::Retry);
        }
        let read = self.read_body(body, framing, &server, watch.as_ref());
        let read = timeout_at(self.deadline, read).await;
        let (body, end) = match read {
            Ok(Ok(BufferedBody::Complete(body, end))) => {
                self.node.traffic.received(body.len());
                (body, end)
            }
            Ok(Ok(BufferedBody::Partial { start, rest })) => {
                let response = ServerResponse {
                    head,
                    body: rest,
                    framing,
                    lease,
                    watch,
                    ticket,
                    server,
                    outcome,
                };
                return Err(NextStep::Relay(start, Box::new(response)));
            }
            Ok(Err(error)) => {
                event!(
                    info,
                    "request.truncated",
                    id = self.id(),
                    server = server.instance.name,
                    print = self.identity.fingerprint(),
                    error = error,
                );
                ticket.fail(ErrorKind::Broken);
                self.node
                    .quarantine
                    .on_broken_attempt(&server, &self.identity);
                if self.may_retry(attempts, Outcome::Truncated) {
                    return Err(NextStep::Retry);
                }
                return Err(NextStep::Refuse(Refusal::Lost));
            }
            Err(_elapsed) => return Err(NextStep::Refuse(Refusal::Timeout)),
        };
        if let Some(keep_alive) = self.keep_alive(&head.headers) {
            lease.recycle_for(keep_alive);
        }
        match outcome {
            Outcome::Failed => ticket.fail(ErrorKind::Status),
            _ => {
                self.deliver_all();
                if end == BodyEnd::Complete {
                    ticket.complete();
                    self.node.quarantine.on_completed(&self.identity);
                }
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
            framing = framing.as_str(),
            attempts = attempts.count(),
            config = self.version,
            ms = self.start.elapsed().as_millis(),
        );
        self.is_logged.set(true);
        let kind = self.route.kind.as_str();
        self.node
            .metrics
            .answered(kind, outcome.as_str(), self.start.elapsed());
        let mut response = Response::new(Body::full(body));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.node.dialect.response_headers(&head.headers);
        Ok(response)
    }

    /// Reads the body of a response of `server` that isn't a stream, or the start of a long one.
    async fn read_body(
        &self,
        mut body: ResponseBody,
        framing: Framing,
        server: &SelectedServer,
        watch: Option<&PathWatch>,
    ) -> Result<BufferedBody, BodyError> {
        let start = buffer_body(&mut body).await?.freeze();
        if start.len() > MAX_BUFFERED_BYTES {
            return Ok(BufferedBody::Partial { start, rest: body });
        }
        match self.check_end_of(framing, server, watch).await {
            BodyEnd::Truncated => Err(BodyError::ServerEnded),
            end => Ok(BufferedBody::Complete(start, end)),
        }
    }
}

/// Reads a body up to [`MAX_BUFFERED_BYTES`].
async fn buffer_body(body: &mut ResponseBody) -> Result<BytesMut, hyper::Error> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(chunk) = frame?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&chunk);
        if buffer.len() > MAX_BUFFERED_BYTES {
            break;
        }
    }
    Ok(buffer)
}
