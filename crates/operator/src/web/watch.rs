//! `GET /v1/watch`: events as lines of JSON.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use futures_util::Stream;
use http::HeaderValue;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use serde_json::Value;
use swiftlink_client::api::{WatchEvent, WatchLine};
use swiftlink_resource::{Config, Event, Kind};
use swiftlink_shell::web::{Body, Incoming, Response};
use tokio::time::Instant;

use super::Interface;
use super::problem::Fault;
use super::query;
use crate::board::Board;
use crate::journal::Cursor;

/// Events sent at a time.
const BATCH: usize = 256;

impl Interface {
    pub(super) fn watch(&self, request: &Incoming) -> Result<Response, Fault> {
        let query = request.uri().query();
        let kind = match query::field(query, "kind") {
            Some(text) => Some(
                text.parse::<Kind>()
                    .map_err(|_error| Fault::malformed("kind", &format!("{text:?} is no kind")))?,
            ),
            None => None,
        };
        let config = self.config()?;
        let from = query::number(query, "from")?.unwrap_or(config.version);
        let (state, cursor) = self.begin(&config, from)?;
        let watch = Watch {
            board: Arc::clone(&self.board),
            kind,
            cursor,
            heartbeat: self.heartbeat,
        };
        let mut response = Response::new(Body::stream(watch.lines(state)));
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/x-ndjson"),
        );
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }

    /// Where a watch begins, and the events to send before that.
    ///
    /// A watch from 0 needs no deletions of before, so that it can always begin:
    /// with the resources in force when older events are no longer kept.
    fn begin(&self, config: &Config, from: u64) -> Result<(Vec<Event>, Cursor), Fault> {
        match self.board.seek(from) {
            Ok(cursor) => Ok((Vec::new(), cursor)),
            Err(_gone) if from == 0 => {
                let cursor = self.board.seek(config.version);
                let cursor = cursor.map_err(|gone| Fault::gone(gone.oldest))?;
                Ok((state_events(config), cursor))
            }
            Err(gone) => Err(Fault::gone(gone.oldest)),
        }
    }
}

struct Watch {
    board: Arc<Board>,
    kind: Option<Kind>,
    cursor: Cursor,
    heartbeat: Duration,
}

impl Watch {
    fn lines(mut self, state: Vec<Event>) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream! {
            let mut pulse = self.board.pulse();
            let mut beat = Instant::now();
            if let Some(lines) = self.encode(&state) {
                yield Ok(lines);
            }
            loop {
                pulse.mark_unchanged();
                let batch = match self.board.read(&mut self.cursor, BATCH) {
                    Ok(batch) => batch,
                    Err(_gone) => {
                        yield Ok(end("events were lost between two that were sent"));
                        return;
                    }
                };
                if let Some(lines) = self.encode(&batch.events) {
                    yield Ok(lines);
                }
                let Some(version) = batch.whole else {
                    continue;
                };
                if !batch.events.is_empty() || Instant::now() >= beat {
                    yield Ok(line(&WatchLine::Heartbeat { heartbeat: version }));
                    beat = Instant::now() + self.heartbeat;
                }
                let closing = self.board.closing().clone();
                tokio::select! {
                    _ = pulse.changed() => {}
                    () = tokio::time::sleep_until(beat) => {}
                    () = closing.cancelled() => return,
                }
            }
        }
    }

    fn encode(&self, events: &[Event]) -> Option<Bytes> {
        let mut lines = Vec::new();
        for event in events {
            if self.kind.is_some_and(|kind| kind != event.kind) {
                continue;
            }
            lines.extend_from_slice(&line(&WatchLine::Event(shown(event))));
        }
        (!lines.is_empty()).then(|| Bytes::from(lines))
    }
}

fn shown(event: &Event) -> WatchEvent {
    let spec = event.spec.as_deref().map(serde_json::from_str);
    WatchEvent {
        version: event.version,
        kind: event.kind.as_str().to_owned(),
        name: event.name.to_string(),
        deleted: event.deleted,
        spec: spec.and_then(Result::ok).unwrap_or(Value::Null),
    }
}

/// The resources in force as events, oldest version first.
fn state_events(config: &Config) -> Vec<Event> {
    let mut events = Vec::new();
    for kind in Kind::ALL {
        for (name, resource) in config.list(kind) {
            events.push(Event {
                version: resource.version,
                kind,
                name: Arc::clone(name),
                deleted: false,
                spec: Some(Arc::clone(&resource.json)),
            });
        }
    }
    events.sort_by_key(|event| event.version);
    events
}

fn end(why: &str) -> Bytes {
    line(&WatchLine::End {
        end: why.to_owned(),
    })
}

fn line(line: &WatchLine) -> Bytes {
    let mut text = serde_json::to_vec(line).expect("a watch line is plain data");
    text.push(b'\n');
    Bytes::from(text)
}
