//! Handler of `GET /v1/watch`: streams events as JSON lines.

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
use super::problem::ApiError;
use super::query;
use crate::journal::Cursor;
use crate::shared_state::SharedState;

/// Maximum number of events per chunk.
const MAX_BATCH_EVENTS: usize = 256;

impl Interface {
    pub(super) fn watch(&self, request: &Incoming) -> Result<Response, ApiError> {
        let query = request.uri().query();
        let kind =
            match query::field(query, "kind") {
                Some(text) => Some(text.parse::<Kind>().map_err(|_error| {
                    ApiError::malformed("kind", &format!("{text:?} is no kind"))
                })?),
                None => None,
            };
        let config = self.config()?;
        let from = query::number(query, "from")?.unwrap_or(config.version);
        let (initial, cursor) = self.start(&config, from)?;
        let watch = Watch {
            state: Arc::clone(&self.state),
            kind,
            cursor,
            heartbeat: self.heartbeat,
        };
        let mut response = Response::new(Body::stream(watch.lines(initial)));
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/x-ndjson"),
        );
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }

    /// Returns the cursor of a watch and the events to send before it.
    ///
    /// A watch from version 0 doesn't need earlier deletions, so it can always start: if the
    /// older events are no longer retained, it starts with the current resources.
    fn start(&self, config: &Config, from: u64) -> Result<(Vec<Event>, Cursor), ApiError> {
        match self.state.seek(from) {
            Ok(cursor) => Ok((Vec::new(), cursor)),
            Err(_gone) if from == 0 => {
                let cursor = self.state.seek(config.version);
                let cursor = cursor.map_err(|gone| ApiError::gone(gone.oldest))?;
                Ok((current_as_events(config), cursor))
            }
            Err(gone) => Err(ApiError::gone(gone.oldest)),
        }
    }
}

/// A watch in progress.
struct Watch {
    state: Arc<SharedState>,
    kind: Option<Kind>,
    cursor: Cursor,
    heartbeat: Duration,
}

impl Watch {
    fn lines(mut self, initial: Vec<Event>) -> impl Stream<Item = Result<Bytes, io::Error>> {
        stream! {
            let mut changes = self.state.subscribe();
            let mut next_heartbeat = Instant::now();
            if let Some(lines) = self.encode(&initial) {
                yield Ok(lines);
            }
            loop {
                changes.mark_unchanged();
                let batch = match self.state.read(&mut self.cursor, MAX_BATCH_EVENTS) {
                    Ok(batch) => batch,
                    Err(_gone) => {
                        yield Ok(end("events were lost between two that were sent"));
                        return;
                    }
                };
                if let Some(lines) = self.encode(&batch.events) {
                    yield Ok(lines);
                }
                let Some(version) = batch.complete_to else {
                    continue;
                };
                if !batch.events.is_empty() || Instant::now() >= next_heartbeat {
                    yield Ok(line(&WatchLine::Heartbeat { heartbeat: version }));
                    next_heartbeat = Instant::now() + self.heartbeat;
                }
                let shutdown = self.state.shutdown().clone();
                tokio::select! {
                    _ = changes.changed() => {}
                    () = tokio::time::sleep_until(next_heartbeat) => {}
                    () = shutdown.cancelled() => return,
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
            lines.extend_from_slice(&line(&WatchLine::Event(to_watch_event(event))));
        }
        (!lines.is_empty()).then(|| Bytes::from(lines))
    }
}

fn to_watch_event(event: &Event) -> WatchEvent {
    let spec = event.spec.as_deref().map(serde_json::from_str);
    WatchEvent {
        version: event.version,
        kind: event.kind.as_str().to_owned(),
        name: event.name.to_string(),
        deleted: event.deleted,
        spec: spec.and_then(Result::ok).unwrap_or(Value::Null),
    }
}

/// Returns the current resources as events, oldest version first.
fn current_as_events(config: &Config) -> Vec<Event> {
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
