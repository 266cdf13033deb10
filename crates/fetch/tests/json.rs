//! Documents, refusals and limits.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::Value;
use swiftlink_fetch::{Http, HttpError, JsonError, Limits, Vm, VmList, VmState};

/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(30);

/// Answers every connection with `status` and `body`; with no body, not at all.
fn serve(status: &str, body: Option<&str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = body.map(|body| {
        let size = body.len();
        format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {size}\r\n\r\n{body}")
    });
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let Some(answer) = &answer else {
                held.push(socket);
                continue;
            };
            let _read = socket.read(&mut [0; 4096]).unwrap();
            socket.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

async fn read(address: SocketAddr, time: Duration, bytes: usize) -> Result<Value, JsonError> {
    let limits = Limits { time, bytes };
    Http::open("test").json(address, "/x", limits).await
}

#[tokio::test]
async fn a_document_is_read_up_to_its_limit() {
    let address = serve("200 OK", Some("[1,2]"));
    assert_eq!(
        read(address, LONG, 5).await.unwrap(),
        serde_json::json!([1, 2])
    );
    let large = read(address, LONG, 4).await;
    assert!(
        matches!(large, Err(JsonError::Http(HttpError::Lost(_)))),
        "{large:?}"
    );
}

#[tokio::test]
async fn a_refusal_or_another_form_is_no_document() {
    let refused = read(serve("503 Busy", Some("[]")), LONG, 9).await;
    assert!(matches!(refused, Err(JsonError::Status(_, _, status)) if status == 503));
    let other = read(serve("200 OK", Some("[1,")), LONG, 9).await;
    assert!(matches!(other, Err(JsonError::Form(_))), "{other:?}");
}

#[tokio::test]
async fn a_silent_server_is_given_up() {
    let silent = read(serve("", None), Duration::from_millis(50), 9).await;
    assert!(
        matches!(silent, Err(JsonError::Http(HttpError::Timeout(_)))),
        "{silent:?}"
    );
}

#[tokio::test]
async fn the_vm_list_says_who_stays() {
    let body = r#"{"version":3,"vms":[{"name":"a","domain":"d","state":"leaving"}]}"#;
    let address = serve("200 OK", Some(body));
    let list = VmList::<Vm>::read(&Http::open("test"), address, LONG)
        .await
        .unwrap();
    let leaving = Vm {
        name: "a".to_owned(),
        state: VmState::Leaving,
    };
    assert_eq!((list.version, list.vms), (3, vec![leaving]));
}
