//! Callers that stall while they send their request.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use swiftlink_testkit::fleet::MODEL;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::support::plan;

/// Less than the router's limit of time for a body.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a request that is held for as long as its caller sends its body, past its deadline: the
/// time counted from the end of the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_stalls_is_refused_at_its_deadline() {
    let fleet = plan().start().await.expect("the fleet starts");
    let request = fleet.caller(0).request(
        Method::POST,
        fleet.router(0),
        "/v1/chat/completions",
        Bytes::new(),
    );
    let key = request.headers()["authorization"].to_str().expect("text");
    let part = format!(r#"{{"model":"{MODEL}","#);
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: {key}\r\n\
         swiftlink-deadline-ms: 300\r\ncontent-length: 100\r\n\r\n{part}"
    );
    let mut stream = TcpStream::connect(fleet.router(0))
        .await
        .expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("sending");
    let mut answer = vec![0; 4_096];
    let read = timeout(TIMEOUT, stream.read(&mut answer)).await;
    let len = read.expect("an answer in time").expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..len]);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("swiftlink-outcome: not-run"), "{answer}");
}
