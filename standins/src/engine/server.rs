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
use super::text::{self, Call};
use crate::cli::{self, About, Args};
use crate::fault::Panel;
use crate::host::{self, BODY_LIMIT, Host, Standin, json_answer, refuse};

/// Answer's limit when the request has none (tokens).
const MAX_TOKENS: u64 = 1_024;
/// Path of kept streams.
const STREAMS: &str = "/v1/streams/";

/// Runs `standin-engine`.
#[must_use]
pub fn main() -> ExitCode {
    let about = About {
        name: "standin-engine",
        about: "stands in for a streaming model engine",
        options: |options| {
            options.optopt("", "slots", "requests that run at once", "N");
            options.optopt("", "pace-ms", "time per token", "MS");
            options.optopt("", "load-lag-ms", "age that a load report may have", "MS");
            options.optopt("", "seed", "seed of the faults' draws", "N");
        },
    };
    cli::run(about, start)
}

async fn start(args: Args) -> anyhow::Result<Host> {
    let usual = EngineFault::default();
    let fault = EngineFault {
        slots: args.get("slots", usual.slots)?,
        pace_ms: args.get("pace-ms", usual.pace_ms)?,
        load_lag_ms: args.get("load-lag-ms", usual.load_lag_ms)?,
        ..usual
    };
    let engine = Engine::new(fault);
    let tasks = vec![
        tokio::spawn(Arc::clone(&engine).run()),
        tokio::spawn(Arc::clone(&engine).sample()),
    ];
    // Streams of another start must never be taken for this one's.
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
    fn panel(&self) -> &dyn Panel {
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
        // Not held by a freeze: tests read it at any time.
        if path == "/runs" {
            return self.runs();
        }
        self.engine.thawed().await;
        let method = request.method().clone();
        match (method, path.as_str()) {
            (Method::POST, "/v1/chat/completions") => self.complete(Call::Chat, request).await,
            (Method::POST, "/v1/completions") => self.complete(Call::Text, request).await,
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

    async fn complete(&self, call: Call, mut request: Incoming) -> Response<Body> {
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
        let job = match job_of(call, &body, key, &priority) {
            Ok(job) => job,
            Err(field) => return refuse(StatusCode::BAD_REQUEST, field),
        };
        let no = self.engine.submit(call, job);
        let faults = Faults {
            cut_after: fault.cut_after,
            reorder: fault.reorder,
            double: fault.double,
            drop_chunk: fault.drop_chunk,
        };
        self.events(no, call, 0, faults)
    }

    fn resume(&self, path: &str, request: &Incoming) -> Response<Body> {
        let Some(no) = self.number_of(path) else {
            return refuse(StatusCode::NOT_FOUND, "no such stream");
        };
        let Some(call) = self.engine.call_of(no) else {
            return refuse(StatusCode::NOT_FOUND, "no such stream");
        };
        let fault = self.engine.switches.get();
        let faults = Faults {
            cut_after: fault.cut_after,
            reorder: fault.reorder,
            double: fault.double,
            drop_chunk: None,
        };
        self.events(no, call, host::query(request, "from", 0), faults)
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let done = self
            .number_of(path)
            .is_some_and(|no| self.engine.cancel(no));
        if !done {
            return refuse(StatusCode::NOT_FOUND, "no such stream, or it has ended");
        }
        json_answer(StatusCode::OK, &json!({ "cancelled": true }))
    }

    fn number_of(&self, path: &str) -> Option<StreamNo> {
        let id = path.strip_prefix(STREAMS)?;
        let (prefix, no) = id.split_once('-')?;
        if prefix != self.prefix {
            return None;
        }
        no.parse().ok()
    }

    fn events(&self, no: StreamNo, call: Call, from: u64, faults: Faults) -> Response<Body> {
        let total = self.engine.batch().stream(no).map(event::total_of);
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
                engine.thawed().await;
                changed.mark_unchanged();
                let Some(stream) = engine.batch().stream(no).cloned() else {
                    yield Err(broken("the stream is gone"));
                    return;
                };
                let ended = stream.phase == Phase::Finished;
                let available = if ended { total } else { stream.done };
                match delivery.next(available) {
                    Step::Send(event) => yield Ok(event::encode(&stream_id, call, &stream, event)),
                    Step::End => return,
                    Step::Cut => {
                        yield Err(broken("cut by the switch"));
                        return;
                    }
                    Step::Wait if stream.phase == Phase::Cancelled => {
                        yield Err(broken("cancelled"));
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

fn broken(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, why.to_owned())
}

fn job_of(call: Call, body: &[u8], key: String, priority: &str) -> Result<Job, &'static str> {
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
        prompt: text::prompt_of(call, &body)?,
        max_tokens: max_tokens.unwrap_or(MAX_TOKENS),
        priority: priority.parse().unwrap_or(1),
    })
}
