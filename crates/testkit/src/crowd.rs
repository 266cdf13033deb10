//! Clients that send more than they should, stop before its end, and stay connected.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

/// Longest time of one call to the socket, after which a client checks whether its crowd has ended.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause of a client whose connection was closed, before it opens another one.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Interval at which [`Crowd::settle`] looks for progress.
const SETTLE_INTERVAL: Duration = Duration::from_secs(1);

/// What each client sends on a connection before it waits for the connection to be closed.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Bytes that are sent first.
    pub start: String,
    /// Bytes that are sent next, again and again.
    pub piece: String,
    /// How often `piece` is sent.
    pub pieces: usize,
    /// Whether a client that gets a response begins anew on another connection.
    pub retries: bool,
}

impl Script {
    /// A request that announces `length` bytes of body and sends `sent` of them, in pieces of up to
    /// `piece` bytes. `head` has no empty line at its end.
    #[must_use]
    pub fn body(head: &str, length: usize, sent: usize, piece: usize) -> Self {
        let first = sent % piece;
        Self {
            start: format!(
                "{head}content-length: {length}\r\n\r\n{}",
                "x".repeat(first)
            ),
            piece: "x".repeat(piece),
            pieces: sent / piece,
            retries: false,
        }
    }

    /// A request that sends `sent` bytes of body in chunks of `chunk` bytes, without the last chunk.
    /// `head` has no empty line at its end.
    #[must_use]
    pub fn chunks(head: &str, sent: usize, chunk: usize) -> Self {
        let piece = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
        // Joined, as each write is a system call.
        let joined = (65_536 / chunk).clamp(1, sent / chunk);
        Self {
            start: format!("{head}transfer-encoding: chunked\r\n\r\n"),
            piece: piece.repeat(joined),
            pieces: sent / chunk / joined,
            retries: false,
        }
    }
}

/// Clients that each follow a script on one connection after another, until this is dropped.
#[derive(Debug)]
pub struct Crowd {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// Clients that have sent their script once, or whose connection was closed first.
    arrived: AtomicUsize,
    /// Bytes that all clients have sent.
    sent: AtomicUsize,
    has_ended: AtomicBool,
}

impl Crowd {
    /// Starts `count` clients of the server at `address`.
    #[must_use]
    pub fn open(address: SocketAddr, count: usize, script: &Script) -> Self {
        let shared = Arc::<Shared>::default();
        let script = Arc::new(script.clone());
        let clients = (0..count).map(|_| {
            let (shared, script) = (Arc::clone(&shared), Arc::clone(&script));
            std::thread::spawn(move || shared.run(address, &script))
        });
        let clients = clients.collect();
        Self { shared, clients }
    }

    /// Waits until each client has sent its script once or was refused, or until the server takes no
    /// more bytes.
    pub fn settle(&self) {
        let mut sent = 0;
        while self.shared.arrived.load(SeqCst) < self.clients.len() {
            sleep(SETTLE_INTERVAL);
            let before = std::mem::replace(&mut sent, self.shared.sent.load(SeqCst));
            if before == sent && sent > 0 {
                return;
            }
        }
    }

    /// Bytes that all clients have sent.
    #[must_use]
    pub fn sent(&self) -> usize {
        self.shared.sent.load(SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.shared.has_ended.store(true, SeqCst);
        for client in self.clients.drain(..) {
            // A client that panicked has printed why.
            drop(client.join());
        }
    }
}

impl Shared {
    fn run(&self, address: SocketAddr, script: &Script) {
        let mut is_first = true;
        while !self.has_ended.load(SeqCst) {
            let stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT);
            let sent = stream.and_then(|mut stream| {
                stream.set_read_timeout(Some(CALL_TIMEOUT))?;
                stream.set_write_timeout(Some(CALL_TIMEOUT))?;
                self.send(&mut stream, script)?;
                Ok(stream)
            });
            if std::mem::take(&mut is_first) {
                self.arrived.fetch_add(1, SeqCst);
            }
            if let Ok(stream) = sent {
                self.wait(stream, script.retries);
            }
            sleep(RECONNECT_DELAY);
        }
    }

    fn send(&self, stream: &mut TcpStream, script: &Script) -> std::io::Result<()> {
        self.write(stream, script.start.as_bytes())?;
        for _ in 0..script.pieces {
            self.write(stream, script.piece.as_bytes())?;
        }
        Ok(())
    }

    fn write(&self, stream: &mut TcpStream, mut rest: &[u8]) -> std::io::Result<()> {
        while !rest.is_empty() && !self.has_ended.load(SeqCst) {
            match stream.write(rest) {
                Ok(count) => {
                    self.sent.fetch_add(count, SeqCst);
                    rest = &rest[count..];
                }
                Err(error) if is_timeout(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads until the server closes the connection, or responds if the client `retries`.
    fn wait(&self, mut stream: TcpStream, retries: bool) {
        let mut buffer = [0; 4_096];
        while !self.has_ended.load(SeqCst) {
            match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(_) if retries => return,
                Ok(_) => {}
                Err(error) if is_timeout(&error) => {}
                Err(_) => return,
            }
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
