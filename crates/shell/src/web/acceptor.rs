//! A listener that can be closed and reopened while its server keeps serving.
//!
//! The kernel completes handshakes before the server accepts. Closing the listener resets
//! the connections in the accept queue, including those whose request was already sent,
//! so the queue is emptied first.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream as StdStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, ThreadId};
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
    /// `None` while the port is closed.
    listener: Mutex<Option<SharedListener>>,
    shared: Arc<Shared>,
}

/// A listener that all workers accept from.
///
/// Each worker registers a duplicate with its own runtime. So the thread that learns of new
/// connections is the one that accepts them, and a heartbeat of its runtime vouches for both.
struct SharedListener {
    socket: Arc<StdListener>,
    workers: HashMap<ThreadId, Arc<TcpListener>>,
}

/// A worker's duplicate of the listener.
struct WorkerListener {
    socket: Arc<StdListener>,
    duplicate: Arc<TcpListener>,
}

impl SharedListener {
    /// `receive_buffer` is that of the connections; see
    /// [`Limits::receive_buffer`](super::Limits::receive_buffer).
    fn open(socket: StdListener, receive_buffer: usize) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        SockRef::from(&socket).set_recv_buffer_size(receive_buffer)?;
        Ok(Self {
            socket: Arc::new(socket),
            workers: HashMap::new(),
        })
    }

    /// The duplicate of the current thread.
    fn of_worker(&mut self) -> io::Result<WorkerListener> {
        let worker = thread::current().id();
        let duplicate = match self.workers.get(&worker) {
            Some(duplicate) => Arc::clone(duplicate),
            None => {
                let duplicate = Arc::new(TcpListener::from_std(self.socket.try_clone()?)?);
                self.workers.insert(worker, Arc::clone(&duplicate));
                duplicate
            }
        };
        Ok(WorkerListener {
            socket: Arc::clone(&self.socket),
            duplicate,
        })
    }
}

impl IntoListener for BoundListener {
    type Listener = Acceptor;

    fn into_listener(self) -> io::Result<Acceptor> {
        let address = self.listener.local_addr()?;
        let listener = SharedListener::open(self.listener, self.shared.receive_buffer)?;
        Ok(Acceptor {
            address,
            listener: Mutex::new(Some(listener)),
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
    /// The listener of the current thread, if the port is open.
    fn current(&self) -> io::Result<Option<WorkerListener>> {
        self.lock()
            .as_mut()
            .map(SharedListener::of_worker)
            .transpose()
    }

    fn lock(&self) -> MutexGuard<'_, Option<SharedListener>> {
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
    fn close_listener(&self, found: &WorkerListener) {
        let mut current = self.lock();
        let is_current = |now: &SharedListener| Arc::ptr_eq(&now.socket, &found.socket);
        if current.as_ref().is_some_and(is_current) {
            *current = None;
            self.shared.intake.set_listening(false);
        }
    }

    /// Waits for the cause of the error to end, such as a lack of file descriptors: the accept loop
    /// must go on. Other connections make room for those that can't be accepted.
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
        self.shared.connections.close_some();
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
        *current = Some(SharedListener::open(listener, self.shared.receive_buffer)?);
        self.shared.intake.set_listening(true);
        Ok(())
    }
}

impl Listen for Acceptor {
    async fn accept(&self) -> io::Result<Stream> {
        loop {
            let listener = match self.current() {
                Ok(Some(listener)) => listener,
                Ok(None) if self.reopen().await => return self.close_and_wait_for_abort().await,
                Ok(None) => continue,
                Err(_error) if self.shared.stop.is_cancelled() => {
                    return self.close_and_wait_for_abort().await;
                }
                Err(error) => {
                    self.on_failed_accept(&error).await;
                    continue;
                }
            };
            self.shared.intake.beat();
            let next = self.next(&listener.duplicate).await?;
            let is_stop = matches!(next, Next::Stop);
            let stream = match next {
                Next::Serve(stream) => Some(stream),
                Next::Wait => continue,
                Next::CloseListener | Next::Stop => accept_queued(&listener.duplicate),
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
