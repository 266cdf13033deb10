//! Hands a stream of events on as it comes, at another server where the first one
//! broke off.

use bytes::Bytes;
use http_body_util::BodyExt;
use std::io;
use swiftlink_routing::ErrorKind;
use swiftlink_shell::web::{Body, Response};
use swiftlink_telemetry::event;
use tokio::time::timeout_at;

use super::attempt::Reply;
use super::journey::{Journey, Trail};
use crate::node::InFlight;
use crate::proof::Outcome;
use crate::sse::EventCutter;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    Timeout,
}

impl End {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
        }
    }
}

/// The answer to the caller; its body goes on while the server's does.
pub(super) fn stream(journey: Journey, trail: Trail, reply: Reply, guard: InFlight) -> Response {
    let response = head(&journey, &reply);
    response.map(|()| Body::stream(pieces(journey, trail, reply, guard)))
}

/// The head of the caller's answer. Its body goes out in pieces, so its length isn't told.
fn head(journey: &Journey, reply: &Reply) -> http::Response<()> {
    let mut response = http::Response::new(());
    *response.status_mut() = reply.head.status;
    *response.headers_mut() = journey.node.dialect.response_headers(&reply.head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}

/// A long answer that isn't a stream of events: `start` was read, the rest follows.
pub(super) fn long(
    journey: Journey,
    trail: Trail,
    start: Bytes,
    reply: Reply,
    guard: InFlight,
) -> Response {
    let response = head(&journey, &reply);
    let body = async_stream::stream! {
        let _guard = guard;
        let mut reply = reply;
        yield Ok(start);
        let end = loop {
            match timeout_at(journey.deadline, reply.body.frame()).await {
                Err(_elapsed) => break End::Timeout,
                Ok(None) => break End::Whole,
                Ok(Some(Err(_error))) => break End::Broken,
                Ok(Some(Ok(frame))) => {
                    if let Ok(piece) = frame.into_data() {
                        yield Ok(piece);
                    }
                }
            }
        };
        let cutter = EventCutter::new();
        finish(&journey, &trail, &cutter, reply, end);
        if end != End::Whole {
            yield Err(io::Error::other(end.as_str()));
        }
    };
    response.map(|()| Body::stream(body))
}

fn pieces(
    mut journey: Journey,
    mut trail: Trail,
    mut reply: Reply,
    guard: InFlight,
) -> impl futures_util::Stream<Item = Result<Bytes, io::Error>> {
    async_stream::stream! {
        let _guard = guard;
        let mut cutter = EventCutter::new();
        let mut is_first = true;
        let stride = journey.pool.spec().stride.unwrap_or(1);
        loop {
            let end = loop {
                let frame = match timeout_at(journey.deadline, reply.body.frame()).await {
                    Err(_elapsed) => break End::Timeout,
                    Ok(None) => break End::Whole,
                    Ok(Some(Err(_error))) => break End::Broken,
                    Ok(Some(Ok(frame))) => frame,
                };
                let Ok(piece) = frame.into_data() else {
                    continue;
                };
                let Some(events) = cutter.push(&piece) else {
                    continue;
                };
                reply.ticket.first();
                if is_first {
                    is_first = false;
                    journey.node.metrics.first_event(journey.start.elapsed());
                }
                if let Some(spend) = &mut journey.spend {
                    spend.deliver(cutter.events() * stride);
                }
                yield Ok(events);
            };
            if end == End::Broken
                && let Some(next) = go_on(&mut journey, &mut trail, &cutter, &reply).await
            {
                let broken = std::mem::replace(&mut reply, next);
                broken.ticket.fail(ErrorKind::Broken);
                cutter.reset();
                continue;
            }
            finish(&journey, &trail, &cutter, reply, end);
            if end != End::Whole {
                yield Err(io::Error::other(end.as_str()));
                return;
            }
            let rest = cutter.rest();
            if !rest.is_empty() {
                yield Ok(rest);
            }
            return;
        }
    }
}

/// The rest of a broken stream from another server, where the route allows it.
async fn go_on(
    journey: &mut Journey,
    trail: &mut Trail,
    cutter: &EventCutter,
    broken: &Reply,
) -> Option<Reply> {
    if !journey.may_retry(trail, Outcome::Truncated) {
        return None;
    }
    let last = cutter.last().or(journey.ask.resume);
    event!(
        info,
        "request.resumed",
        id = journey.id(),
        broken = broken.server.name,
        after = last.unwrap_or(0),
    );
    let next = journey.dispatch(trail, last).await.ok()?;
    (next.outcome == Outcome::Served).then_some(next)
}

fn finish(journey: &Journey, trail: &Trail, cutter: &EventCutter, reply: Reply, end: End) {
    event!(
        info,
        "request.streamed",
        id = journey.id(),
        route = journey.route.name,
        server = reply.server.name,
        end = end.as_str(),
        events = cutter.events(),
        attempts = trail.sends(),
        charged = journey.spent(),
        config = journey.version,
        ms = journey.start.elapsed().as_millis(),
    );
    journey.is_told.set(true);
    let kind = journey.route.kind.as_str();
    journey
        .node
        .metrics
        .answered(kind, end.as_str(), journey.start.elapsed());
    let Reply {
        head,
        mut lease,
        ticket,
        ..
    } = reply;
    match end {
        End::Whole => {
            if let Some(keep) = journey.keep(&head.headers) {
                lease.recycle_for(keep);
            }
            ticket.end();
        }
        End::Broken => ticket.fail(ErrorKind::Broken),
        End::Timeout => drop(ticket),
    }
}
