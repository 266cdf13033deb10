//! Closing a server to new connections, and reopening it.

mod common;

use std::time::Duration;

use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Incoming, Limits, Response, WebServer, service, text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LONG: Duration = Duration::from_secs(60);
const REQUEST: &[u8] = b"GET /again HTTP/1.1\r\nhost: x\r\n\r\n";

/// Responds with method and path.
async fn echo(request: Incoming) -> Response {
    let line = format!("{} {}", request.method(), request.uri());
    text(StatusCode::OK, line)
}

fn echo_server() -> WebServer {
    serve(Limits::default(), service(echo))
}

#[tokio::test]
async fn a_closed_gate_refuses_connections_and_keeps_those_that_are_open() {
    let server = echo_server();
    let address = server.address();
    let mut client = Client::open(address).await;
    client.post("/first", b"x").await;
    assert_eq!(client.answer().await.unwrap().text(), "POST /first");

    let gate = server.gate();
    gate.set(false);
    while let Ok(socket) = TcpStream::connect(address).await {
        // Accepted before the listener closed.
        drop(socket);
        tokio::task::yield_now().await;
    }
    client.post("/kept", b"x").await;
    assert_eq!(client.answer().await.unwrap().text(), "POST /kept");

    gate.set(true);
    let mut again = loop {
        match TcpStream::connect(address).await {
            Ok(socket) => break socket,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    again.write_all(REQUEST).await.unwrap();
    let mut first = [0; 12];
    again.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_server_stops_while_its_gate_is_closed() {
    let server = echo_server();
    let gate = server.gate();
    gate.set(false);
    while TcpStream::connect(server.address()).await.is_ok() {
        tokio::task::yield_now().await;
    }
    server.stop(LONG).await;
    assert!(!gate.is_open());
}
