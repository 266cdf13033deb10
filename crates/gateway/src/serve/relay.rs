//! Relays response bodies as they arrive. Where the route allows it, an event stream that breaks
//! off is resumed at another server.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use swiftlink_routing::{ErrorKind, StreamGaps};
use swiftlink_shell::web::{Body, Response};
use swiftlink_telemetry::event;
use swiftlink_types::Micros;
use tokio::time::{Instant, timeout_at};

use super::attempt::ServerResponse;
use super::attempts::Attempts;
use super::body_end::BodyEnd;
use super::exchange::Exchange;
use crate::model::Replay;
use crate::node::InFlight;
use crate::outcome::Outcome;
use crate::sse::EventSplitter;
use crate::upstream::{Framing, until_hung};

/// A query of death crashes its server when the server begins to run it. A request whose events
/// have arrived for this long isn't the cause of a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Maximum length of an event, which is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// How the relaying of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    /// The connection was closed, and the server may have ended.
    Closed,
    Broken,
    Timeout,
    /// The path to the server is cut, and the connection hangs.
    Hung,
    /// The request was quarantined, and the server's response was aborted.
    Quarantined,
    /// The server was to go on after an event, and sent it or an earlier one.
    Misordered,
}

impl StreamEnd {
    /// Whether the caller's response ends as a complete one.
    fn is_complete(self) -> bool {
        matches!(self, Self::Complete | Self::Closed)
    }

    /// Whether another server may go on with the stream.
    fn may_resume(self) -> bool {
        match self {
            Self::Broken | Self::Hung | Self::Closed | Self::Misordered => true,
            Self::Complete | Self::Timeout | Self::Quarantined => false,
        }
    }

    /// Name in logs and metrics; some are older terms that operators' tools match.
    fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Closed => "closed",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Hung => "hung",
            Self::Quarantined => "cut",
            Self::Misordered => "misordered",
        }
    }
}

impl From<BodyEnd> for StreamEnd {
    fn from(end: BodyEnd) -> Self {
        match end {
            BodyEnd::Complete => Self::Complete,
            BodyEnd::Unknown => Self::Closed,
            BodyEnd::Truncated => Self::Broken,
        }
    }
}

/// Times between the events of a stream.
#[derive(Debug, Default)]
struct EventGaps {
    /// Time to the first event.
    first: Duration,
    /// Longest gap between two events.
    longest: Duration,
    /// Sum of all gaps, and their number.
    sum: Duration,
    count: u32,
    /// Gaps since the last sample of the server's speed.
    unsampled: Vec<Duration>,
    /// Number of gaps that the next sample needs.
    sample_size: usize,
    /// When the last event arrived.
    last: Option<Instant>,
}

/// Number of gaps in the first sample of a server's speed in a stream. It is small, since a router
/// that has just started knows nothing of its servers.
const FIRST_SAMPLE: usize = 8;
/// Number of gaps in each later sample.
const LATER_SAMPLE: usize = 32;

impl EventGaps {
    /// Records the arrival of events of a request that began at `start`. Returns whether they are
    /// the first.
    fn on_event(&mut self, start: Instant, now: Instant) -> bool {
        let last = self.last.replace(now);
        let Some(last) = last else {
            self.first = now - start;
            return true;
        };
        let gap = now - last;
        self.longest = self.longest.max(gap);
        self.sum += gap;
        self.count += 1;
        self.unsampled.push(gap);
        false
    }

    /// Samples the server's speed once there are enough gaps.
    fn sample(&mut self) -> Option<StreamGaps> {
        if self.unsampled.len() < self.sample_size.max(FIRST_SAMPLE) {
            return None;
        }
        let longest = self.unsampled.iter().max().copied().unwrap_or_default();
        let index = self.unsampled.len() / 8;
        let (_, gap, _) = self.unsampled.select_nth_unstable(index);
        let sample = StreamGaps {
            gap: gap.as_micros() as Micros,
            longest: longest.as_micros() as Micros,
        };
        self.unsampled.clear();
        self.sample_size = LATER_SAMPLE;
        Some(sample)
    }

    /// Discards the gaps of the last server: another one resumes the stream.
    fn switch_server(&mut self) {
        self.unsampled.clear();
        self.sample_size = 0;
    }
}

/// Relays a stream of events. The response ends when the server's does, or that of the last server
/// that resumed the stream.
pub(super) fn stream(
    exchange: Exchange,
    attempts: Attempts,
    response: ServerResponse,
    guard: InFlight,
) -> Response {
    let head = response_head(&exchange, &response);
    let deadline = exchange.deadline;
    head.map(|()| Body::stream(events(exchange, attempts, response, guard)).until(deadline))
}

/// The head of the caller's response, without a length, since the body is sent in chunks.
fn response_head(exchange: &Exchange, response: &ServerResponse) -> http::Response<()> {
    let mut head = http::Response::new(());
    *head.status_mut() = response.head.status;
    *head.headers_mut() = exchange
        .node
        .dialect
        .response_headers(&response.head.headers);
    head.headers_mut().remove(http::header::CONTENT_LENGTH);
    head
}

