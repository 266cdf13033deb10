//! A listener that can be closed while its server still serves.

use std::future::pending;
use std::io;
use std::net::TcpListener as StdListener;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use xitca_io::net::Stream;
use xitca_server::net::{IntoListener, Listen};

/// A bound listener on its way to the server.
pub(super) struct Bound {
    pub(super) listener: StdListener,
    pub(super) stop: CancellationToken,
}

/// Accepts until the stop, then closes the listener and waits for ever: the accept loop
/// must go on, because its end ends the worker with all its connections.
pub(super) struct Acceptor {
    listener: Mutex<Option<Arc<TcpListener>>>,
    stop: CancellationToken,
}

impl IntoListener for Bound {
    type Listener = Acceptor;

    fn into_listener(self) -> io::Result<Acceptor> {
        self.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(self.listener)?;
        Ok(Acceptor {
            listener: Mutex::new(Some(Arc::new(listener))),
            stop: self.stop,
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
}

impl Listen for Acceptor {
    async fn accept(&self) -> io::Result<Stream> {
        let Some(listener) = self.current() else {
            return pending().await;
        };
        let accepted = tokio::select! {
            biased;
            () = self.stop.cancelled() => None,
            accepted = listener.accept() => Some(accepted),
        };
        let Some(accepted) = accepted else {
            drop(listener);
            self.close();
            return pending().await;
        };
        let (socket, peer) = accepted?;
        Ok(Stream::Tcp(socket.into_std()?, peer))
    }
}
