//! The HTTP host that all stand-ins share: control paths, and the base faults
//! around the calls of the thing that is stood in for.

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

use crate::fault::Panel;

/// First part of the paths that control a stand-in.
pub const CONTROL: &str = "/_standin/";
/// Largest body that a stand-in takes (bytes).
pub const BODY_LIMIT: usize = 32 << 20;

/// A cut caller waits this long for nothing, unless it gives up before.
const CUT_HOLD: Duration = Duration::from_secs(10);
/// How often a held call looks whether the cut is over.
const CUT_POLL: Duration = Duration::from_millis(20);
/// Requests in flight get this long at a stop.
const STOP_GRACE: Duration = Duration::from_millis(200);

/// The thing that is stood in for.
#[async_trait(?Send)]
pub trait Standin: Send + Sync + 'static {
    /// Its fault switches.
    fn panel(&self) -> &dyn Panel;
    /// Called after each change of the switches.
    fn turned(&self) {}
    /// Answers a control call other than `fault`; `path` is without [`CONTROL`].
    async fn control(&self, path: &str, request: Incoming) -> Response<Body>;
    /// Answers a call of a user.
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
    /// Serves `standin` on `address`; `seed` drives the faults' draws.
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
        let front = Front {
            standin,
            draws: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        };
        let web = WebServer::bind(listener, Limits::default(), Arc::new(front))?;
        Ok(Self {
            web,
            address,
            tasks,
        })
    }

    /// The bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving and joins all tasks.
    pub async fn stop(self) {
        self.web.stop(STOP_GRACE).await;
        for task in self.tasks {
            task.abort();
            // An aborted task has nothing to report.
            drop(task.await);
        }
    }
}

struct Front {
    standin: Arc<dyn Standin>,
    draws: Mutex<Pcg64Mcg>,
}

#[async_trait(?Send)]
impl Service for Front {
    async fn call(&self, mut request: Incoming) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if let Some(path) = path.strip_prefix(CONTROL) {
            return self.control(path, request).await;
        }
        let agent = agent_of(&request);
        if let Some(refusal) = self.hold(&agent).await {
            // The caller's body is read so that the connection stays in step.
            drop(request.body(BODY_LIMIT).await);
            return refusal;
        }
        let answer = self.standin.serve(request).await;
        if self.loses() {
            return broken();
        }
        answer
    }
}

impl Front {
    async fn control(&self, path: &str, mut request: Incoming) -> Response<Body> {
        if path != "fault" {
            return self.standin.control(path, request).await;
        }
        if request.method() != Method::PUT {
            return json_answer(StatusCode::OK, &self.standin.panel().shown());
        }
        let Ok(patch) = request.body(BODY_LIMIT).await else {
            return refuse(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        if let Err(detail) = self.standin.panel().turn(&patch) {
            return refuse(StatusCode::BAD_REQUEST, &detail);
        }
        self.standin.turned();
        json_answer(StatusCode::OK, &self.standin.panel().shown())
    }

    /// Applies delay, outage and cut; an answer means that the call does nothing.
    async fn hold(&self, agent: &str) -> Option<Response<Body>> {
        let base = self.standin.panel().base();
        if base.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(base.delay_ms)).await;
        }
        let mut held = Duration::ZERO;
        while self.cuts(agent) {
            if held >= CUT_HOLD {
                return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "cut"));
            }
            tokio::time::sleep(CUT_POLL).await;
            held += CUT_POLL;
        }
        if held > Duration::ZERO {
            // What was sent into a partition never arrives.
            return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "cut"));
        }
        if self.standin.panel().base().outage {
            return Some(refuse(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        None
    }

    fn cuts(&self, agent: &str) -> bool {
        let cut = self.standin.panel().base().cut;
        cut.iter().any(|name| name == agent)
    }

    fn loses(&self) -> bool {
        let share = self.standin.panel().base().lose_answers;
        if share <= 0.0 {
            return false;
        }
        let mut draws = self.draws.lock().expect("no holder panics");
        draws.random::<f64>() < share
    }
}

/// The caller's `User-Agent`, or nothing.
pub fn agent_of(request: &Incoming) -> String {
    header(request, "user-agent")
}

/// A header's text, or nothing.
pub fn header(request: &Incoming, name: &str) -> String {
    let value = request.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}

/// A parameter of the query, or `default` when it is missing or malformed.
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

/// A JSON answer.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let data = serde_json::to_vec(value).expect("the answers hold no map with other keys");
    let mut answer = Response::new(Body::full(Bytes::from(data)));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// A refusal with one sentence.
pub fn refuse(status: StatusCode, detail: &str) -> Response<Body> {
    json_answer(status, &json!({ "error": detail }))
}

/// The refusal of new work by a backend server that drains; nothing ran.
pub fn refuse_draining() -> Response<Body> {
    let mut answer = refuse(StatusCode::SERVICE_UNAVAILABLE, "draining");
    let value = HeaderValue::from_static("true");
    answer.headers_mut().insert("x-draining", value);
    answer
}

/// An answer whose connection breaks before its first byte.
fn broken() -> Response<Body> {
    let lost = io::Error::new(io::ErrorKind::ConnectionReset, "lost by the fault switch");
    Response::new(Body::stream(stream::iter([Err(lost)])))
}
