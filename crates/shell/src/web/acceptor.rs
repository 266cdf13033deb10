//! A listener that can be closed while its server still serves.
//!
//! The kernel connects clients before the server accepts them. Closing the listener
//! resets those that wait, requests sent and all, so they are accepted first.

use std::io;
use std::net::{TcpListener as StdListener, TcpStream as StdStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};

use socket2::SockRef;
use tokio::net::TcpListener;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

use super::connection::Shared;

/// A bound listener on its way to the server.
pub(super) struct Bound {
    pub(super) listener: StdListener,
    pub(super) shared: Arc<Shared>,
}

/// Accepts until the stop, then those who wait, then closes the listener and waits for the abort: the end of
/// the accept loop ends the worker with all its connections, so it must not come before.
pub(super) struct Acceptor {
    listener: Mutex<Option<Arc<TcpListener>>>,
    shared: Arc<Shared>,
}

impl IntoListener for Bound {
    type Listener = Acceptor;

    fn into_listener(self) -> io::Result<Acceptor> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(Acceptor {
            listener: Mutex::new(Some(Arc::new(listener))),
            shared: self.shared,
        })
    }
}

impl Acceptor {
    fn current(&self) -> Option<Arc<TcpListener>> {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
        listener.clone()
    }

    fn close(&self) {
        let mut listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner);
        *listener = None;
        drop(listener);
        self.shared.closed.cancel();
    }

    /// Gives the error that ends the accept loop, once the workers may end.
    async fn ended(&self) -> io::Result<Stream> {
        self.shared.abort.cancelled().await;
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

impl Listen for Acceptor {
    async fn accept(&self) -> io::Result<Stream> {
        let Some(listener) = self.current() else {
            return self.ended().await;
        };
        let accepted = tokio::select! {
            biased;
            () = self.shared.stop.cancelled() => None,
            accepted = listener.accept() => Some(accepted),
        };
        let stream = match accepted {
            Some(accepted) => {
                let (socket, peer) = accepted?;
                Some(Stream::Tcp(socket.into_std()?, peer))
            }
            None => waiting(&listener),
        };
        let Some(stream) = stream else {
            drop(listener);
            self.close();
            return self.ended().await;
        };
        self.shared.arriving.fetch_add(1, Ordering::SeqCst);
        Ok(stream)
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
