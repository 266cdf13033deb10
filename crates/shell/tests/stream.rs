//! Streamed responses: flushing, clients that disconnect, and stops.

mod common;

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Body, Incoming, Limits, Response, Service, text};
use tokio::sync::{Mutex, mpsc};

const LONG: Duration = Duration::from_secs(60);

type Pieces = mpsc::Receiver<Bytes>;

/// Streams the pieces that the test sends. `/wait` never responds, `/plain` responds at
/// once.
struct Feed {
    pieces: Mutex<Vec<Pieces>>,
    started: mpsc::UnboundedSender<()>,
    dropped: mpsc::UnboundedSender<()>,
    calls: AtomicUsize,
}

/// Notifies the test when a future or stream is dropped.
struct Dropped(mpsc::UnboundedSender<()>);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _gone = self.0.send(());
    }
}

#[async_trait(?Send)]
impl Service for Feed {
    async fn call(&self, request: Incoming) -> Response {
        let guard = Dropped(self.dropped.clone());
        self.calls.fetch_add(1, Ordering::SeqCst);
        let _gone = self.started.send(());
        if request.uri().path() == "/wait" {
            std::future::pending::<()>().await;
        }
        if request.uri().path() == "/plain" {
            return text(StatusCode::OK, "plain");
        }
        let mut pieces = self.pieces.lock().await.pop().unwrap();
        Response::new(Body::stream(async_stream::stream! {
            let _guard = guard;
            while let Some(piece) = pieces.recv().await {
                yield Ok::<_, io::Error>(piece);
            }
        }))
    }
}

struct Setup {
    feed: Arc<Feed>,
    senders: Vec<mpsc::Sender<Bytes>>,
    started: mpsc::UnboundedReceiver<()>,
    dropped: mpsc::UnboundedReceiver<()>,
    server: swiftlink_shell::web::WebServer,
}

struct Shared(Arc<Feed>);

#[async_trait(?Send)]
impl Service for Shared {
    async fn call(&self, request: Incoming) -> Response {
        self.0.call(request).await
    }
}

fn setup(streams: usize) -> Setup {
    let (started_sender, started) = mpsc::unbounded_channel();
    let (dropped_sender, dropped) = mpsc::unbounded_channel();
    let mut senders = Vec::new();
    let mut pieces = Vec::new();
    for _ in 0..streams {
        let (sender, receiver) = mpsc::channel(1);
        senders.insert(0, sender);
        pieces.push(receiver);
    }
    let feed = Arc::new(Feed {
        pieces: Mutex::new(pieces),
        started: started_sender,
        dropped: dropped_sender,
        calls: AtomicUsize::new(0),
    });
    let server = serve(Limits::default(), Shared(Arc::clone(&feed)));
    Setup {
        feed,
        senders,
        started,
        dropped,
        server,
    }
}

#[tokio::test]
async fn each_piece_is_sent_at_once() {
    let setup = setup(1);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/").await;
    assert_eq!(client.head().await.unwrap().0, 200);
    for n in 0..500 {
        // The next piece is sent only after the client has received this one.
        let piece = format!("data: {n}\n\n");
        setup.senders[0]
            .send(Bytes::from(piece.clone()))
            .await
            .unwrap();
        assert_eq!(client.chunk().await.unwrap(), piece.as_bytes());
    }
    drop(setup.senders);
    assert_eq!(client.chunk().await.unwrap(), b"");
    client.get("/plain").await;
    assert_eq!(client.answer().await.unwrap().text(), "plain");
    setup.server.stop(LONG).await;
}

#[tokio::test]
async fn a_disconnect_drops_the_stream() {
    let mut setup = setup(1);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/").await;
    setup.senders[0]
        .send(Bytes::from_static(b"one"))
        .await
        .unwrap();
    client.head().await.unwrap();
    client.chunk().await.unwrap();
    drop(client);
    // No further piece is written, so only watching the connection reveals the close.
    setup.dropped.recv().await.unwrap();
    setup.senders[0].closed().await;
    setup.server.stop(LONG).await;
}

