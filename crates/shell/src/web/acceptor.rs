//! A listener that can be closed and reopened while its server keeps serving.
//!
//! The kernel completes handshakes before the server accepts. Closing the listener resets
//! the connections in the accept queue, including those whose request was already sent,
//! so the queue is emptied first.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use swiftlink_telemetry::event;
use tokio::net::TcpListener;
use tokio::time::sleep;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

use super::connection::Shared;
use super::intake::HEARTBEAT;

/// Delay between attempts to listen on the port, or to accept a connection, again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A bound listener that the server turns into an [`Acceptor`].
pub(super) struct BoundListener {
    pub(super) listener: StdListener,
    pub(super) shared: Arc<Shared>,
}

/// Accepts connections until the server stops.
///
/// At a stop it empties the accept queue, closes the listener and waits for the abort: the
/// end of the accept loop ends the worker with all its connections, so it must not come
/// earlier. While the gate is closed there is no listener; the accept queue is emptied
/// before the listener closes.
pub(super) struct Acceptor {
    address: SocketAddr,
    listener: Mutex<Option<Arc<TcpListener>>>,
    shared: Arc<Shared>,
}

impl IntoListener for BoundListener {
    type Listener = Acceptor;

    fn into_listener(self) -> io::Result<Acceptor> {
        self.listener.set_nonblocking(true)?;
        let address = self.listener.local_addr()?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(Acceptor {
            address,
            listener: Mutex::new(Some(Arc::new(listener))),
            shared: self.shared,
        })
    }
}

/// Next action of the accept loop.
enum Next {
    Serve(Stream),
    /// The gate is closed.
    CloseListener,
    /// There is no connection to accept yet.
    Wait,
    Stop,
}

impl Acceptor {
    fn current(&self) -> Option<Arc<TcpListener>> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the listener, waits until the workers may end, and returns the error that
    /// ends the accept loop.
    async fn close_and_wait_for_abort(&self) -> io::Result<Stream> {
        *self.lock() = None;
        self.shared.intake.set_listening(false);
        self.shared.closed.cancel();
        self.shared.abort.cancelled().await;
        Err(io::ErrorKind::BrokenPipe.into())
    }

    async fn next(&self, listener: &TcpListener) -> io::Result<Next> {
        tokio::select! {
            biased;
            () = self.shared.stop.cancelled() => Ok(Next::Stop),
            () = self.shared.gate.until(false) => Ok(Next::CloseListener),
            accepted = listener.accept() => {
                let (socket, peer) = match accepted {
                    Ok(accepted) => accepted,
                    // The runtime may be shutting down.
                    Err(_error) if self.shared.stop.is_cancelled() => return Ok(Next::Stop),
                    Err(error) => {
                        self.on_failed_accept(&error).await;
                        return Ok(Next::Wait);
                    }
                };
                Ok(Next::Serve(Stream::Tcp(socket.into_std()?, peer)))
            }
            () = sleep(HEARTBEAT) => Ok(Next::Wait),
        }
    }

    /// Closes the listener `found` unless another worker has closed it already.
    fn close_listener(&self, found: &Arc<TcpListener>) {
        let mut current = self.lock();
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, found)) {
            *current = None;
            self.shared.intake.set_listening(false);
        }
    }

    /// Waits for the cause of the error to end, such as a lack of file descriptors: the accept loop
    /// must go on. Idle connections make room for those that can't be accepted.
    async fn on_failed_accept(&self, error: &io::Error) {
        if is_client_error(error) {
            return;
        }
        self.shared.intake.count_failed();
        event!(
            warn,
            "web.accept_failed",
            address = self.address,
            error = error
        );
        self.shared.connections.close_idle();
        sleep(RETRY_DELAY).await;
    }

    /// Listens again once the gate is open. Returns true when the server stops instead.
    async fn reopen(&self) -> bool {
        loop {
            tokio::select! {
                biased;
                () = self.shared.stop.cancelled() => return true,
                () = self.shared.gate.until(true) => {}
            }
            let Err(error) = self.listen() else {
                return false;
            };
            event!(
                warn,
                "web.not_listening",
                address = self.address,
                error = error
            );
            sleep(RETRY_DELAY).await;
        }
    }

    /// Binds the listener unless another worker has done so already.
    fn listen(&self) -> io::Result<()> {
        let mut current = self.lock();
        if current.is_some() {
            return Ok(());
        }
        let listener = StdListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        *current = Some(Arc::new(TcpListener::from_std(listener)?));
        self.shared.intake.set_listening(true);
        Ok(())
    }
}

impl Listen for Acceptor {
    async fn accept(&self) -> io::Result<Stream> {
        loop {
            let Some(listener) = self.current() else {
                if self.reopen().await {
                    return self.close_and_wait_for_abort().await;
                }
                continue;
            };
            self.shared.intake.beat();
            let next = self.next(&listener).await?;
            let is_stop = matches!(next, Next::Stop);
            let stream = match next {
                Next::Serve(stream) => Some(stream),
                Next::Wait => continue,
                Next::CloseListener | Next::Stop => accept_queued(&listener),
            };
            if let Some(stream) = stream {
                self.shared.arriving.fetch_add(1, Ordering::SeqCst);
                return Ok(stream);
            }
            self.close_listener(&listener);
            drop(listener);
            if is_stop || self.reopen().await {
                return self.close_and_wait_for_abort().await;
            }
        }
    }
}

/// Takes a connection from the accept queue, if there is one.
fn accept_queued(listener: &TcpListener) -> Option<Stream> {
    // tokio may not have seen the socket become readable yet.
    let socket = SockRef::from(listener);
    loop {
        let (socket, peer) = match socket.accept() {
            Ok(accepted) => accepted,
            Err(error) if is_client_error(&error) => continue,
            Err(_) => return None,
        };
        if let Some(peer) = peer.as_socket()
            && socket.set_nonblocking(true).is_ok()
        {
            return Some(Stream::Tcp(StdStream::from(socket), peer));
        }
    }
}

/// Whether the accept error concerns a single client only.
fn is_client_error(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}
