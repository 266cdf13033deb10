//! Bodies that fill the memory which a server has for them.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Body, Incoming, Limits, Response, WebServer, service, text};

const LONG: Duration = Duration::from_secs(60);
/// Longer than a client may be behind before others get its memory.
const BEHIND: Duration = Duration::from_millis(2_500);
/// Memory for bodies; a quarter of it is for small ones.
const MEMORY: usize = 4 << 20;
/// Memory for large bodies.
const LARGE: usize = 3 << 20;
/// Largest body.
const LIMIT: usize = 8 << 20;

/// Copies of bodies that a service keeps.
type Kept = Arc<Mutex<Vec<Bytes>>>;

/// A server that reads bodies, and keeps those that are sent to `/keep`.
fn server() -> (WebServer, Kept) {
    let kept = Kept::default();
    let shared = Arc::clone(&kept);
    let limits = Limits {
        workers: 1,
        body_memory: MEMORY,
        ..Limits::default()
    };
    let read = move |mut request: Incoming| {
        let kept = Arc::clone(&shared);
        async move {
            let body = match request.body(LIMIT).await {
                Ok(body) => body,
                Err(error) => return failed(error.status()),
            };
            let length = body.len();
            if request.uri().path() == "/keep" {
                kept.lock().unwrap().push(body.slice(1..));
            }
            text(StatusCode::OK, length.to_string())
        }
    };
    (serve(limits, service(read)), kept)
}

fn failed(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

async fn status(client: &mut Client) -> u16 {
    client.answer().await.unwrap().status
}

/// Sends a whole request on a new connection.
async fn post(server: &WebServer, path: &str, length: usize) -> u16 {
    let mut client = Client::open(server.address()).await;
    client.post(path, &vec![b'x'; length]).await;
    status(&mut client).await
}

/// Begins a request that lacks a byte.
async fn begin(server: &WebServer, length: usize) -> Client {
    let mut client = Client::open(server.address()).await;
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n");
    client.send(head).await;
    client.send(vec![b'x'; length - 1]).await;
    client
}

async fn until_held(server: &WebServer, is_met: impl Fn(usize) -> bool) {
    while !is_met(server.memory().held()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a count that is given back when a body has been read.
#[tokio::test]
async fn a_body_holds_its_memory_until_its_last_copy_is_dropped() {
    let (server, kept) = server();
    assert_eq!(post(&server, "/keep", LARGE).await, 200);
    assert_eq!(server.memory().held(), LARGE);
    assert_eq!(post(&server, "/", LARGE).await, 503);
    kept.lock().unwrap().clear();
    until_held(&server, |held| held == 0).await;
    assert_eq!(post(&server, "/", LARGE).await, 200);
    server.stop(LONG).await;
}

#[tokio::test]
async fn small_bodies_never_wait_behind_large_ones() {
    let (server, _kept) = server();
    assert_eq!(post(&server, "/keep", LARGE).await, 200);
    assert_eq!(post(&server, "/", 64 << 10).await, 200);
    assert_eq!(post(&server, "/", (64 << 10) + 1).await, 503);
    server.stop(LONG).await;
}

#[tokio::test]
async fn large_bodies_never_wait_behind_small_ones() {
    let (server, _kept) = server();
    for _ in 0..(MEMORY - LARGE) / (64 << 10) {
        assert_eq!(post(&server, "/keep", 64 << 10).await, 200);
    }
    assert_eq!(post(&server, "/", 64 << 10).await, 503);
    assert_eq!(post(&server, "/", LARGE).await, 200);
    server.stop(LONG).await;
}

/// No other server would take it either.
#[tokio::test]
async fn a_body_of_legal_size_that_exceeds_the_memory_is_served_alone() {
    let (server, _kept) = server();
    assert_eq!(post(&server, "/", LIMIT).await, 200);
    assert_eq!(post(&server, "/keep", 65 << 10).await, 200);
    assert_eq!(post(&server, "/", LIMIT).await, 503);
    server.stop(LONG).await;
}

/// Guards against a crowd that keeps the memory until its deadlines by sending nothing.
#[tokio::test]
async fn a_body_that_comes_too_slowly_makes_room_for_others() {
    let (server, _kept) = server();
    let mut slow = begin(&server, LARGE).await;
    until_held(&server, |held| held == LARGE).await;
    assert_eq!(post(&server, "/", LARGE).await, 503);
    tokio::time::sleep(BEHIND).await;
    assert_eq!(post(&server, "/", LARGE).await, 200);
    assert_eq!(status(&mut slow).await, 408);
    assert!(slow.is_closed().await);
    server.stop(LONG).await;
}

/// Guards against clients that keep their place with a byte now and then.
#[tokio::test]
async fn a_byte_now_and_then_does_not_keep_the_memory() {
    let (server, _kept) = server();
    let mut slow = Client::open(server.address()).await;
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE}\r\n\r\n");
    slow.send(head).await;
    for _ in 0..25 {
        slow.send(b"x").await;
        tokio::time::sleep(BEHIND / 25).await;
    }
    assert_eq!(post(&server, "/", LARGE).await, 200);
    assert_eq!(status(&mut slow).await, 408);
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_slow_body_is_served_while_there_is_room() {
    let (server, _kept) = server();
    let mut slow = begin(&server, 1 << 20).await;
    until_held(&server, |held| held == 1 << 20).await;
    tokio::time::sleep(BEHIND).await;
    assert_eq!(post(&server, "/", 2 << 20).await, 200);
    slow.send(b"x").await;
    assert_eq!(status(&mut slow).await, 200);
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_body_in_chunks_holds_what_it_needs() {
    let (server, _kept) = server();
    let mut client = Client::open(server.address()).await;
    let head = "POST /keep HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    client.send(head).await;
    for _ in 0..LARGE / 65_536 {
        client.send(b"10000\r\n").await;
        client.send(vec![b'x'; 65_536]).await;
        client.send(b"\r\n").await;
    }
    client.send(b"0\r\n\r\n").await;
    assert_eq!(status(&mut client).await, 200);
    let held = server.memory().held();
    assert!((LARGE..=2 * LARGE).contains(&held), "{held}");
    server.stop(LONG).await;
}

/// Guards against a client that waits for the refusal while the server waits for its body.
#[tokio::test]
async fn a_declared_length_without_room_is_refused_before_the_body_arrives() {
    let (server, _kept) = server();
    assert_eq!(post(&server, "/keep", LARGE).await, 200);
    let mut client = Client::open(server.address()).await;
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE}\r\n\r\n");
    client.send(head).await;
    assert_eq!(status(&mut client).await, 503);
    server.stop(LONG).await;
}