#[tokio::test]
async fn a_disconnect_drops_the_call() {
    let mut setup = setup(0);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/wait").await;
    setup.started.recv().await.unwrap();
    drop(client);
    setup.dropped.recv().await.unwrap();
    setup.server.stop(LONG).await;
}

#[tokio::test]
async fn a_client_that_does_not_read_applies_backpressure() {
    const PIECE: usize = 64 * 1024;
    /// A piece that is not accepted for this long is held back by flow control.
    const STUCK: Duration = Duration::from_millis(300);
    let setup = setup(1);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/").await;
    client.head().await.unwrap();
    let mut sent = 0;
    loop {
        let sending = setup.senders[0].send(Bytes::from(vec![b'x'; PIECE]));
        let taken = tokio::time::timeout(STUCK, sending).await;
        if taken.is_err() {
            break;
        }
        sent += 1;
        assert!(sent < 2_000, "the server buffers without bound");
    }
    let mut read = 0;
    drop(setup.senders);
    loop {
        let chunk = client.chunk().await.unwrap();
        if chunk.is_empty() {
            break;
        }
        read += chunk.len();
    }
    assert_eq!(read, sent * PIECE);
    setup.server.stop(LONG).await;
}

#[tokio::test]
async fn a_stop_lets_a_slow_stream_end() {
    let mut setup = setup(1);
    let address = setup.server.address();
    let mut client = Client::open(address).await;
    client.get("/").await;
    client.head().await.unwrap();
    let mut idle = Client::open(address).await;
    idle.get("/plain").await;
    idle.answer().await.unwrap();

    let stop = tokio::spawn(setup.server.stop(LONG));
    // The idle connection is closed at once, and no new one is accepted.
    assert!(idle.is_closed().await);
    while TcpStream::connect(address).is_ok() {}
    for n in 0..20 {
        assert!(!stop.is_finished());
        let piece = Bytes::from(n.to_string());
        setup.senders[0].send(piece.clone()).await.unwrap();
        assert_eq!(client.chunk().await.unwrap(), piece);
    }
    setup.senders.clear();
    assert_eq!(client.chunk().await.unwrap(), b"");
    assert!(client.is_closed().await);
    stop.await.unwrap();
    assert_eq!(setup.feed.calls.load(Ordering::SeqCst), 2);
}

#[tokio::test]
async fn a_stop_loses_no_byte_of_a_large_response() {
    let mut setup = setup(1);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/").await;
    client.head().await.unwrap();
    let sender = setup.senders.remove(0);
    let feeding = tokio::spawn(async move {
        for _ in 0..100 {
            sender.send(Bytes::from(vec![b'x'; 100_000])).await.unwrap();
        }
    });
    let first = client.chunk().await.unwrap().len();
    let stop = tokio::spawn(setup.server.stop(LONG));
    let rest = client.chunks().await.unwrap().len();
    assert_eq!(first + rest, 100 * 100_000);
    assert!(client.is_closed().await);
    feeding.await.unwrap();
    stop.await.unwrap();
}

#[tokio::test]
async fn a_stop_closes_streams_after_its_grace_period() {
    let mut setup = setup(1);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/").await;
    client.head().await.unwrap();
    setup.server.stop(Duration::from_millis(20)).await;
    client.chunks().await.unwrap_err();
    setup.dropped.recv().await.unwrap();
}

#[tokio::test]
async fn a_dropped_server_closes_its_connections() {
    let mut setup = setup(1);
    let mut client = Client::open(setup.server.address()).await;
    client.get("/").await;
    client.head().await.unwrap();
    drop(setup.server);
    assert!(client.chunks().await.is_err());
    setup.dropped.recv().await.unwrap();
}

#[tokio::test]
async fn servers_start_and_stop_many_times() {
    for _ in 0..20 {
        let setup = setup(0);
        let mut client = Client::open(setup.server.address()).await;
        client.get("/plain").await;
        assert_eq!(client.answer().await.unwrap().status, 200);
        setup.server.stop(LONG).await;
        assert!(client.is_closed().await);
    }
}
