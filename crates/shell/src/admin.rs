//! The admin endpoint of a daemon: state dump, status, log level.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use async_trait::async_trait;
use http::{Method, StatusCode};
use swiftlink_telemetry::event;

use crate::web::{self, Incoming, Limits, Response, Service, WebServer};

const MAX_LEVEL_BYTES: usize = 64;
const MAX_CONNECTIONS: usize = 64;
const STOP_GRACE: Duration = Duration::from_secs(1);

/// State that a daemon shows on its admin endpoint, without secrets.
pub trait Dump: Send + Sync {
    /// The complete state, for debugging.
    fn dump(&self) -> serde_json::Value;
    /// The few figures that `swiftlink status` shows.
    fn status(&self) -> serde_json::Value;
}

/// The running admin endpoint.
///
/// `GET /dump` and `GET /status` answer JSON; `GET` and `PUT /log-level` read and change
/// the log level.
#[derive(Debug)]
pub struct Admin {
    server: WebServer,
}

impl Admin {
    /// Serves on `address`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub fn bind(address: SocketAddr, dump: Arc<dyn Dump>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address)
            .with_context(|| format!("binding the admin address {address}"))?;
        Self::listen(listener, dump)
    }

    /// Serves on a bound listener.
    ///
    /// # Errors
    /// When the server's threads can't be started.
    pub fn listen(listener: TcpListener, dump: Arc<dyn Dump>) -> anyhow::Result<Self> {
        let limits = Limits {
            workers: 1,
            connections: MAX_CONNECTIONS,
            ..Limits::default()
        };
        let server = WebServer::bind(listener, limits, Arc::new(Pages { dump }))?;
        Ok(Self { server })
    }

    /// Address that the endpoint listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the endpoint.
    pub async fn stop(self) {
        self.server.stop(STOP_GRACE).await;
    }
}

struct Pages {
    dump: Arc<dyn Dump>,
}

#[async_trait(?Send)]
impl Service for Pages {
    async fn call(&self, mut request: Incoming) -> Response {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (method, path.as_str()) {
            (Method::GET, "/dump") => web::json(StatusCode::OK, &self.dump.dump()),
            (Method::GET, "/status") => web::json(StatusCode::OK, &self.dump.status()),
            (Method::GET, "/log-level") => web::text(StatusCode::OK, swiftlink_telemetry::level()),
            (Method::PUT, "/log-level") => change_level(&mut request).await,
            (_, "/dump" | "/status" | "/log-level") => web::problem(
                StatusCode::METHOD_NOT_ALLOWED,
                "this path has other methods",
            ),
            _ => web::problem(StatusCode::NOT_FOUND, "use /dump, /status or /log-level"),
        }
    }
}

async fn change_level(request: &mut Incoming) -> Response {
    let body = match request.body(MAX_LEVEL_BYTES).await {
        Ok(body) => body,
        Err(error) => return web::problem(error.status(), &error.to_string()),
    };
    let text = String::from_utf8_lossy(&body);
    let level = text.trim();
    if let Err(error) = swiftlink_telemetry::set_level(level) {
        return web::problem(StatusCode::BAD_REQUEST, &error.to_string());
    }
    event!(info, "log.level", to = level);
    web::text(StatusCode::OK, level.to_owned())
}
