//! The HTTP server that all stand-ins share. It serves the control paths and injects the
//! base faults into the other calls.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context as _;
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Method, Response, StatusCode};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::json;
use swiftlink_shell::web::{Body, Incoming, Limits, Service, WebServer};
use tokio::task::JoinHandle;

use crate::fault::FaultControl;

/// Prefix of the paths that control a stand-in.
pub const CONTROL: &str = "/_standin/";
/// Maximum size of a request body, in bytes.
pub const BODY_LIMIT: usize = 32 << 20;

/// Maximum time for which a call from a cut caller is held. It is refused then, or as soon as
/// the cut ends.
const CUT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a held call checks whether the cut has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Grace period for requests in flight at a stop.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// The service that a stand-in simulates.
#[async_trait(?Send)]
pub trait Standin: Send + Sync + 'static {
    /// Fault switches of the stand-in.
    fn faults(&self) -> &dyn FaultControl;
    /// Called after each change of the switches.
    fn on_faults_changed(&self) {}
    /// Answers a control call other than `fault`. `path` has no [`CONTROL`] prefix.
    async fn control(&self, path: &str, request: Incoming) -> Response<Body>;
    /// Answers a call of a client.
    async fn serve(&self, request: Incoming) -> Response<Body>;
}

/// A running stand-in.
#[derive(Debug)]
pub struct Host {
    web: WebServer,
    address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Host {
    /// Serves `standin` on `address`. `seed` initializes the generator for random faults.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        seed: u64,
        standin: Arc<dyn Standin>,
        tasks: Vec<JoinHandle<()>>,
    ) -> anyhow::Result<Self> {
        let listener =
            TcpListener::bind(address).with_context(|| format!("can't listen on {address}"))?;
        let address = listener
            .local_addr()
            .context("can't read the bound address")?;
        let injector = FaultInjector {
            standin,
            draws: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        };
        let web = WebServer::bind(listener, Limits::default(), Arc::new(injector))?;
        Ok(Self {
            web,
            address,
            tasks,
        })
    }

    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and all tasks.
    pub async fn stop(self) {
        self.web.stop(STOP_GRACE).await;
        for task in self.tasks {
            task.abort();
            // An aborted task has nothing to report.
            drop(task.await);
        }
    }
}

struct FaultInjector {
    standin: Arc<dyn Standin>,
    draws: Mutex<Pcg64Mcg>,
}

#[async_trait(?Send)]
impl Service for FaultInjector {
    async fn call(&self, mut request: Incoming) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(path) = path.strip_prefix(CONTROL) {
            return self.control(path, request).await;
        }
        let agent = agent_of(&request);
        if let Some(refusal) = self.inject_faults(&agent).await {
            // Reading the body keeps the connection usable.
            drop(request.body(BODY_LIMIT).await);
            return refusal;
        }
        let answer = self.standin.serve(request).await;
        if self.is_answer_lost() {
            return reset_response();
        }
        answer
    }
}

impl FaultInjector {
    async fn control(&self, path: &str, mut request: Incoming) -> Response<Body> {
        if path != "fault" {
            return self.standin.control(path, request).await;
        }
        if request.method() != Method::PUT {
            return json_answer(StatusCode::OK, &self.standin.faults().to_json());
        }
        let Ok(patch) = request.body(BODY_LIMIT).await else {
            return refuse(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        if let Err(detail) = self.standin.faults().apply_patch(&patch) {
            return refuse(StatusCode::BAD_REQUEST, &detail);
        }
        self.standin.on_faults_changed();
        json_answer(StatusCode::OK, &self.standin.faults().to_json())
    }

    /// Injects delay, outage and cut. Returns the refusal if the call must have no effect.
    async fn inject_faults(&self, agent: &str) -> Option<Response<Body>> {
        let base = self.standin.faults().base();
        if base.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(base.delay_ms)).await;
        }
        let mut held = Duration::ZERO;
        while self.is_cut(agent) {
            if held >= CUT_TIMEOUT {
                return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "cut"));
            }
            tokio::time::sleep(CUT_POLL_INTERVAL).await;
            held += CUT_POLL_INTERVAL;
        }
        if held > Duration::ZERO {
            // A request sent during a partition never arrives.
            return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "cut"));
        }
        if self.standin.faults().base().outage {
            return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        None
    }

    fn is_cut(&self, agent: &str) -> bool {
        let cut = self.standin.faults().base().cut;
        cut.iter().any(|name| name == agent)
    }

    fn is_answer_lost(&self) -> bool {
        let share = self.standin.faults().base().lose_answers;
        if share <= 0.0 {
            return false;
        }
        let mut draws = self.draws.lock().expect("no holder panics");
        draws.random::<f64>() < share
    }
}

/// Returns the caller's `User-Agent`, or an empty string.
pub fn agent_of(request: &Incoming) -> String {
    header(request, "user-agent")
}

/// Returns the value of a header, or an empty string.
pub fn header(request: &Incoming, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// Returns a query parameter, or `default` when it is missing or malformed.
pub fn query<T: std::str::FromStr>(request: &Incoming, name: &str, default: T) -> T {
    let text = request.uri().query().unwrap_or_default();
    for pair in text.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return value.parse().unwrap_or(default);
        }
    }
    default
}

/// Builds a JSON response.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let data = serde_json::to_vec(value).expect("the answers have only string keys");
    let mut answer = Response::new(Body::full(Bytes::from(data)));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// Builds an error response with a message.
pub fn refuse(status: StatusCode, detail: &str) -> Response<Body> {
    json_answer(status, &json!({ "error": detail }))
}

/// Builds the response of a draining backend server to a new request, which did not run.
pub fn refuse_draining() -> Response<Body> {
    let mut answer = refuse(StatusCode::SERVICE_UNAVAILABLE, "draining");
    let value = HeaderValue::from_static("true");
    answer.headers_mut().insert("x-draining", value);
    answer
}

/// Builds a response that resets the connection before its first byte.
fn reset_response() -> Response<Body> {
    let lost = io::Error::new(io::ErrorKind::ConnectionReset, "lost by the fault switch");
    Response::new(Body::stream(stream::iter([Err(lost)])))
}
