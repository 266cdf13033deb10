//! Bytes that are neither heads nor content.

mod common;

use std::time::Duration;

use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Limits, Response, WebServer, service, text};

const LONG: Duration = Duration::from_secs(60);
/// Largest body.
const LIMIT: usize = 1 << 20;
/// More than a server takes without content.
const FLOOD: usize = 64 << 20;

/// Responds with the length of the body.
async fn length(mut request: Incoming) -> Response {
    match request.body(LIMIT).await {
        Ok(body) => text(StatusCode::OK, body.len().to_string()),
        Err(error) => text(error.status(), error.to_string()),
    }
}

fn server() -> WebServer {
    let limits = Limits {
        workers: 1,
        ..Limits::default()
    };
    serve(limits, service(length))
}

const CHUNKED: &str = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";

/// Whether the server closes the connection before it has taken a flood of `piece` after `start`.
async fn is_ended(start: &str, piece: &str) -> bool {
    let server = server();
    let mut client = Client::open(server.address()).await;
    client.send(start).await;
    let block = piece.repeat(65_536 / piece.len());
    let mut sent = 0;
    while sent < FLOOD && client.try_send(&block).await {
        sent += block.len();
    }
    server.stop(Duration::ZERO).await;
    sent < FLOOD
}

/// Guards against a thread that is busy with what no limit counts.
#[tokio::test]
async fn a_chunk_extension_without_end_ends_the_connection() {
    assert!(is_ended(&format!("{CHUNKED}4;"), "x").await);
}

#[tokio::test]
async fn a_chunk_size_without_end_ends_the_connection() {
    assert!(is_ended(CHUNKED, "0").await);
}

#[tokio::test]
async fn long_extensions_of_small_chunks_end_the_connection() {
    let chunk = format!("1;{}\r\nx\r\n", "x".repeat(1_000));
    assert!(is_ended(CHUNKED, &chunk).await);
}

#[tokio::test]
async fn trailers_without_end_end_the_connection() {
    assert!(is_ended(&format!("{CHUNKED}4\r\nbody\r\n0\r\n"), "x-a: b\r\n").await);
}

#[tokio::test]
async fn empty_lines_without_end_end_the_connection() {
    assert!(is_ended("", "\r\n").await);
}

#[tokio::test]
async fn chunks_of_one_byte_are_served() {
    let server = server();
    let mut client = Client::open(server.address()).await;
    client.send(CHUNKED).await;
    client.send("1\r\nx\r\n".repeat(200_000)).await;
    client.send("0\r\n\r\n").await;
    assert_eq!(client.answer().await.unwrap().text(), "200000");
    server.stop(LONG).await;
}

#[tokio::test]
async fn requests_that_are_sent_at_once_are_served() {
    let server = server();
    let mut client = Client::open(server.address()).await;
    let head = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nx-a: {}\r\n\r\n",
        "a".repeat(900)
    );
    client.send(head.repeat(400)).await;
    for _ in 0..400 {
        assert_eq!(client.answer().await.unwrap().text(), "0");
    }
    server.stop(LONG).await;
}
