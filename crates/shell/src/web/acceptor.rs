//! A listener that can be closed, and opened again, while its server still serves.
//!
//! The kernel connects clients before the server accepts them. Closing the listener
//! resets those that wait, requests sent and all, so they are accepted first.

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

/// Pause before a port that couldn't be listened on again is tried once more.
const AGAIN: Duration = Duration::from_millis(100);

/// A bound listener on its way to the server.
pub(super) struct Bound {
    pub(super) listener: StdListener,
    pub(super) shared: Arc<Shared>,
}

/// Accepts until the stop, then those who wait, then closes the listener and waits for the abort: the end of
/// the accept loop ends the worker with all its connections, so it must not come before. While
/// the gate is closed there is no listener, after those who wait were accepted.
pub(super) struct Acceptor {
    address: SocketAddr,
    listener: Mutex<Option<Arc<TcpListener>>>,
    shared: Arc<Shared>,
}

impl IntoListener for Bound {
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

/// What the accept loop does next.
enum Next {
    Take(Stream),
    /// The gate is closed.
    Shut,
    Stop,
}

impl Acceptor {
    fn current(&self) -> Option<Arc<TcpListener>> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Arc<TcpListener>>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the error that ends the accept loop, once the workers may end.
    async fn ended(&self) -> io::Result<Stream> {
        *self.lock() = None;
        self.shared.closed.cancel();
        self.shared.abort.cancelled().await;
        Err(io::ErrorKind::BrokenPipe.into())
    }

    async fn next(&self, listener: &TcpListener) -> io::Result<Next> {
        tokio::select! {
            biased;
            () = self.shared.stop.cancelled() => Ok(Next::Stop),
            () = self.shared.gate.until(false) => Ok(Next::Shut),
            accepted = listener.accept() => {
                let (socket, peer) = accepted?;
                Ok(Next::Take(Stream::Tcp(socket.into_std()?, peer)))
            }
        }
    }

    /// Closes the listener that a worker found the gate closed at; another one may have done so.
    fn shut(&self, found: &Arc<TcpListener>) {
        let mut current = self.lock();
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, found)) {
            *current = None;
        }
    }

    /// Listens again once the gate is open; says whether the server stops instead.
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
            sleep(AGAIN).await;
        }
    }

    /// Listens, unless another worker does already.
    fn listen(&self) -> io::Result<()> {
        let mut current = self.lock();
        if current.is_some() {
            return Ok(());
        }
        let listener = StdListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        *current = Some(Arc::new(TcpListener::from_std(listener)?));
        Ok(())
    }
}

impl Listen for Acceptor {
    async fn accept(&self) -> io::Result<Stream> {
        loop {
            let Some(listener) = self.current() else {
                if self.reopen().await {
                    return self.ended().await;
                }
                continue;
            };
            let next = self.next(&listener).await?;
            let is_stop = matches!(next, Next::Stop);
            let stream = match next {
                Next::Take(stream) => Some(stream),
                Next::Shut | Next::Stop => waiting(&listener),
            };
            if let Some(stream) = stream {
                self.shared.arriving.fetch_add(1, Ordering::SeqCst);
                return Ok(stream);
            }
            self.shut(&listener);
            drop(listener);
            if is_stop || self.reopen().await {
                return self.ended().await;
            }
        }
    }
}

/// A connection that waits to be accepted, if there is one.
fn waiting(listener: &TcpListener) -> Option<Stream> {
    // Not through tokio, which may not have heard of it yet.
    let socket = SockRef::from(listener);
    loop {
        let (socket, peer) = match socket.accept() {
            Ok(accepted) => accepted,
            Err(error) if is_of_client(&error) => continue,
            Err(_) => return None,
        };
        if let Some(peer) = peer.as_socket()
            && socket.set_nonblocking(true).is_ok()
        {
            return Some(Stream::Tcp(StdStream::from(socket), peer));
        }
    }
}

/// Whether accepting failed for this one client only.
fn is_of_client(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}
