//! A server at its limit of open connections.

mod common;

use std::time::Duration;

use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Limits, Response, WebServer, service, text};

const LONG: Duration = Duration::from_secs(60);

/// Responds with the path. `/block` keeps the worker thread busy for longer than a heartbeat may
/// take.
async fn echo(request: Incoming) -> Response {
    if request.uri().path() == "/block" {
        std::thread::sleep(Duration::from_secs(3));
    }
    text(StatusCode::OK, request.uri().path().to_owned())
}

fn server_with(connections: usize) -> WebServer {
    let limits = Limits {
        connections,
        workers: 1,
        ..Limits::default()
    };
    serve(limits, service(echo))
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
