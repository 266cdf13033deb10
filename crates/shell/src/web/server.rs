//! The running server.

use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use xitca_http::HttpServiceBuilder;
use xitca_http::config::HttpServiceConfig;
use xitca_server::{Builder, ServerHandle};
use xitca_web::service::ServiceExt;

use super::acceptor::Bound;
use super::connection::{Layer, REFUSALS, Shared};
use super::gate::Gate;
use super::limits::{HEADER_BYTES, HEADER_FIELDS, Limits};
use super::request::Factory;
use super::service::Service;

/// Bytes of a response that are collected before they are written in any case.
const WRITE_BYTES: usize = 64 * 1024;
/// Longest wait of a stop for those who wait to be accepted.
const ARRIVE_WAIT: Duration = Duration::from_secs(1);

/// A server while it serves. Dropped without [`WebServer::stop`], it cuts all
/// connections and ends in the background.
pub struct WebServer {
    address: SocketAddr,
    connections: u32,
    shared: Arc<Shared>,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl WebServer {
    /// Serves `service` on a bound listener.
    ///
    /// # Errors
    /// When the listener has no address or the threads can't be started.
    pub fn bind(
        listener: TcpListener,
        limits: Limits,
        service: Arc<dyn Service>,
    ) -> anyhow::Result<Self> {
        let address = listener.local_addr().context("address of the listener")?;
        let connections = limits.connections.min(Semaphore::MAX_PERMITS);
        let connections = u32::try_from(connections).unwrap_or(u32::MAX);
        let shared = Arc::new(Shared {
            permits: Arc::new(Semaphore::new(connections as usize)),
            refusals: Semaphore::new(REFUSALS),
            gate: Arc::new(Gate::open()),
            stop: CancellationToken::new(),
            closed: CancellationToken::new(),
            arriving: AtomicUsize::new(0),
            abort: CancellationToken::new(),
            stall: limits.stall,
        });
        let mut server = build(listener, &limits, service, &shared).build();
        let handle = server.handle().context("starting the HTTP server")?;
        let thread = std::thread::Builder::new()
            .name("web-server".to_owned())
            .spawn(move || {
                // Ends with an error only where `handle` above gives one too.
                let _result = server.wait();
            })
            .context("starting the HTTP server's thread")?;
        Ok(Self {
            address,
            connections,
            shared,
            handle,
            thread: Some(thread),
        })
    }

    /// Address that it serves on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens and closes it to new connections.
    #[must_use]
    pub fn gate(&self) -> Arc<Gate> {
        Arc::clone(&self.shared.gate)
    }

    /// Accepts who waits and no more, closes idle connections, lets requests in flight end within
    /// `grace`, cuts the rest, and joins the workers.
    pub async fn stop(mut self, grace: Duration) {
        self.shared.stop.cancel();
        // Whoever is accepted after this finds no permit left.
        let arrived = self.shared.all_arrived();
        let _late = tokio::time::timeout(ARRIVE_WAIT.min(grace), arrived).await;
        let all = self.shared.permits.acquire_many(self.connections);
        // Running out of grace is an outcome like any other: what is left is cut.
        let _result = tokio::time::timeout(grace, all).await;
        self.shared.abort.cancel();
        self.handle.stop(false);
        let Some(thread) = self.thread.take() else {
            return;
        };
        let joined = tokio::task::spawn_blocking(move || thread.join()).await;
        drop(joined);
    }
}

impl Drop for WebServer {
    fn drop(&mut self) {
        self.shared.stop.cancel();
        self.shared.abort.cancel();
        self.handle.stop(false);
    }
}

impl fmt::Debug for WebServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WebServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

fn build(
    listener: TcpListener,
    limits: &Limits,
    service: Arc<dyn Service>,
    shared: &Arc<Shared>,
) -> Builder {
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(limits.idle)
        // The first deadline of a connection, which the idle time only ever extends.
        .tls_accept_timeout(limits.idle.min(limits.head))
        .request_head_timeout(limits.head)
        .max_read_buf_size::<HEADER_BYTES>()
        .max_write_buf_size::<WRITE_BYTES>()
        .max_request_headers::<HEADER_FIELDS>();
    let factory = Factory {
        service,
        body: limits.body,
    };
    let stack = factory
        .enclosed(HttpServiceBuilder::with_config(config))
        .enclosed(Layer(Arc::clone(shared)));
    let bound = Bound {
        listener,
        shared: Arc::clone(shared),
    };
    Builder::new()
        .worker_threads(limits.workers.max(1))
        .disable_signal()
        .listen("web", bound, stack)
}
