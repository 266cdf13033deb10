//! The service's HTTP interface and fault switches.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use swiftlink_shell::web::{Body, Incoming};

use crate::cli::{self, About, Args};
use crate::engine::Run;
use crate::fault::{BaseFault, Fault, FaultControl, Switches};
use crate::host::{self, BODY_LIMIT, Host, Standin, json_answer, refuse};

/// Capacity that the load report states, in concurrent calls.
const REPORTED_SLOTS: u64 = 64;

/// Fault switches of the service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFault {
    /// Switches that every stand-in has.
    #[serde(flatten)]
    pub base: BaseFault,
    /// Duration of each call, in ms.
    pub run_ms: u64,
    /// New calls get 503 with `x-draining: true`.
    pub draining: bool,
    /// The load report says that the service is draining, but new calls are accepted.
    pub told_draining: bool,
    /// New calls get 500 at once and do not run.
    pub fail_fast: bool,
}

impl Fault for ServiceFault {
    fn base(&self) -> BaseFault {
        self.base.clone()
    }
}

struct ServiceServer(Arc<Shared>);

struct Shared {
    runs: Mutex<BTreeMap<String, Run>>,
    running: AtomicU64,
    switches: Switches<ServiceFault>,
}

/// Runs `standin-service`.
#[must_use]
pub fn main() -> ExitCode {
    let about = About {
        name: "standin-service",
        about: "stands in for a plain service",
        options: |options| {
            options.optopt("", "run-ms", "time that each call runs", "MS");
            options.optopt("", "seed", "seed of the faults' draws", "N");
        },
    };
    cli::run(about, start)
}

async fn start(args: Args) -> anyhow::Result<Host> {
    let fault = ServiceFault {
        run_ms: args.get("run-ms", 0)?,
        ..ServiceFault::default()
    };
    let shared = Shared {
        runs: Mutex::default(),
        running: AtomicU64::new(0),
        switches: Switches::new(fault),
    };
    args.host(Arc::new(ServiceServer(Arc::new(shared))), Vec::new())
}

/// Builds the answer to a call: its method, its path with the query, and its body.
#[must_use]
pub fn echo(method: &str, target: &str, body: &str) -> Value {
    json!({ "method": method, "target": target, "body": body })
}

#[async_trait(?Send)]
impl Standin for ServiceServer {
    fn faults(&self) -> &dyn FaultControl {
        &self.0.switches
    }

    async fn control(&self, path: &str, _request: Incoming) -> Response<Body> {
        match path {
            "runs" => {
                let runs: Vec<Run> = self.0.runs().values().cloned().collect();
                json_answer(StatusCode::OK, &runs)
            }
            "load" => self.0.load(),
            _ => refuse(StatusCode::NOT_FOUND, "no such control"),
        }
    }

    async fn serve(&self, mut request: Incoming) -> Response<Body> {
        let key = host::header(&request, "x-request-key");
        let method = request.method().to_string();
        let target = request.uri().path_and_query();
        let target = target.map_or("/", |target| target.as_str()).to_owned();
        let Ok(body) = request.body(BODY_LIMIT).await else {
            return refuse(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        let fault = self.0.switches.get();
        if fault.draining {
            return host::refuse_draining();
        }
        if fault.fail_fast {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "failed by the switch");
        }
        let shared = Arc::clone(&self.0);
        let time = Duration::from_millis(fault.run_ms);
        // The call runs in its own task, so that it completes even if the client
        // disconnects.
        let run = tokio::spawn(async move { shared.run(&key, time).await });
        if run.await.is_err() {
            return refuse(StatusCode::INTERNAL_SERVER_ERROR, "the run broke off");
        }
        let text = String::from_utf8_lossy(&body);
        json_answer(StatusCode::OK, &echo(&method, &target, &text))
    }
}

impl Shared {
    fn runs(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Run>> {
        self.runs.lock().expect("no holder panics")
    }

    async fn run(&self, key: &str, time: Duration) {
        self.begin(key);
        self.running.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(time).await;
        self.running.fetch_sub(1, Ordering::Relaxed);
        self.end(key);
    }

    fn begin(&self, key: &str) {
        let mut runs = self.runs();
        let run = runs.entry(key.to_owned()).or_insert_with(|| Run {
            key: key.to_owned(),
            kind: "service".to_owned(),
            ..Run::default()
        });
        run.seen += 1;
        run.executions += 1;
    }

    fn end(&self, key: &str) {
        if let Some(run) = self.runs().get_mut(key) {
            run.finished = true;
        }
    }

    fn load(&self) -> Response<Body> {
        let running = self.running.load(Ordering::Relaxed);
        let fault = self.switches.get();
        let report = json!({
            "running": running,
            "waiting": 0,
            "slots": REPORTED_SLOTS,
            "kv_used": 0.0,
            "draining": fault.draining || fault.told_draining,
            "age_ms": 0,
        });
        json_answer(StatusCode::OK, &report)
    }
}
