//! A TCP proxy whose open connections can fall silent while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the connections of a proxy share.
#[derive(Default)]
struct Shared {
    /// Connections up to this number are silent.
    silent_to: AtomicU64,
    next: AtomicU64,
    open: AtomicUsize,
    /// All connections fall silent in the first piece of a response that is longer than this.
    cut: Mutex<Option<usize>>,
    has_cut: AtomicBool,
}

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free port of `ip`.
    pub fn start(ip: &str, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the proxy");
        let address = listener.local_addr().expect("the proxy's address");
        let shared = Arc::<Shared>::default();
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let number = served.next.fetch_add(1, SeqCst) + 1;
                let _option = (client.set_nodelay(true), server.set_nodelay(true));
                serve(&client, &server, number, &served);
            }
        });
        Self { address, shared }
    }

    /// The open connections fall silent for good when `bytes` bytes of a longer response have passed:
    /// nothing passes any more, and nothing is closed.
    pub fn silence_within(&self, bytes: usize) {
        *self.shared.cut.lock().expect("the cut") = Some(bytes);
    }

    /// Whether the connections fell silent within a response.
    pub fn has_cut(&self) -> bool {
        self.shared.has_cut.load(SeqCst)
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.shared.open.load(SeqCst)
    }
}

fn serve(client: &TcpStream, server: &TcpStream, number: u64, shared: &Arc<Shared>) {
    let pairs = [(client, server, false), (server, client, true)];
    shared.open.fetch_add(1, SeqCst);
    for (from, to, is_response) in pairs {
        let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
            return;
        };
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            pass(&from, &to, number, is_response, &shared);
            if shared.silent_to.load(SeqCst) < number {
                let _closed = to.shutdown(Shutdown::Write);
            } else {
                // A silent connection stays open until the process ends.
                std::mem::forget((from, to));
            }
            if is_response {
                shared.open.fetch_sub(1, SeqCst);
            }
        });
    }
}

fn pass(mut from: &TcpStream, mut to: &TcpStream, number: u64, is_response: bool, shared: &Shared) {
    let mut buffer = vec![0; 65_536];
    loop {
        let Ok(count) = from.read(&mut buffer) else {
            return;
        };
        if count == 0 || shared.silent_to.load(SeqCst) >= number {
            return;
        }
        let mut pass = count;
        if is_response {
            let mut cut = shared.cut.lock().expect("the cut");
            if let Some(bytes) = cut.filter(|bytes| count > *bytes) {
                *cut = None;
                pass = bytes;
                shared.silent_to.store(shared.next.load(SeqCst), SeqCst);
                shared.has_cut.store(true, SeqCst);
            }
        }
        if to.write_all(&buffer[..pass]).is_err() {
            return;
        }
        if pass < count {
            return;
        }
    }
}
