//! A listener that can be closed while its server still serves.

use std::io;
use std::net::TcpListener as StdListener;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::TcpListener;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

use super::connection::Shared;

/// A bound listener on its way to the server.
pub(super) struct Bound {
    pub(super) listener: StdListener,
    pub(super) shared: Arc<Shared>,
}

/// Accepts until the stop, then closes the listener and waits for the abort: the end of
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
        let Some(accepted) = accepted else {
            drop(listener);
            self.close();
            return self.ended().await;
        };
        let (socket, peer) = accepted?;
        Ok(Stream::Tcp(socket.into_std()?, peer))
    }
}
