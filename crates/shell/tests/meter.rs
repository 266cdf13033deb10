//! Bytes of requests and responses.

mod common;

use std::time::Duration;

use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Limits, Response, WebServer, service, text};

const LONG: Duration = Duration::from_secs(60);
const BODY_BYTES: usize = 100_000;

/// Refuses each request with its body unread.
async fn refuse(_request: Incoming) -> Response {
    text(StatusCode::TOO_MANY_REQUESTS, "later")
}

fn refusing_server() -> WebServer {
    serve(Limits::default(), service(refuse))
}

/// Waits until so many bytes were counted. The rest of a refused body is read after the response.
async fn until_received(server: &WebServer, bytes: usize) {
    while server.meter().total().received < bytes as u64 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a count that misses the bodies of requests that are refused.
#[tokio::test]
async fn bodies_of_refused_requests_are_counted() {
    let server = refusing_server();
    let mut client = Client::open(server.address()).await;
    client.post("/a", &vec![b'x'; BODY_BYTES]).await;
    assert_eq!(client.answer().await.unwrap().status, 429);
    until_received(&server, BODY_BYTES).await;
    assert!(server.meter().total().sent > "later".len() as u64);
    server.stop(LONG).await;
}

/// Guards against a count that misses bodies whose rest never comes.
#[tokio::test]
async fn bodies_that_end_early_are_counted() {
    let server = refusing_server();
    let mut client = Client::open(server.address()).await;
    let head = format!(
        "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
        2 * BODY_BYTES
    );
    client.send(head.as_bytes()).await;
    client.send(&vec![b'x'; BODY_BYTES]).await;
    until_received(&server, BODY_BYTES).await;
    drop(client);
    server.stop(LONG).await;
}
