//! A server at its limit of open connections.

mod common;

use std::time::Duration;

use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Limits, Response, WebServer, service, text};

const LONG: Duration = Duration::from_secs(60);

/// Responds with the path. `/block` keeps the worker thread busy for longer than a heartbeat may
/// take.
async fn echo(mut request: Incoming) -> Response {
    if let Err(error) = request.body(1_000).await {
        return text(error.status(), error.to_string());
    }
    if request.uri().path() == "/block" {
        std::thread::sleep(Duration::from_secs(3));
    }
    text(StatusCode::OK, request.uri().path().to_owned())
}

fn server_with(connections: usize) -> WebServer {
    server_with_grace(connections, Limits::default().grace)
}

fn server_with_grace(connections: usize, grace: Duration) -> WebServer {
    let limits = Limits {
        connections,
        workers: 1,
        grace,
        ..Limits::default()
    };
    serve(limits, service(echo))
}

/// Begins a request whose body lacks a byte.
async fn begin(server: &WebServer) -> Client {
    let mut client = Client::open(server.address()).await;
    let head = "POST /body HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nbody";
    client.send(head).await;
    client
}

async fn served(client: &mut Client, path: &str) -> bool {
    client.get(path).await;
    client
        .answer()
        .await
        .is_ok_and(|answer| answer.text() == path)
}

/// Guards against a server that refuses all new clients while others keep connections that they
/// don't use.
#[tokio::test]
async fn idle_connections_make_room_for_new_ones_the_longest_idle_first() {
    let server = server_with(3);
    let address = server.address();
    let mut clients = Vec::new();
    for path in ["/a", "/b", "/c"] {
        let mut client = Client::open(address).await;
        assert!(served(&mut client, path).await);
        clients.push(client);
        // Two connections may end their responses in the same millisecond otherwise.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(served(&mut clients[0], "/again").await);
    assert!(served(&mut Client::open(address).await, "/new").await);
    assert!(clients[1].is_closed().await);
    assert!(served(&mut clients[0], "/a").await);
    assert!(served(&mut clients[2], "/c").await);
    assert_eq!(server.intake().counts().rejected(), 0);
    server.stop(LONG).await;
}

/// Guards against a burst that waits for the connections that make room for the first of it only.
#[tokio::test]
async fn idle_connections_make_room_for_a_burst_of_new_ones() {
    let server = server_with(3);
    let address = server.address();
    let mut idle = Vec::new();
    for _ in 0..3 {
        let mut client = Client::open(address).await;
        assert!(served(&mut client, "/idle").await);
        idle.push(client);
    }
    let mut burst = Vec::new();
    for _ in 0..3 {
        burst.push(Client::open(address).await);
    }
    for client in &mut burst {
        assert!(served(client, "/burst").await);
    }
    assert_eq!(server.intake().counts().rejected(), 0);
    server.stop(LONG).await;
}

/// Clients don't retry a request that failed on a new connection.
#[tokio::test]
async fn connections_before_their_first_request_are_not_closed_for_others() {
    let server = server_with(2);
    let address = server.address();
    let mut first = Client::open(address).await;
    let mut second = Client::open(address).await;
    while server.intake().counts().taken < 2 {
        tokio::task::yield_now().await;
    }
    let mut third = Client::open(address).await;
    assert_eq!(third.answer().await.unwrap().status, 503);
    assert!(!server.intake().has_room());
    assert!(served(&mut first, "/first").await);
    assert!(served(&mut second, "/second").await);
    assert!(server.intake().has_room());
    server.stop(LONG).await;
}

/// Guards against a crowd that takes all connections and sends nothing.
#[tokio::test]
async fn connections_without_a_request_make_room_when_their_clients_are_behind() {
    let server = server_with_grace(2, Duration::from_millis(100));
    let address = server.address();
    let mut silent = Client::open(address).await;
    while server.intake().counts().taken < 1 {
        tokio::task::yield_now().await;
    }
    // Both may be taken in the same millisecond otherwise.
    tokio::time::sleep(Duration::from_millis(5)).await;
    let mut begun = Client::open(address).await;
    begun.send("GET /begun HTTP/1.1\r\nhost:").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(server.intake().has_room());
    assert!(served(&mut Client::open(address).await, "/new").await);
    assert!(silent.is_closed().await);
    begun.send(" x\r\n\r\n").await;
    assert_eq!(begun.answer().await.unwrap().text(), "/begun");
    assert_eq!(server.intake().counts().stalled, 1);
    server.stop(LONG).await;
}

/// Guards against a crowd that takes all connections and stops just short of the end of its bodies.
#[tokio::test]
async fn connections_with_a_body_make_room_when_their_clients_are_behind() {
    let server = server_with_grace(1, Duration::from_millis(100));
    let mut stalled = begin(&server).await;
    while server.intake().counts().taken < 1 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(served(&mut Client::open(server.address()).await, "/new").await);
    assert_eq!(stalled.answer().await.unwrap().status, 408);
    assert!(stalled.is_closed().await);
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_client_that_is_behind_is_served_while_there_is_room() {
    let server = server_with_grace(2, Duration::from_millis(100));
    let mut stalled = begin(&server).await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(served(&mut Client::open(server.address()).await, "/new").await);
    stalled.send("y").await;
    assert_eq!(stalled.answer().await.unwrap().status, 200);
    assert_eq!(server.intake().counts().stalled, 0);
    server.stop(LONG).await;
}

/// Guards against a readiness endpoint that reports on another thread than the one that hangs.
#[tokio::test]
async fn a_stuck_worker_shows_that_it_accepts_nothing() {
    let server = server_with(8);
    let intake = server.intake();
    assert!(intake.is_accepting());
    let mut client = Client::open(server.address()).await;
    client.get("/block").await;
    while intake.is_accepting() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(intake.is_listening());
    while !intake.is_accepting() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(client.answer().await.unwrap().status, 200);
    server.stop(LONG).await;
}
