//! Start and stop of the server.

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

use super::acceptor::BoundListener;
use super::bounded_stream::BoundedStreams;
use super::connection::{ConnectionLayer, MAX_REFUSALS, Shared};
use super::connections::Connections;
use super::gate::Gate;
use super::intake::Intake;
use super::limits::{HEADER_BYTES, HEADER_FIELDS, Limits};
use super::memory::BodyMemory;
use super::meter::Meter;
use super::request::Factory;
use super::service::Service;

/// Size at which buffered response bytes are written even if more are ready.
const WRITE_BYTES: usize = 64 * 1024;
/// Longest time that a stop waits until the accept queue is empty.
const ACCEPT_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running server. Dropping it without [`WebServer::stop`] closes all connections at
/// once, and its threads end in the background.
pub struct WebServer {
    address: SocketAddr,
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
        let connections = Arc::new(Connections::new(&limits));
        let shared = Arc::new(Shared {
            intake: Arc::new(Intake::listening(Arc::clone(&connections))),
            connections,
            refusals: Semaphore::new(MAX_REFUSALS),
            gate: Arc::new(Gate::open()),
            stop: CancellationToken::new(),
            closed: CancellationToken::new(),
            arriving: AtomicUsize::new(0),
            abort: CancellationToken::new(),
            stall: limits.stall,
            receive_buffer: limits.receive_buffer,
            memory: Arc::new(BodyMemory::new(limits.body_memory)),
            meter: Arc::default(),
        });
        let mut server = build(listener, &limits, service, &shared).build();
        let handle = server.handle().context("starting the HTTP server")?;
        let thread = std::thread::Builder::new()
            .name("web-server".to_owned())
            .spawn(move || {
                // Fails only in the cases in which `handle` above has failed.
                let _result = server.wait();
            })
            .context("starting the HTTP server's thread")?;
        Ok(Self {
            address,
            shared,
            handle,
            thread: Some(thread),
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gate that opens and closes the server to new connections.
    #[must_use]
    pub fn gate(&self) -> Arc<Gate> {
        Arc::clone(&self.shared.gate)
    }

    /// What became of new connections.
    #[must_use]
    pub fn intake(&self) -> Arc<Intake> {
        Arc::clone(&self.shared.intake)
    }

    /// Memory of the bodies of requests.
    #[must_use]
    pub fn memory(&self) -> Arc<BodyMemory> {
        Arc::clone(&self.shared.memory)
    }

    /// Bytes of requests and responses.
    #[must_use]
    pub fn meter(&self) -> Arc<Meter> {
        Arc::clone(&self.shared.meter)
    }

    /// Accepts the connections in the accept queue and none after them, closes idle
    /// connections, lets requests in flight finish within `grace`, closes the remaining
    /// connections, and joins the workers.
    pub async fn stop(mut self, grace: Duration) {
        self.shared.stop.cancel();
        // Connections that are accepted after this are refused.
        let arrived = self.shared.all_arrived();
        let _late = tokio::time::timeout(ACCEPT_QUEUE_TIMEOUT.min(grace), arrived).await;
        let all = self.shared.connections.all_closed();
        // When the grace period expires, the remaining connections are closed.
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
        // The first deadline of a connection. The idle timeout can only extend it.
        .tls_accept_timeout(limits.idle.min(limits.head))
        .request_head_timeout(limits.head)
        .max_read_buf_size::<HEADER_BYTES>()
        .max_write_buf_size::<WRITE_BYTES>()
        .max_request_headers::<HEADER_FIELDS>();
    let factory = Factory {
        service,
        body_timeout: limits.body,
    };
    let stack = factory
        .enclosed(
            HttpServiceBuilder::h1()
                .config(config)
                .with_tls(BoundedStreams),
        )
        .enclosed(ConnectionLayer(Arc::clone(shared)));
    let bound = BoundListener {
        listener,
        shared: Arc::clone(shared),
    };
    Builder::new()
        .worker_threads(limits.workers.max(1))
        .disable_signal()
        .listen("web", bound, stack)
}
