//! Requests, bodies, limits and connections of the HTTP server.

mod common;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use common::{Client, serve};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{Method, StatusCode};
use swiftlink_shell::web::{
    Body, HEADER_BYTES, Incoming, Limits, Response, Service, WebServer, problem, service, text,
};
use tokio::sync::{mpsc, oneshot};

const BODY_LIMIT: usize = 1_000;
const LONG: Duration = Duration::from_secs(60);
/// A request that stays in flight: its body follows the response `100 Continue`, which is sent when the
/// service reads it.
const HALF_REQUEST: &str =
    "POST /half HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\nexpect: 100-continue\r\n\r\n";

/// Responds with method, path and body.
async fn echo(mut request: Incoming) -> Response {
    if request.uri().path() == "/ignore" {
        return text(StatusCode::OK, "ignored");
    }
    match request.body(BODY_LIMIT).await {
        Ok(body) => {
            let body = String::from_utf8_lossy(&body);
            let line = format!("{} {} {body}", request.method(), request.uri());
            text(StatusCode::OK, line)
        }
        Err(error) => problem(error.status(), &error.to_string()),
    }
}

fn echo_server() -> WebServer {
    serve(Limits::default(), service(echo))
}

#[tokio::test]
async fn many_requests_use_one_connection() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    for n in 0..1_000 {
        let body = format!("number {n}");
        client.post(&format!("/r/{n}"), body.as_bytes()).await;
        let answer = client.answer().await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.text(), format!("POST /r/{n} {body}"));
    }
    server.stop(LONG).await;
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    for n in 0..50 {
        client.post(&format!("/{n}"), b"x").await;
    }
    for n in 0..50 {
        assert_eq!(
            client.answer().await.unwrap().text(),
            format!("POST /{n} x")
        );
    }
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_body_at_the_limit_is_read_and_one_above_is_refused() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    client.post("/", &[b'a'; BODY_LIMIT]).await;
    assert_eq!(client.answer().await.unwrap().status, 200);
    client.post("/", &[b'a'; BODY_LIMIT + 1]).await;
    let answer = client.answer().await.unwrap();
    assert_eq!(answer.status, 413);
    assert_eq!(
        answer.header("content-type"),
        Some("application/problem+json")
    );
    // A small excess is discarded, so that the connection stays usable.
    client.post("/", b"again").await;
    assert_eq!(client.answer().await.unwrap().text(), "POST / again");
    server.stop(LONG).await;
}

#[tokio::test]
async fn expect_continue_is_refused_before_the_body_is_sent() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    let head = "POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 5000\r\n\r\n";
    client.send(head).await;
    let answer = client.answer().await.unwrap();
    assert_eq!(answer.status, 413);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(client.is_closed().await);
    server.stop(LONG).await;
}

#[tokio::test]
async fn expect_continue_gets_100() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    let head = "POST / HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n";
    client.send(head).await;
    assert_eq!(client.head().await.unwrap().0, 100);
    client.send("body").await;
    assert_eq!(client.answer().await.unwrap().text(), "POST / body");
    server.stop(LONG).await;
}

#[tokio::test]
async fn chunked_bodies_are_read_and_limited() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    let head = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    client
        .send(format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
        .await;
    assert_eq!(client.answer().await.unwrap().text(), "POST / abcde");
    let large = "a".repeat(BODY_LIMIT + 1);
    client
        .send(format!("{head}{:x}\r\n{large}\r\n0\r\n\r\n", large.len()))
        .await;
    assert_eq!(client.answer().await.unwrap().status, 413);
    server.stop(LONG).await;
}

#[tokio::test]
async fn an_unread_body_does_not_break_the_connection() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    for _ in 0..20 {
        client.post("/ignore", &[b'a'; 100_000]).await;
        assert_eq!(client.answer().await.unwrap().text(), "ignored");
    }
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_truncated_body_is_never_passed_as_complete() {
    let (sender, mut results) = mpsc::unbounded_channel();
    let server = serve(
        Limits::default(),
        service(move |mut request: Incoming| {
            let sender = sender.clone();
            async move {
                let result = request.body(BODY_LIMIT).await;
                if result.is_ok() {
                    sender.send(result).unwrap();
                }
                text(StatusCode::OK, "")
            }
        }),
    );
    for head in [
        "content-length: 10\r\n\r\nabc",
        "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ] {
        let mut client = Client::open(server.address()).await;
        client
            .send(format!("POST / HTTP/1.1\r\nhost: x\r\n{head}"))
            .await;
        drop(client);
    }
    server.stop(LONG).await;
    assert!(results.recv().await.is_none());
}