/// Relays a long response that isn't a stream of events: `start` is buffered, the rest follows.
pub(super) fn long_body(
    exchange: Exchange,
    attempts: Attempts,
    start: Bytes,
    response: ServerResponse,
    guard: InFlight,
) -> Response {
    let head = response_head(&exchange, &response);
    let deadline = exchange.deadline;
    let body = async_stream::stream! {
        let _guard = guard;
        let mut response = response;
        exchange.node.traffic.received(start.len());
        yield Ok(start);
        let end = loop {
            match timeout_at(exchange.deadline, response.body.frame()).await {
                Err(_elapsed) => break StreamEnd::Timeout,
                Ok(None) => break exchange.check_end(&response).await.into(),
                Ok(Some(Err(_error))) => break StreamEnd::Broken,
                Ok(Some(Ok(frame))) => {
                    if let Ok(chunk) = frame.into_data() {
                        exchange.node.traffic.received(chunk.len());
                        yield Ok(chunk);
                    }
                }
            }
        };
        match end {
            StreamEnd::Broken => exchange
                .node
                .quarantine
                .on_broken_attempt(&response.server, &exchange.identity),
            StreamEnd::Complete => exchange.node.quarantine.on_completed(&exchange.identity),
            StreamEnd::Closed
            | StreamEnd::Timeout
            | StreamEnd::Hung
            | StreamEnd::Quarantined
            | StreamEnd::Misordered => {}
        }
        let splitter = EventSplitter::new();
        finish(&exchange, &attempts, &splitter, &EventGaps::default(), response, end);
        if !end.is_complete() {
            yield Err(io::Error::other(end.as_str()));
        }
    };
    head.map(|()| Body::stream(body).until(deadline))
}

fn events(
    mut exchange: Exchange,
    mut attempts: Attempts,
    mut response: ServerResponse,
    guard: InFlight,
) -> impl futures_util::Stream<Item = Result<Bytes, io::Error>> {
    async_stream::stream! {
        let _guard = guard;
        let mut splitter = EventSplitter::new();
        let mut gaps = EventGaps::default();
        let max_event_tokens = exchange.pool.spec().max_event_tokens.unwrap_or(1);
        let quarantine = Arc::clone(&exchange.node.quarantine);
        let held = Arc::clone(&quarantine).until_held(Arc::clone(&exchange.identity));
        tokio::pin!(held);
        let may_resume = exchange.route.replay() != Replay::Never;
        splitter.expect_after(exchange.meta.resume.filter(|_| may_resume));
        loop {
            // When the first event of this server arrived.
            let mut first_event: Option<Instant> = None;
            // Whether the server has run the request for so long that it won't crash it.
            let mut is_harmless = false;
            let watch = response.watch.clone();
            let hung = until_hung(watch.as_ref(), may_resume);
            tokio::pin!(hung);
            let end = loop {
                let frame = tokio::select! {
                    frame = timeout_at(exchange.deadline, response.body.frame()) => frame,
                    () = &mut held, if first_event.is_none() => break StreamEnd::Quarantined,
                    () = &mut hung => break StreamEnd::Hung,
                };
                let frame = match frame {
                    Err(_elapsed) => break StreamEnd::Timeout,
                    Ok(None) if splitter.is_inside_event() => break StreamEnd::Broken,
                    Ok(None) if is_missing(&exchange, &gaps, &response) => break StreamEnd::Broken,
                    Ok(None) => break exchange.check_end(&response).await.into(),
                    Ok(Some(Err(_error))) => break StreamEnd::Broken,
                    Ok(Some(Ok(frame))) => frame,
                };
                let Ok(chunk) = frame.into_data() else {
                    continue;
                };
                exchange.node.traffic.received(chunk.len());
                if let Some(watch) = &watch {
                    watch.on_heard();
                }
                let Some(events) = splitter.push(&chunk) else {
                    if splitter.has_gone_back() {
                        break StreamEnd::Misordered;
                    }
                    if splitter.partial_len() > MAX_EVENT_BYTES {
                        break StreamEnd::Broken;
                    }
                    continue;
                };
                response.ticket.on_first_event();
                first_event.get_or_insert_with(Instant::now);
                if !is_harmless && outlived_crash_window(first_event) {
                    is_harmless = true;
                    quarantine.on_completed(&exchange.identity);
                }
                if gaps.on_event(exchange.start, Instant::now()) {
                    exchange.on_begun(&response.server).await;
                    exchange.node.metrics.first_event(exchange.start.elapsed());
                }
                if let Some(sent) = attempts.sent.take() {
                    sent.on_first_event();
                }
                if let Some(sample) = gaps.sample() {
                    response.ticket.on_stream_gaps(sample);
                }
                if let Some(reservation) = exchange.quota.reservation() {
                    reservation.deliver(splitter.events() * max_event_tokens);
                }
                yield Ok(events);
            };
            match end {
                StreamEnd::Broken if !outlived_crash_window(first_event) => {
                    quarantine.on_broken_attempt(&response.server, &exchange.identity);
                }
                StreamEnd::Complete => quarantine.on_completed(&exchange.identity),
                StreamEnd::Closed
                | StreamEnd::Broken
                | StreamEnd::Timeout
                | StreamEnd::Hung
                | StreamEnd::Quarantined
                | StreamEnd::Misordered => {}
            }
            // What may be complete or not goes on elsewhere too, from its last event.
            if end.may_resume()
                && let Some(next) = resume(&mut exchange, &mut attempts, &splitter, &response).await
            {
                let broken = std::mem::replace(&mut response, next);
                if end == StreamEnd::Broken {
                    broken.ticket.fail(ErrorKind::Broken);
                }
                splitter.reset();
                splitter.expect_after(last_id(&exchange, &splitter));
                gaps.switch_server();
                continue;
            }
            finish(&exchange, &attempts, &splitter, &gaps, response, end);
            if !end.is_complete() {
                yield Err(io::Error::other(end.as_str()));
                return;
            }
            let rest = splitter.take_rest();
            if !rest.is_empty() {
                yield Ok(rest);
            }
            return;
        }
    }
}

