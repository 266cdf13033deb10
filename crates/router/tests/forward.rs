//! Responses of plain services, forwarded as they arrive.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use swiftlink_gateway::upstream::{SendOptions, send};
use swiftlink_router::engine::plain;
use swiftlink_router::forward::pass_response;
use swiftlink_router::reply::channel;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(10);

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
    let options = SendOptions {
        connect: TIMEOUT,
        response: TIMEOUT,
        fresh: true,
        may_abort: false,
    };
    let request = plain(address, Method::GET, "/x", bytes::Bytes::new());
    let sent = send(address, request, options).await.expect("a response");
    let _listener = server.await.expect("the server");
    let (response, mut lease) = sent.split();
    let (sender, mut pieces) = channel();
    let is_complete = pass_response(response, address, &mut lease, &sender).await;
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
