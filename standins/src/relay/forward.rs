//! Forwards TCP connections to one target.

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

/// Bytes forwarded at once.
const CHUNK: usize = 16 << 10;

/// Switches of the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RelayFault {
    /// Connections are closed, and new ones at once after their accept.
    pub cut: bool,
    /// Connections stay open but carry nothing; what was sent comes later.
    pub freeze: bool,
}

impl Fault for RelayFault {
    /// None of them: the control interface itself never fails.
    fn base(&self) -> BaseFault {
        BaseFault::default()
    }
}

/// A running forwarder; ends when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    switch: Arc<watch::Sender<RelayFault>>,
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
        let switch = Arc::new(watch::Sender::new(RelayFault::default()));
        let task = tokio::spawn(run(listener, target, Arc::clone(&switch)));
        Ok(Self {
            address,
            switch,
            task,
        })
    }

    /// The address that it accepts connections on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The switches now.
    #[must_use]
    pub fn fault(&self) -> RelayFault {
        *self.switch.borrow()
    }

    /// Turns the switches.
    pub fn set(&self, fault: RelayFault) {
        self.switch.send_replace(fault);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The connections are owned by the task and end with it.
        self.task.abort();
    }
}

async fn run(listener: TcpListener, target: SocketAddr, switch: Arc<watch::Sender<RelayFault>>) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((near, _peer)) = accepted else {
                    continue;
                };
                links.spawn(link(near, target, switch.subscribe()));
            }
            Some(_ended) = links.join_next() => {}
        }
    }
}

/// One connection: ends when either side ends it or the relay is cut.
async fn link(near: TcpStream, target: SocketAddr, switch: watch::Receiver<RelayFault>) {
    if switch.borrow().cut {
        return;
    }
    // A frozen link accepts and then says nothing.
    if thawed(switch.clone()).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    // Small frames must not wait for each other.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = pump(near_read, far_write, switch.clone());
    let down = pump(far_read, near_write, switch.clone());
    tokio::select! {
        _ended = async { tokio::join!(up, down) } => {}
        () = cut(switch.clone()) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    switch: watch::Receiver<RelayFault>,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(size) = from.read(&mut buffer).await {
        if size == 0 || thawed(switch.clone()).await.is_err() {
            break;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    // The other side sees the end of this direction; it may be gone already.
    drop(to.shutdown().await);
}

async fn thawed(mut switch: watch::Receiver<RelayFault>) -> Result<(), watch::error::RecvError> {
    switch.wait_for(|fault| !fault.freeze).await.map(drop)
}

async fn cut(mut switch: watch::Receiver<RelayFault>) {
    // The sender lives as long as the relay.
    drop(switch.wait_for(|fault| fault.cut).await);
}