/// Whether a response ended without any event and without a sign that this is all of it. Only a
/// stream that its caller resumes may have no event left.
fn is_missing(exchange: &Exchange, gaps: &EventGaps, response: &ServerResponse) -> bool {
    response.framing == Framing::Close && gaps.last.is_none() && exchange.meta.resume.is_none()
}

/// Whether a server has run a request for so long that the request isn't a query of death.
fn outlived_crash_window(first_event: Option<Instant>) -> bool {
    first_event.is_some_and(|at| at.elapsed() >= CRASH_WINDOW)
}

/// Resumes a broken stream at another server, if the route allows it.
async fn resume(
    exchange: &mut Exchange,
    attempts: &mut Attempts,
    splitter: &EventSplitter,
    broken: &ServerResponse,
) -> Option<ServerResponse> {
    if splitter.has_passed_id() && exchange.route.replay() != Replay::Never {
        event!(
            info,
            "request.not_resumable",
            id = exchange.id(),
            broken = broken.server.instance.name,
            after = splitter.last_id().unwrap_or(0),
        );
        return None;
    }
    if !exchange.may_retry(attempts, Outcome::Truncated) {
        return None;
    }
    let last = last_id(exchange, splitter);
    event!(
        info,
        "request.resumed",
        id = exchange.id(),
        broken = broken.server.instance.name,
        version = broken.server.version,
        print = exchange.identity.fingerprint(),
        after = last.unwrap_or(0),
    );
    let next = exchange.dispatch(attempts, last).await.ok()?;
    (next.outcome == Outcome::Served).then_some(next)
}

/// Id of the last event that the caller has.
fn last_id(exchange: &Exchange, splitter: &EventSplitter) -> Option<u64> {
    splitter.last_id().or(exchange.meta.resume)
}

fn finish(
    exchange: &Exchange,
    attempts: &Attempts,
    splitter: &EventSplitter,
    gaps: &EventGaps,
    response: ServerResponse,
    end: StreamEnd,
) {
    event!(
        info,
        "request.streamed",
        id = exchange.id(),
        route = exchange.route.name,
        workspace = exchange.workspace(),
        server = response.server.instance.name,
        version = response.server.version,
        resumes = exchange.meta.resumes(),
        end = end.as_str(),
        framing = response.framing.as_str(),
        events = splitter.events(),
        partial = splitter.partial_len(),
        prompt = exchange.meta.usage.map_or(0, |usage| usage.prompt),
        first_ms = gaps.first.as_millis(),
        pause_ms = gaps.longest.as_millis(),
        attempts = attempts.count(),
        print = exchange.logged_fingerprint(end == StreamEnd::Broken),
        parts = exchange.logged_parts(end == StreamEnd::Broken),
        charged = exchange.spent(),
        config = exchange.version,
        ms = exchange.start.elapsed().as_millis(),
    );
    exchange.is_logged.set(true);
    let kind = exchange.route.kind.as_str();
    exchange
        .node
        .metrics
        .answered(kind, end.as_str(), exchange.start.elapsed());
    let ServerResponse {
        head,
        mut lease,
        ticket,
        ..
    } = response;
    if gaps.count > 0 {
        ticket.on_mean_gap(gaps.sum / gaps.count);
    }
    match end {
        StreamEnd::Complete => {
            if let Some(keep_alive) = exchange.keep_alive(&head.headers) {
                lease.recycle_for(keep_alive);
            }
            ticket.complete();
        }
        StreamEnd::Closed => drop(ticket),
        StreamEnd::Broken => ticket.fail(ErrorKind::Broken),
        StreamEnd::Timeout => ticket.time_out(),
        StreamEnd::Hung | StreamEnd::Quarantined | StreamEnd::Misordered => drop(ticket),
    }
}
