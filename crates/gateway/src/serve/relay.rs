//! Hands a stream of events on as it comes, at another server where the first one
//! broke off.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use swiftlink_routing::{ErrorKind, Flow};
use swiftlink_shell::web::{Body, Response};
use swiftlink_telemetry::event;
use swiftlink_types::Micros;
use tokio::time::{Instant, timeout_at};

use super::attempt::Reply;
use super::journey::{Journey, Trail};
use crate::node::InFlight;
use crate::proof::Outcome;
use crate::sse::EventCutter;

/// A request that ends servers does so when they begin to run it. One whose events come for so
/// long isn't the cause of an end.
const LONG_RUN: Duration = Duration::from_secs(1);

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    Broken,
    Timeout,
    /// The request is held from now on, and the server's answer was cut.
    Cut,
}

impl End {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Cut => "cut",
        }
    }
}

/// How a stream kept its caller waiting.
#[derive(Debug, Default)]
struct Pauses {
    /// Time to the first event.
    first: Duration,
    /// Longest time between two events.
    longest: Duration,
    /// All times between events together, and how many there were.
    sum: Duration,
    count: u32,
    /// Those that the server's speed wasn't taken from yet.
    fresh: Vec<Duration>,
    /// How many it is next taken from.
    due: usize,
    /// When the last event came.
    last: Option<Instant>,
}

/// Pauses of a stream from which its server's speed is taken first: soon, since a router
/// that starts knows nothing.
const FIRST_PAUSES: usize = 8;
/// The same later on.
const MORE_PAUSES: usize = 32;

impl Pauses {
    /// Notes events of a request that began at `start`; says whether they are the first.
    fn on_event(&mut self, start: Instant, now: Instant) -> bool {
        let before = self.last.replace(now);
        let Some(before) = before else {
            self.first = now - start;
            return true;
        };
        let pause = now - before;
        self.longest = self.longest.max(pause);
        self.sum += pause;
        self.count += 1;
        self.fresh.push(pause);
        false
    }

    /// What the last ones say of the server, once they are enough.
    fn flow(&mut self) -> Option<Flow> {
        if self.fresh.len() < self.due.max(FIRST_PAUSES) {
            return None;
        }
        let longest = self.fresh.iter().max().copied().unwrap_or_default();
        let quick = self.fresh.len() / 8;
        let (_, gap, _) = self.fresh.select_nth_unstable(quick);
        let flow = Flow {
            gap: gap.as_micros() as Micros,
            longest: longest.as_micros() as Micros,
        };
        self.fresh.clear();
        self.due = MORE_PAUSES;
        Some(flow)
    }

    /// The stream goes on at another server.
    fn turn(&mut self) {
        self.fresh.clear();
        self.due = 0;
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
        journey.node.traffic.relayed(start.len());
        yield Ok(start);
        let end = loop {
            match timeout_at(journey.deadline, reply.body.frame()).await {
                Err(_elapsed) => break End::Timeout,
                Ok(None) => break End::Whole,
                Ok(Some(Err(_error))) => break End::Broken,
                Ok(Some(Ok(frame))) => {
                    if let Ok(piece) = frame.into_data() {
                        journey.node.traffic.relayed(piece.len());
                        yield Ok(piece);
                    }
                }
            }
        };
        match end {
            End::Broken => journey.node.quarantine.on_broken_attempt(&reply.server, &journey.origin),
            End::Whole => journey.node.quarantine.on_completed(&journey.origin),
            End::Timeout | End::Cut => {}
        }
        let cutter = EventCutter::new();
        finish(&journey, &trail, &cutter, &Pauses::default(), reply, end);
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
        let mut pauses = Pauses::default();
        let stride = journey.pool.spec().max_event_tokens.unwrap_or(1);
        let quarantine = Arc::clone(&journey.node.quarantine);
        let held = Arc::clone(&quarantine).until_held(Arc::clone(&journey.origin));
        tokio::pin!(held);
        loop {
            // When the first event of this server came.
            let mut began: Option<Instant> = None;
            let end = loop {
                let frame = tokio::select! {
                    frame = timeout_at(journey.deadline, reply.body.frame()) => frame,
                    () = &mut held, if began.is_none() => break End::Cut,
                };
                let frame = match frame {
                    Err(_elapsed) => break End::Timeout,
                    Ok(None) => break End::Whole,
                    Ok(Some(Err(_error))) => break End::Broken,
                    Ok(Some(Ok(frame))) => frame,
                };
                let Ok(piece) = frame.into_data() else {
                    continue;
                };
                journey.node.traffic.relayed(piece.len());
                let Some(events) = cutter.push(&piece) else {
                    continue;
                };
                reply.ticket.on_first_event();
                began.get_or_insert_with(Instant::now);
                if pauses.on_event(journey.start, Instant::now()) {
                    journey.node.metrics.first_event(journey.start.elapsed());
                }
                if let Some(flow) = pauses.flow() {
                    reply.ticket.on_stream_gaps(flow);
                }
                if let Some(spend) = &mut journey.spend {
                    spend.deliver(cutter.events() * stride);
                }
                yield Ok(events);
            };
            match end {
                End::Broken if !runs_well(began) => {
                    quarantine.on_broken_attempt(&reply.server, &journey.origin);
                }
                End::Whole => quarantine.on_completed(&journey.origin),
                End::Broken | End::Timeout | End::Cut => {}
            }
            if end == End::Broken
                && let Some(next) = go_on(&mut journey, &mut trail, &cutter, &reply).await
            {
                let broken = std::mem::replace(&mut reply, next);
                broken.ticket.fail(ErrorKind::Broken);
                cutter.reset();
                pauses.turn();
                continue;
            }
            finish(&journey, &trail, &cutter, &pauses, reply, end);
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

/// Whether a server has worked on a request for so long that it won't end under it.
fn runs_well(began: Option<Instant>) -> bool {
    began.is_some_and(|at| at.elapsed() >= LONG_RUN)
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
        broken = broken.server.instance.name,
        print = journey.origin.print(),
        after = last.unwrap_or(0),
    );
    let next = journey.dispatch(trail, last).await.ok()?;
    (next.outcome == Outcome::Served).then_some(next)
}

fn finish(
    journey: &Journey,
    trail: &Trail,
    cutter: &EventCutter,
    pauses: &Pauses,
    reply: Reply,
    end: End,
) {
    event!(
        info,
        "request.streamed",
        id = journey.id(),
        route = journey.route.name,
        workspace = journey.workspace(),
        server = reply.server.instance.name,
        end = end.as_str(),
        events = cutter.events(),
        prompt = journey.ask.usage.map_or(0, |usage| usage.prompt),
        first_ms = pauses.first.as_millis(),
        pause_ms = pauses.longest.as_millis(),
        attempts = trail.sends(),
        print = journey.shown_print(end == End::Broken),
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
    if pauses.count > 0 {
        ticket.on_mean_gap(pauses.sum / pauses.count);
    }
    match end {
        End::Whole => {
            if let Some(keep) = journey.keep(&head.headers) {
                lease.recycle_for(keep);
            }
            ticket.complete();
        }
        End::Broken => ticket.fail(ErrorKind::Broken),
        End::Timeout => ticket.time_out(),
        End::Cut => drop(ticket),
    }
}