#[tokio::test]
async fn a_head_that_is_too_large_is_refused() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    let value = "a".repeat(HEADER_BYTES);
    client
        .send(format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {value}"))
        .await;
    assert_eq!(client.head().await.unwrap().0, 431);
    server.stop(LONG).await;
}

#[tokio::test]
async fn too_many_fields_and_bad_heads_are_refused() {
    let server = echo_server();
    let fields = "a: b\r\n".repeat(100);
    let fields = format!("GET / HTTP/1.1\r\n{fields}\r\n");
    for (head, status) in [
        (fields.as_str(), 431),
        ("GET\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", 400),
        (
            "POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            400,
        ),
    ] {
        let mut client = Client::open(server.address()).await;
        client.send(head).await;
        assert_eq!(client.head().await.unwrap().0, status, "{head}");
        assert!(client.is_closed().await);
    }
    server.stop(LONG).await;
}

#[tokio::test]
async fn slow_heads_and_idle_connections_are_closed() {
    // The server reads its clock every half second, so a shorter timeout would expire at
    // once.
    let short = Duration::from_secs(1);
    let limits = Limits {
        idle: short,
        head: short,
        body: Duration::from_millis(50),
        ..Limits::default()
    };
    let server = serve(limits, service(echo));
    let mut idle = Client::open(server.address()).await;
    assert!(idle.is_closed().await);
    let mut slow = Client::open(server.address()).await;
    slow.send("GET / HT").await;
    assert_eq!(slow.head().await.unwrap().0, 408);
    let mut slow = Client::open(server.address()).await;
    slow.send("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc")
        .await;
    assert_eq!(slow.head().await.unwrap().0, 408);
    server.stop(LONG).await;
}

#[tokio::test]
async fn responses_without_content_are_framed_correctly() {
    let server = serve(
        Limits::default(),
        service(|request: Incoming| async move {
            if request.method() == Method::DELETE {
                let mut response = text(StatusCode::NO_CONTENT, "never sent");
                *response.body_mut() = Body::empty();
                return response;
            }
            text(StatusCode::OK, "content")
        }),
    );
    let mut client = Client::open(server.address()).await;
    client.send("HEAD / HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let (status, head) = client.head().await.unwrap();
    assert_eq!(status, 200);
    assert!(head.contains("content-length: 7"), "{head}");
    client.send("DELETE / HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let (status, head) = client.head().await.unwrap();
    assert_eq!(status, 204);
    assert!(
        !head.contains("content-length") && !head.contains("chunked"),
        "{head}"
    );
    client.get("/").await;
    assert_eq!(client.answer().await.unwrap().text(), "content");
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_request_to_upgrade_is_answered_as_http_1() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    client
        .send("GET /u HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n")
        .await;
    let answer = client.answer().await.unwrap();
    assert_eq!((answer.status, answer.text()), (200, "GET /u "));
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(client.is_closed().await);
    server.stop(LONG).await;
}

#[tokio::test]
async fn connections_are_served_concurrently() {
    const CLIENTS: usize = 200;
    let waiting = Arc::new(AtomicUsize::new(0));
    let all = Arc::new(tokio::sync::Notify::new());
    let server = serve(
        Limits::default(),
        service(move |_request: Incoming| {
            let (waiting, all) = (Arc::clone(&waiting), Arc::clone(&all));
            async move {
                let notified = all.notified();
                tokio::pin!(notified);
                notified.as_mut().enable();
                if waiting.fetch_add(1, Ordering::SeqCst) + 1 == CLIENTS {
                    all.notify_waiters();
                }
                notified.await;
                text(StatusCode::OK, "all here")
            }
        }),
    );
    let address = server.address();
    let mut answers = FuturesUnordered::new();
    for _ in 0..CLIENTS {
        answers.push(async move {
            let mut client = Client::open(address).await;
            client.get("/").await;
            client.answer().await.unwrap().status
        });
    }
    while let Some(status) = answers.next().await {
        assert_eq!(status, 200);
    }
    server.stop(LONG).await;
}

#[tokio::test]
async fn excess_connections_get_503() {
    let limits = Limits {
        connections: 2,
        ..Limits::default()
    };
    let server = serve(limits, service(echo));
    let mut first = Client::open(server.address()).await;
    let mut second = Client::open(server.address()).await;
    for client in [&mut first, &mut second] {
        client.get("/").await;
        assert_eq!(client.answer().await.unwrap().status, 200);
        // A connection with a request in flight can't make room for another one.
        client.send(HALF_REQUEST).await;
        assert_eq!(client.head().await.unwrap().0, 100);
    }
    let mut third = Client::open(server.address()).await;
    let answer = third.answer().await.unwrap();
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("retry-after"), Some("1"));
    drop(first);
    // The permit is free as soon as the server has seen the close.
    loop {
        let mut next = Client::open(server.address()).await;
        next.get("/").await;
        // An unreadable response means that the connection was refused and closed.
        if next.answer().await.is_ok_and(|answer| answer.status == 200) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    second.send("x").await;
    assert_eq!(second.answer().await.unwrap().status, 200);
    server.stop(LONG).await;
}

/// Spawns tasks, sleeps, and calls its own server with a pooled client from a worker.
struct Nested;

#[async_trait::async_trait(?Send)]
impl Service for Nested {
    async fn call(&self, request: Incoming) -> Response {
        if request.uri().path() == "/inner" {
            return text(StatusCode::OK, "inner");
        }
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(1)).await;
            sender.send("spawned").unwrap();
        });
        let host = request.header("host").unwrap().to_owned();
        let client =
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build_http::<http_body_util::Empty<Bytes>>();
        let uri = format!("http://{host}/inner").parse().unwrap();
        let inner = client.get(uri).await.unwrap();
        let body = http_body_util::BodyExt::collect(inner.into_body())
            .await
            .unwrap();
        let inner = String::from_utf8(body.to_bytes().to_vec()).unwrap();
        text(
            StatusCode::OK,
            format!("{} {inner}", receiver.await.unwrap()),
        )
    }
}

