//! TCP forwarder with fault switches.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::fault::{BaseFault, Fault};

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Fault switches of the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayFault {
    /// Existing connections are closed, and new ones as soon as they are accepted.
    pub cut: bool,
    /// Connections stay open, but their data is held back until this is reset.
    pub freeze: bool,
}

impl Fault for RelayFault {
    /// All off: the control interface itself never fails.
    fn base(&self) -> BaseFault {
        BaseFault::default()
    }
}

/// A running forwarder, which stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<watch::Sender<RelayFault>>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Accepts connections on `address` and forwards them to `target`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(watch::Sender::new(RelayFault::default()));
        let task = tokio::spawn(run(listener, target, Arc::clone(&faults)));
        Ok(Self {
            address,
            faults,
            task,
        })
    }

    /// Address that the relay accepts connections on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Current state of the switches.
    #[must_use]
    pub fn fault(&self) -> RelayFault {
        *self.faults.borrow()
    }

    /// Sets the switches.
    pub fn set(&self, fault: RelayFault) {
        self.faults.send_replace(fault);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The task owns the connections, which close with it.
        self.task.abort();
    }
}

async fn run(listener: TcpListener, target: SocketAddr, faults: Arc<watch::Sender<RelayFault>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _peer)) = accepted else {
                    continue;
                };
                connections.spawn(forward(client, target, faults.subscribe()));
            }
            Some(_ended) = connections.join_next() => {}
        }
    }
}

/// Forwards one connection until either side closes it or the relay is cut.
async fn forward(client: TcpStream, target: SocketAddr, faults: watch::Receiver<RelayFault>) {
    if faults.borrow().cut {
        return;
    }
    // A frozen relay accepts connections, but forwards nothing.
    if wait_until_thawed(faults.clone()).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without this, Nagle's algorithm would delay small frames.
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let up = copy(client_read, server_write, faults.clone());
    let down = copy(server_read, client_write, faults.clone());
    tokio::select! {
        _ended = async { tokio::join!(up, down) } => {}
        () = wait_until_cut(faults.clone()) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: watch::Receiver<RelayFault>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(size) = from.read(&mut buffer).await {
        if size == 0 || wait_until_thawed(faults.clone()).await.is_err() {
            break;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    // Passes the end of this direction on. The other side may be closed already.
    drop(to.shutdown().await);
}

async fn wait_until_thawed(
    mut faults: watch::Receiver<RelayFault>,
) -> Result<(), watch::error::RecvError> {
    faults.wait_for(|fault| !fault.freeze).await.map(drop)
}

async fn wait_until_cut(mut faults: watch::Receiver<RelayFault>) {
    // Fails only when the relay, which holds the sender, is dropped.
    drop(faults.wait_for(|fault| fault.cut).await);
}
