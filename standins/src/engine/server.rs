//! The engine's HTTP interface.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use async_trait::async_trait;
use http::{HeaderValue, Method, Response, StatusCode};
use serde_json::{Value, json};
use swiftlink_shell::web::{Body, Incoming};

use super::batch::{Job, Phase, StreamNo};
use super::core::{Engine, EngineFault};
use super::delivery::{Delivery, Faults, Step};
use super::event;
use super::text::{self, Endpoint};
use crate::cli::{self, About, Args};
use crate::fault::FaultControl;
use crate::host::{self, BODY_LIMIT, Host, Standin, json_answer, refuse};

/// Default maximum length of an answer, in tokens.
const MAX_TOKENS: u64 = 1_024;
/// Path prefix of retained streams.
const STREAMS: &str = "/v1/streams/";

/// Runs `standin-engine`.
#[must_use]
pub fn main() -> ExitCode {
    let about = About {
        name: "standin-engine",
        about: "stands in for a streaming model engine",
        options: |options| {
            options.optopt(
                "",
                "slots",
                "maximum number of concurrently running requests",
                "N",
            );
            options.optopt("", "pace-ms", "time per token", "MS");
            options.optopt("", "load-lag-ms", "maximum age of a load report", "MS");
            options.optopt("", "seed", "seed of the faults' draws", "N");
        },
    };
    cli::run(about, start)
}

async fn start(args: Args) -> anyhow::Result<Host> {
    let defaults = EngineFault::default();
    let fault = EngineFault {
        slots: args.get("slots", defaults.slots)?,
        pace_ms: args.get("pace-ms", defaults.pace_ms)?,
        load_lag_ms: args.get("load-lag-ms", defaults.load_lag_ms)?,
        ..defaults
    };
    let engine = Engine::new(fault);
    let tasks = vec![
        tokio::spawn(Arc::clone(&engine).run()),
        tokio::spawn(Arc::clone(&engine).sample()),
    ];
    // Stream ids must be unique across restarts of the engine.
    let server = EngineServer {
        engine,
        prefix: uuid::Uuid::new_v4().simple().to_string(),
    };
    args.host(Arc::new(server), tasks)
}

struct EngineServer {
    engine: Arc<Engine>,
    prefix: String,
}

#[async_trait(?Send)]
impl Standin for EngineServer {
    fn faults(&self) -> &dyn FaultControl {
        &self.engine.switches
    }

    async fn control(&self, path: &str, _request: Incoming) -> Response<Body> {
        match path {
            "runs" => self.runs(),
            _ => refuse(StatusCode::NOT_FOUND, "no such control"),
        }
    }

