//! The resource interface over HTTP.

mod apply;
mod auth;
mod problem;
mod query;
mod read;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, StatusCode};
use percent_encoding::percent_decode_str;
use swiftlink_shell::web::{Incoming, Response, Service};
use swiftlink_telemetry::Metrics;
use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

use crate::applier::Applier;
use crate::fleet::Fleet;
use crate::ledgers::Ledgers;
use crate::shared_state::SharedState;

use auth::Token;
use problem::ApiError;

/// The HTTP service of the resource interface.
pub(crate) struct Interface {
    pub(crate) token: Token,
    pub(crate) state: Arc<SharedState>,
    pub(crate) applier: Arc<Applier>,
    pub(crate) ledgers: Arc<Ledgers>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) heartbeat: Duration,
    pub(crate) metrics: Metrics,
    /// Runtime for detached work, which continues after the caller disconnects.
    pub(crate) handle: Handle,
    pub(crate) tracker: TaskTracker,
}

impl Interface {
    pub(crate) fn token(text: &str) -> Token {
        Token::new(text)
    }

    /// Runs `work` on the daemon's runtime to completion, even if the caller disconnects.
    async fn detach<T, F>(&self, work: F) -> Result<T, ApiError>
    where
        T: Send + 'static,
        F: Future<Output = T> + Send + 'static,
    {
        let task = self.tracker.spawn_on(work, &self.handle);
        task.await.map_err(|_error| ApiError::stopping())
    }

    async fn route(&self, request: &mut Incoming) -> Result<Response, ApiError> {
        self.token.check(request)?;
        let path = request.uri().path().to_owned();
        let segments: Vec<_> = path.split('/').skip(1).map(decode_segment).collect();
        let segments: Vec<_> = segments.iter().map(String::as_str).collect();
        let method = request.method().clone();
        match (method, &segments[..]) {
            (Method::POST, ["v1", "apply"]) => self.apply(request).await,
            (Method::GET, ["v1", "resources", kind]) => self.list(kind),
            (Method::GET, ["v1", "resources", kind, name]) => self.get(kind, name),
            (Method::GET, ["v1", "watch"]) => self.watch(request),
            (Method::GET, ["v1", "status"]) => self.status().await,
            (Method::GET, ["v1", "budgets", name]) => self.budget(name).await,
            (Method::GET, ["v1", "processes", name, "dump"]) => self.dump(name).await,
            (Method::GET, ["v1", "processes", name, "log-level"]) => {
                self.read_log_level(name).await
            }
            (Method::PUT, ["v1", "processes", name, "log-level"]) => {
                self.set_log_level(name, request).await
            }
            (
                _,
                ["v1", "apply" | "watch" | "status"]
                | ["v1", "resources", _]
                | ["v1", "resources", _, _]
                | ["v1", "budgets", _]
                | ["v1", "processes", _, "dump" | "log-level"],
            ) => Err(ApiError::method()),
            _ => Err(ApiError::no_path(&path)),
        }
    }
}

#[async_trait(?Send)]
impl Service for Interface {
    async fn call(&self, mut request: Incoming) -> Response {
        let response = match self.route(&mut request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        };
        self.metrics.count("operator.requests", 1);
        if response.status() >= StatusCode::BAD_REQUEST {
            self.metrics.count("operator.refusals", 1);
        }
        response
    }
}

fn decode_segment(segment: &str) -> String {
    percent_decode_str(segment).decode_utf8_lossy().into_owned()
}
