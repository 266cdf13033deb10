//! The log's HTTP interface and fault switches.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Response, StatusCode};
use prost::Message as _;
use serde::{Deserialize, Serialize};
use serde_json::json;
use swiftlink_shell::web::{Body, Incoming};
use tokio::sync::watch;

use super::state::{ReadResult, Streams};
use crate::cli::{self, About, Args};
use crate::fault::{BaseFault, Fault, FaultControl, Switches};
use crate::host::{self, BODY_LIMIT, Host, Standin, json_answer, refuse};

/// Default maximum number of records per page.
const PAGE_RECORDS: usize = 1_000;
/// Maximum wait of a long poll, in ms.
const MAX_WAIT_MS: u64 = 30_000;

/// Fault switches of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFault {
    /// Switches that every stand-in has.
    #[serde(flatten)]
    pub base: BaseFault,
    /// Number of records retained per stream; 0 retains all.
    pub retain: usize,
    /// Duration of each append, in ms; appends run one after the other.
    pub slow_ms: u64,
}

impl Fault for LogFault {
    fn base(&self) -> BaseFault {
        self.base.clone()
    }
}

#[derive(Debug, Default, Serialize)]
struct Counts {
    appends: u64,
    reads: u64,
    /// Appends per second since the start of the process.
    per_second: BTreeMap<u64, u64>,
    /// Appends by `User-Agent`.
    agents: BTreeMap<String, u64>,
}

struct LogServer(Arc<Shared>);

struct Shared {
    streams: Mutex<Streams>,
    counts: Mutex<Counts>,
    switches: Switches<LogFault>,
    changed: watch::Sender<()>,
    writing: tokio::sync::Mutex<()>,
    start: Instant,
}

/// Runs `standin-log`.
#[must_use]
pub fn main() -> ExitCode {
    let about = About {
        name: "standin-log",
        about: "stands in for the platform's log",
        options: |options| {
            options.optopt("", "retain", "records kept per stream, 0 for all", "N");
            options.optopt("", "seed", "seed of the faults' draws", "N");
        },
    };
    cli::run(about, start)
}

async fn start(args: Args) -> anyhow::Result<Host> {
    let fault = LogFault {
        retain: args.get("retain", 0)?,
        ..LogFault::default()
    };
    let shared = Shared {
        streams: Mutex::default(),
        counts: Mutex::default(),
        switches: Switches::new(fault),
        changed: watch::Sender::new(()),
        writing: tokio::sync::Mutex::default(),
        start: Instant::now(),
    };
    args.host(Arc::new(LogServer(Arc::new(shared))), Vec::new())
}

#[async_trait(?Send)]
impl Standin for LogServer {
    fn faults(&self) -> &dyn FaultControl {
        &self.0.switches
    }

    fn on_faults_changed(&self) {
        self.0.streams().trim(self.0.switches.get().retain);
        // Wakes the long polls in flight, which read the switches again.
        self.0.changed.send_replace(());
    }

    async fn control(&self, path: &str, _request: Incoming) -> Response<Body> {
        match path {
            "counts" => {
                let counts = self.0.counts.lock().expect("no holder panics");
                json_answer(StatusCode::OK, &*counts)
            }
            "streams" => json_answer(StatusCode::OK, &self.0.streams().bounds()),
            _ => refuse(StatusCode::NOT_FOUND, "no such control"),
        }
    }

    async fn serve(&self, mut request: Incoming) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let Some(name) = path.strip_prefix("/streams/") else {
            return refuse(StatusCode::NOT_FOUND, "no such path");
        };
        if *request.method() == Method::POST {
            let agent = host::agent_of(&request);
            let Ok(data) = request.body(BODY_LIMIT).await else {
                return refuse(StatusCode::BAD_REQUEST, "the body can't be read");
            };
            let shared = Arc::clone(&self.0);
            let name = name.to_owned();
            // The append runs in its own task, so that it completes even if the client
            // disconnects.
            let append = tokio::spawn(async move { shared.append(&name, data, &agent).await });
            return match append.await {
                Ok(Some(offset)) => json_answer(StatusCode::OK, &json!({ "offset": offset })),
                _ => refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"),
            };
        }
        if *request.method() != Method::GET {
            return refuse(StatusCode::METHOD_NOT_ALLOWED, "use GET or POST");
        }
        self.0.read(name, &request).await
    }
}

impl Shared {
    fn streams(&self) -> std::sync::MutexGuard<'_, Streams> {
        self.streams.lock().expect("no holder panics")
    }

    /// Appends one record and returns its offset; `None` during an outage.
    async fn append(&self, name: &str, data: Bytes, agent: &str) -> Option<u64> {
        let slow_ms = self.switches.get().slow_ms;
        if slow_ms > 0 {
            let _turn = self.writing.lock().await;
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        let fault = self.switches.get();
        if fault.base.outage {
            return None;
        }
        let offset = self.streams().append(name, data, fault.retain);
        self.count(agent);
        self.changed.send_replace(());
        Some(offset)
    }

    async fn read(&self, name: &str, request: &Incoming) -> Response<Body> {
        self.counts.lock().expect("no holder panics").reads += 1;
        let agent = host::agent_of(request);
        let from: u64 = host::query(request, "from", 0);
        let max: usize = host::query(request, "max", PAGE_RECORDS);
        let wait_ms: u64 = host::query(request, "wait_ms", 0);
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            let base = self.switches.get().base;
            if base.outage || base.cut.contains(&agent) {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, "outage");
            }
            let page = match self.streams().read(name, from, max) {
                ReadResult::Trimmed { first } => {
                    return json_answer(StatusCode::GONE, &json!({ "first": first }));
                }
                ReadResult::Page(page) => page,
            };
            let late = tokio::time::Instant::now() >= until;
            if !page.records.is_empty() || late {
                return page_answer(&page.encode_to_vec());
            }
            // After a change and after a timeout alike, the streams are read again.
            drop(tokio::time::timeout_at(until, changed.changed()).await);
        }
    }

    fn count(&self, agent: &str) {
        let second = self.start.elapsed().as_secs();
        let mut counts = self.counts.lock().expect("no holder panics");
        counts.appends += 1;
        *counts.per_second.entry(second).or_default() += 1;
        *counts.agents.entry(agent.to_owned()).or_default() += 1;
    }
}

fn page_answer(data: &[u8]) -> Response<Body> {
    let mut answer = Response::new(Body::full(Bytes::copy_from_slice(data)));
    let kind = http::HeaderValue::from_static("application/x-protobuf");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}