    async fn serve(&self, request: Incoming) -> Response<Body> {
        let path = request.uri().path().to_owned();
        // Served even while frozen, because tests read it at any time.
        if path == "/runs" {
            return self.runs();
        }
        self.engine.wait_until_thawed().await;
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/v1/chat/completions") => self.complete(Endpoint::Chat, request).await,
            (Method::POST, "/v1/completions") => self.complete(Endpoint::Text, request).await,
            (Method::GET, "/load") => self.load(),
            (Method::GET, path) if path.starts_with(STREAMS) => self.resume(path, &request),
            (Method::DELETE, path) if path.starts_with(STREAMS) => self.cancel(path),
            _ => refuse(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl EngineServer {
    fn runs(&self) -> Response<Body> {
        json_answer(StatusCode::OK, &self.engine.batch().runs())
    }

    fn load(&self) -> Response<Body> {
        let fault = self.engine.switches.get();
        let (load, age) = self.engine.report();
        let slots = fault.slots.max(1) as f64;
        let report = json!({
            "running": load.running,
            "waiting": load.waiting,
            "slots": fault.slots,
            "kv_used": load.running as f64 / slots,
            "draining": fault.draining || fault.told_draining,
            "age_ms": age.as_millis() as u64,
        });
        json_answer(StatusCode::OK, &report)
    }

    async fn complete(&self, endpoint: Endpoint, mut request: Incoming) -> Response<Body> {
        let key = host::header(&request, "x-request-key");
        let priority = host::header(&request, "x-priority");
        let Ok(body) = request.body(BODY_LIMIT).await else {
            return refuse(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        let fault = self.engine.switches.get();
        if fault.draining {
            return host::refuse_draining();
        }
        if fault.fail_fast {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "failed by the switch");
        }
        let job = match parse_job(endpoint, &body, key, &priority) {
            Ok(job) => job,
            Err(field) => return refuse(StatusCode::BAD_REQUEST, field),
        };
        let no = self.engine.submit(endpoint, job);
        let faults = Faults {
            cut_after: fault.cut_after,
            reorder: fault.reorder,
            double: fault.double,
            drop_chunk: fault.drop_chunk,
        };
        self.events(no, endpoint, 0, faults)
    }

    fn resume(&self, path: &str, request: &Incoming) -> Response<Body> {
        let Some(no) = self.parse_stream_id(path) else {
            return refuse(StatusCode::NOT_FOUND, "no such stream");
        };
        let Some(endpoint) = self.engine.endpoint_of(no) else {
            return refuse(StatusCode::NOT_FOUND, "no such stream");
        };
        let fault = self.engine.switches.get();
        let faults = Faults {
            cut_after: fault.cut_after,
            reorder: fault.reorder,
            double: fault.double,
            drop_chunk: None,
        };
        self.events(no, endpoint, host::query(request, "from", 0), faults)
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let done = self
            .parse_stream_id(path)
            .is_some_and(|no| self.engine.cancel(no));
        if !done {
            return refuse(StatusCode::NOT_FOUND, "no such stream, or it has ended");
        }
        json_answer(StatusCode::OK, &json!({ "cancelled": true }))
    }

    fn parse_stream_id(&self, path: &str) -> Option<StreamNo> {
        let id = path.strip_prefix(STREAMS)?;
        let (prefix, no) = id.split_once('-')?;
        if prefix != self.prefix {
            return None;
        }
        no.parse().ok()
    }

    fn events(
        &self,
        no: StreamNo,
        endpoint: Endpoint,
        from: u64,
        faults: Faults,
    ) -> Response<Body> {
        let total = self.engine.batch().stream(no).map(event::event_count);
        let Some(total) = total else {
            return refuse(StatusCode::NOT_FOUND, "no such stream");
        };
        let id = format!("{}-{no}", self.prefix);
        let engine = Arc::clone(&self.engine);
        let stream_id = id.clone();
        let body = async_stream::stream! {
            let mut delivery = Delivery::new(from, total, faults);
            let mut changed = engine.watch();
            loop {
                engine.wait_until_thawed().await;
                changed.mark_unchanged();
                let Some(stream) = engine.batch().stream(no).cloned() else {
                    yield Err(reset_error("the stream was dropped"));
                    return;
                };
                let ended = stream.phase == Phase::Finished;
                let available = if ended { total } else { stream.done };
                match delivery.next(available) {
                    Step::Send(event) => yield Ok(event::encode(&stream_id, endpoint, &stream, event)),
                    Step::End => return,
                    Step::Cut => {
                        yield Err(reset_error("cut by the switch"));
                        return;
                    }
                    Step::Wait if stream.phase == Phase::Cancelled => {
                        yield Err(reset_error("cancelled"));
                        return;
                    }
                    Step::Wait => {
                        if changed.changed().await.is_err() {
                            return;
                        }
                    }
                }
            }
        };
        let mut answer = Response::new(Body::stream(body));
        let headers = answer.headers_mut();
        let kind = HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, kind);
        let id = HeaderValue::from_str(&id).expect("hexadecimal digits and a number");
        headers.insert("x-stream-id", id);
        answer
    }
}

fn reset_error(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, why.to_owned())
}

fn parse_job(
    endpoint: Endpoint,
    body: &[u8],
    key: String,
    priority: &str,
) -> Result<Job, &'static str> {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return Err("the body is no JSON");
    };
    if body.get("stream").and_then(Value::as_bool) != Some(true) {
        return Err("stream: only true is served");
    }
    let max_tokens = body.get("max_tokens").and_then(Value::as_u64);
    let model = body.get("model").and_then(Value::as_str);
    Ok(Job {
        key,
        model: model.unwrap_or_default().to_owned(),
        prompt: text::prompt_of(endpoint, &body)?,
        max_tokens: max_tokens.unwrap_or(MAX_TOKENS),
        priority: priority.parse().unwrap_or(1),
    })
}
