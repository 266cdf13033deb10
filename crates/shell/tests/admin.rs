//! The admin endpoint.

mod common;

use std::net::TcpListener;
use std::sync::Arc;

use common::Client;
use serde_json::{Value, json};
use swiftlink_shell::{Admin, Dump};

struct State;

impl Dump for State {
    fn dump(&self) -> Value {
        json!({"queue": [1, 2]})
    }

    fn status(&self) -> Value {
        json!({"version": 7})
    }
}

#[tokio::test]
async fn dump_status_and_log_level_are_served() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let admin = Admin::listen(listener, Arc::new(State)).unwrap();
    let mut client = Client::open(admin.address()).await;

    client.get("/dump").await;
    assert_eq!(client.answer().await.unwrap().text(), r#"{"queue":[1,2]}"#);
    client.get("/status").await;
    assert_eq!(client.answer().await.unwrap().text(), r#"{"version":7}"#);

    client
        .send("PUT /log-level HTTP/1.1\r\nhost: x\r\ncontent-length: 6\r\n\r\ndebug\n")
        .await;
    assert_eq!(client.answer().await.unwrap().text(), "debug");
    client.get("/log-level").await;
    assert_eq!(client.answer().await.unwrap().text(), "debug");
    client
        .send("PUT /log-level HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nloud")
        .await;
    assert_eq!(client.answer().await.unwrap().status, 400);

    client.get("/other").await;
    assert_eq!(client.answer().await.unwrap().status, 404);
    client.post("/dump", b"").await;
    assert_eq!(client.answer().await.unwrap().status, 405);
    admin.stop().await;
}
