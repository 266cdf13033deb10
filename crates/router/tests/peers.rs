//! Liveness of peer routers: only an answer is a sign of life.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use swiftlink_router::peers::Peers;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const PERIOD: Duration = Duration::from_millis(300);

fn peers() -> Arc<Peers> {
    let stop = CancellationToken::new();
    Peers::new(Handle::current(), TaskTracker::new(), PERIOD, stop)
}

/// Binds a listener without accepting: the kernel takes connections, as for a
/// frozen process.
fn bind_without_accepting() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Answers every probe with status 503 and sends a message for each.
fn answer_probes(listener: TcpListener) -> tokio::sync::mpsc::Receiver<()> {
    let (sender, answered) = tokio::sync::mpsc::channel(100);
    tokio::spawn(async move {
        listener.set_nonblocking(true).expect("no blocking");
        let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
        while let Ok((mut socket, _peer)) = listener.accept().await {
            let mut head = [0; 1_024];
            let read = socket.read(&mut head).await.unwrap_or(0);
            let refused = b"HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n";
            if read > 0 && socket.write_all(refused).await.is_ok() {
                let _full = sender.try_send(());
            }
        }
    });
    answered
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_answers_is_never_silent() {
    let (listener, address) = bind_without_accepting();
    let mut answered = answer_probes(listener);
    let peers = peers();
    let watched = peers.watch(address);
    for _probe in 0..5 {
        answered.recv().await.expect("a probe");
    }
    assert!(!watched.is_silent());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_peer_is_silent_until_it_answers() {
    let (listener, address) = bind_without_accepting();
    let peers = peers();
    let mut watched = peers.watch(address);
    assert!(!watched.is_silent());
    watched.until_silent().await;
    assert!(
        peers.watch(address).is_silent(),
        "known for the next request"
    );
    let mut answered = answer_probes(listener);
    while watched.is_silent() {
        answered.recv().await.expect("a probe");
        tokio::time::sleep(PERIOD / 10).await;
    }
    assert!(!peers.watch(address).is_silent());
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_peer_is_skipped_during_its_backoff() {
    let address = "127.0.0.1:7101".parse().expect("an address");
    let peers = peers();
    assert!(peers.is_up(address));
    peers.on_connect_failure(address);
    assert!(!peers.is_up(address));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(peers.is_up(address));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_peer_is_skipped() {
    let (_listener, address) = bind_without_accepting();
    let peers = peers();
    let mut watched = peers.watch(address);
    assert!(peers.is_up(address));
    watched.until_silent().await;
    assert!(!peers.is_up(address));
}
