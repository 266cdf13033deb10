//! Fetching documents: decoding, error statuses, and limits of size and time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::Value;
use swiftlink_fetch::{
    Arrival, Call, Http, HttpError, JsonError, Limits, Pace, Vm, VmList, VmState,
};

/// Never reached unless a test fails.
const LONG: Duration = Duration::from_secs(30);

/// Starts a server that answers every connection with `status` and `body`; without a body it
/// accepts connections and never answers.
fn serve(status: &str, body: Option<&str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = body.map(|body| {
        let size = body.len();
        format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {size}\r\n\r\n{body}")
    });
    std::thread::spawn(move || {
        let mut open_sockets = Vec::new();
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let Some(answer) = &answer else {
                open_sockets.push(socket);
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
    Http::open("test").get_json(address, "/x", limits).await
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
async fn error_statuses_and_malformed_documents_are_errors() {
    let refused = read(serve("503 Busy", Some("[]")), LONG, 9).await;
    assert!(matches!(refused, Err(JsonError::Status(_, _, status)) if status == 503));
    let other = read(serve("200 OK", Some("[1,")), LONG, 9).await;
    assert!(matches!(other, Err(JsonError::Decode(_))), "{other:?}");
}

#[tokio::test]
async fn a_server_that_never_answers_times_out() {
    let silent = read(serve("", None), Duration::from_millis(50), 9).await;
    assert!(
        matches!(silent, Err(JsonError::Http(HttpError::Timeout(_)))),
        "{silent:?}"
    );
}

#[tokio::test]
async fn the_vm_list_has_the_state_of_each_vm() {
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

/// Starts a server that sends a response head and half of the body. It sends the other half when
/// the sender is used, and never when the sender is dropped.
fn serve_halves() -> (SocketAddr, std::sync::mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (release, released) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (mut socket, _peer) = listener.accept().unwrap();
        let _read = socket.read(&mut [0; 4096]).unwrap();
        let half = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab";
        socket.write_all(half.as_bytes()).unwrap();
        if released.recv().is_ok() {
            socket.write_all(b"cd").unwrap();
        }
        // Keeps the connection open until the caller closes it.
        let _closed = socket.read(&mut [0; 1]);
    });
    (address, release)
}

fn unlimited() -> Pace {
    Pace {
        head: LONG,
        body: LONG,
        stall: LONG,
        chunk: 1,
    }
}

/// On a slow link a response that has begun may take longer than the time limit of its head.
#[tokio::test]
async fn a_large_response_may_outlast_the_head_timeout() {
    let head = Duration::from_secs(2);
    let (address, release) = serve_halves();
    let http = Http::open("test");
    let call = Call::get(address, "/x");
    let pace = Pace {
        head,
        ..unlimited()
    };
    let (answer, ()) = tokio::join!(http.fetch_large(&call, &pace, |_| ()), async {
        tokio::time::sleep(head + Duration::from_millis(200)).await;
        release.send(()).unwrap();
    });
    assert_eq!(&answer.unwrap().body[..], b"abcd");
}

#[tokio::test]
async fn a_large_response_that_stalls_times_out() {
    let short = Duration::from_millis(50);
    let http = Http::open("test");
    let (half, _held) = serve_halves();
    let silent = serve("", None);
    for (address, head, body) in [(half, LONG, short), (silent, short, LONG)] {
        let call = Call::get(address, "/x");
        let pace = Pace {
            head,
            body,
            ..unlimited()
        };
        let answer = http.fetch_large(&call, &pace, |_| ()).await;
        assert!(matches!(answer, Err(HttpError::Timeout(_))), "{answer:?}");
    }
}

/// Starts a server that sends `piece` again and again, `gap` apart, after the head of a response.
fn serve_pieces(piece: &'static [u8], gap: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut socket, _peer) = listener.accept().unwrap();
        let _read = socket.read(&mut [0; 4096]).unwrap();
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n";
        socket.write_all(head.as_bytes()).unwrap();
        while socket.write_all(piece).is_ok() {
            std::thread::sleep(gap);
        }
    });
    address
}

/// Guards against a response of which a byte comes now and then, and which counts as going on.
#[tokio::test]
async fn a_body_has_to_go_on_by_a_chunk_within_its_time_limit() {
    let pace = Pace {
        stall: Duration::from_millis(400),
        chunk: 1_000,
        ..unlimited()
    };
    let gap = Duration::from_millis(10);
    let http = Http::open("test");
    let address = serve_pieces(b"x", gap);
    let call = Call::get(address, "/x");
    let trickle = http.fetch_large(&call, &pace, |_| ());
    let error = trickle.await.unwrap_err();
    assert!(matches!(error, HttpError::Timeout(time) if time == pace.stall));
    // Slow, but steady: a thousand pieces of a thousand bytes.
    let address = serve_pieces(&[b'x'; 1_000], Duration::from_millis(1));
    let bytes = std::cell::Cell::new(0);
    let call = Call::get(address, "/x");
    let steady = http.fetch_large(&call, &pace, |arrival| {
        if let Arrival::Bytes(count) = arrival {
            bytes.set(bytes.get() + count);
        }
    });
    assert_eq!(steady.await.unwrap().body.len(), 1_000_000);
    assert_eq!(bytes.get(), 1_000_000);
}
