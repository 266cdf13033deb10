//! Responses of plain services, forwarded as they arrive.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method};
use swiftlink_gateway::upstream::{PendingResponse, SendOptions, send};
use swiftlink_router::engine::plain;
use swiftlink_router::forward::{for_peer, pass_response};
use swiftlink_router::reply::channel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request to the server at `address`.
async fn ask(address: SocketAddr) -> PendingResponse {
    let options = SendOptions {
        connect: TIMEOUT,
        response: TIMEOUT,
        fresh: true,
        may_abort: false,
    };
    let request = plain(address, Method::GET, "/x", bytes::Bytes::new());
    send(address, request, options).await.expect("a response")
}

/// Forwards a response that ends with its connection. Returns whether it was complete for the router,
/// and for its caller.
async fn forward(server_ends: bool) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _request = stream.read(&mut [0; 1024]).await.expect("a request");
        let text = format!("{HEAD}part");
        stream.write_all(text.as_bytes()).await.expect("responding");
        let listener = (!server_ends).then_some(listener);
        drop(stream);
        listener
    });
    let sent = ask(address).await;
    let _listener = server.await.expect("the server");
    let (response, lease) = sent.split();
    let (sender, mut pieces) = channel();
    let end = Instant::now() + TIMEOUT;
    let is_complete = pass_response(response, address, lease, &sender, end).await;
    drop(sender);
    let mut is_whole = true;
    while let Some(piece) = pieces.recv().await {
        is_whole &= piece.is_ok();
    }
    (is_complete, is_whole)
}

/// Guards against taking the connection of a server that crashed for the end of its response.
#[tokio::test]
async fn a_response_whose_server_has_ended_is_not_complete() {
    assert_eq!(forward(true).await, (false, false));
}

#[tokio::test]
async fn a_response_that_ends_with_its_connection_is_complete_if_its_server_runs() {
    assert_eq!(forward(false).await, (true, true));
}

/// Guards against a call that waits for the rest of its response without limit: the deadline ended when
/// the head of the response had arrived.
#[tokio::test]
async fn a_response_that_stalls_ends_at_the_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _request = stream.read(&mut [0; 1024]).await.expect("a request");
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nhalf";
        stream.write_all(text.as_bytes()).await.expect("responding");
        // Until the router closes the connection.
        let _closed = stream.read(&mut [0; 1]).await;
    });
    let sent = ask(address).await;
    let (response, lease) = sent.split();
    let (sender, mut pieces) = channel();
    let passing = pass_response(response, address, lease, &sender, Instant::now());
    let is_complete = timeout(TIMEOUT, passing).await.expect("an end");
    drop(sender);
    assert!(!is_complete);
    let mut last = None;
    while let Some(piece) = pieces.recv().await {
        last = Some(piece);
    }
    assert!(matches!(last, Some(Err(_))), "{last:?}");
    server.await.expect("the connection closes");
}

/// Guards against a router that gives a request relayed to it the time that its caller gave it at first.
#[test]
fn a_relayed_request_has_the_time_that_is_left() {
    let mut headers = HeaderMap::new();
    headers.insert("swiftlink-deadline-ms", HeaderValue::from_static("5000"));
    headers.insert("swiftlink-key", HeaderValue::from_static("k"));
    let relayed = for_peer(&headers, Duration::from_millis(1_200));
    assert_eq!(relayed["swiftlink-deadline-ms"], "1200");
    assert_eq!(relayed["swiftlink-key"], "k");
}