#[tokio::test]
async fn tasks_timers_and_clients_work_within_a_service() {
    let server = serve(Limits::default(), Nested);
    let mut client = Client::open(server.address()).await;
    let address = server.address();
    for _ in 0..10 {
        client
            .send(format!("GET / HTTP/1.1\r\nhost: {address}\r\n\r\n"))
            .await;
        assert_eq!(client.answer().await.unwrap().text(), "spawned inner");
    }
    server.stop(LONG).await;
}

#[tokio::test]
async fn a_failing_stream_closes_the_connection() {
    let server = serve(
        Limits::default(),
        service(|_request: Incoming| async {
            let pieces = async_stream::stream! {
                yield Ok(Bytes::from_static(b"one"));
                yield Err(io::Error::other("lost"));
            };
            Response::new(Body::stream(pieces))
        }),
    );
    let mut client = Client::open(server.address()).await;
    client.get("/").await;
    assert_eq!(client.head().await.unwrap().0, 200);
    client.chunks().await.unwrap_err();
    server.stop(LONG).await;
}

/// Closing the listener would reset connections in the accept queue. Clients that have
/// connected and sent their request before a stop must get a response, even if no worker
/// has accepted them yet.
#[tokio::test]
async fn a_stop_answers_connections_in_the_accept_queue() {
    const WAITING: usize = 100;
    let (started, mut is_started) = mpsc::channel::<()>(1);
    let (release, released) = std::sync::mpsc::channel::<()>();
    let released = std::sync::Mutex::new(Some(released));
    let limits = Limits {
        workers: 1,
        ..Limits::default()
    };
    let server = serve(
        limits,
        service(move |_request: Incoming| {
            // The first request blocks the only worker, so that the others stay in the
            // accept queue.
            if let Some(released) = released.lock().unwrap().take() {
                started.try_send(()).unwrap();
                released.recv().unwrap();
            }
            async { text(StatusCode::OK, "served") }
        }),
    );
    let address = server.address();
    let mut first = Client::open(address).await;
    first.get("/first").await;
    is_started.recv().await.unwrap();
    let mut clients = Vec::new();
    for _ in 0..WAITING {
        let mut client = Client::open(address).await;
        client.get("/waiting").await;
        clients.push(client);
    }
    let stop = tokio::spawn(server.stop(LONG));
    tokio::task::yield_now().await;
    release.send(()).unwrap();
    assert_eq!(first.answer().await.unwrap().status, 200);
    for mut client in clients {
        let answer = client.answer().await.expect("an answer, no reset");
        assert_eq!(answer.status, 200);
        assert!(client.is_closed().await);
    }
    stop.await.unwrap();
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

/// A client that has just connected has a short time to send its request after a stop.
#[tokio::test]
async fn a_stop_leaves_a_new_connection_time_for_its_request() {
    let server = echo_server();
    let mut client = Client::open(server.address()).await;
    let stop = tokio::spawn(server.stop(LONG));
    tokio::task::yield_now().await;
    client.get("/late").await;
    assert_eq!(client.answer().await.expect("an answer").status, 200);
    stop.await.unwrap();
}
