//! Clients that speak HTTP/1.0 and can't decode chunks.

mod common;

use std::io;
use std::time::Duration;

use bytes::Bytes;
use common::{Client, serve};
use http::StatusCode;
use swiftlink_shell::web::{Body, Incoming, Limits, Response, service};

const LONG: Duration = Duration::from_secs(60);

/// Streams two pieces; `/broken` fails after the first one.
async fn stream(request: Incoming) -> Response {
    let is_broken = request.uri().path() == "/broken";
    let pieces = async_stream::stream! {
        yield Ok(Bytes::from("one"));
        if is_broken {
            yield Err(io::Error::other("broken"));
        }
        yield Ok(Bytes::from("two"));
    };
    Response::new(Body::stream(pieces))
}

async fn get(path: &str) -> common::Answer {
    let server = serve(Limits::default(), service(stream));
    let mut client = Client::open(server.address()).await;
    client.send(format!("GET {path} HTTP/1.0\r\n\r\n")).await;
    let answer = client.answer().await.unwrap();
    server.stop(LONG).await;
    answer
}

/// Guards against chunks that the client takes for content.
#[tokio::test]
async fn a_stream_is_sent_with_its_length() {
    let answer = get("/whole").await;
    assert_eq!(answer.header("transfer-encoding"), None);
    assert_eq!(answer.header("content-length"), Some("6"));
    assert_eq!((answer.status, answer.text()), (200, "onetwo"));
}

/// Guards against a stream that broke off and looks complete, since its connection was closed.
#[tokio::test]
async fn a_stream_that_breaks_off_is_a_failure() {
    let answer = get("/broken").await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(answer.header("content-length").is_some());
}
