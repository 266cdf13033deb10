//! How `HttpLog` maps responses and connection failures to errors, against a tiny TCP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use swiftlink_log::{HttpLog, Log, LogError};
use swiftlink_types::StreamName;
use swiftlink_wire::log::{LogPage, LogRecord};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

/// What the server does after it has read a request.
#[derive(Clone, Debug)]
enum Response {
    Status(u16, Vec<u8>),
    /// Announces more bytes than it sends.
    Truncated(u16),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Hang,
}

/// A server that handles one request per connection and records what it read.
struct FakeServer {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl FakeServer {
    async fn spawn(response: Response) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(serve(listener, response, Arc::clone(&seen)));
        Self {
            address,
            seen,
            task,
        }
    }

    fn log(&self, timeout: Duration) -> HttpLog {
        HttpLog::open(self.address, "ledger-1", timeout)
    }

    async fn append(&self, timeout: Duration) -> Result<u64, LogError> {
        let data = Bytes::from_static(b"record");
        self.log(timeout).append(&stream(), data).await
    }

    async fn read(&self, timeout: Duration) -> Result<LogPage, LogError> {
        let log = self.log(timeout);
        log.read(&stream(), 7, 100, Duration::from_millis(20)).await
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, response: Response, seen: Arc<Mutex<Vec<String>>>) {
    let mut hanging = Vec::new();
    while let Ok((mut socket, _from)) = listener.accept().await {
        let request = read_request(&mut socket).await;
        seen.lock().await.push(request);
        let (status, length, body) = match &response {
            Response::Status(status, body) => (*status, body.len(), body.clone()),
            Response::Truncated(status) => (*status, 100, b"{\"off".to_vec()),
            Response::Close => continue,
            Response::Hang => {
                hanging.push(socket);
                continue;
            }
        };
        let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
        let _sent = socket.write_all(head.as_bytes()).await;
        let _sent = socket.write_all(&body).await;
    }
}

async fn read_request(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    loop {
        let read = socket.read_buf(&mut text).await.unwrap_or(0);
        let request = String::from_utf8_lossy(&text).into_owned();
        let ended = request.starts_with("GET") && request.ends_with("\r\n\r\n");
        if read == 0 || ended || request.ends_with("record") {
            return request;
        }
    }
}

fn stream() -> StreamName {
    StreamName::from("budget-0")
}

fn status(status: u16, body: &str) -> Response {
    Response::Status(status, body.as_bytes().to_vec())
}

#[tokio::test]
async fn an_append_returns_the_offset_and_sends_the_user_agent() {
    let server = FakeServer::spawn(status(200, "{\"offset\":42}")).await;
    assert_eq!(server.append(LONG_TIMEOUT).await, Ok(42));

    let seen = server.seen.lock().await.join("");
    assert!(
        seen.starts_with("POST /streams/budget-0 HTTP/1.1"),
        "{seen}"
    );
    assert!(seen.contains("user-agent: ledger-1"), "{seen}");
}

#[tokio::test]
async fn a_read_returns_the_page() {
    let record = LogRecord {
        offset: 7,
        data: b"x".to_vec(),
    };
    let page = LogPage {
        first: 3,
        next: 8,
        records: vec![record],
    };
    let server = FakeServer::spawn(Response::Status(200, page.encode_to_vec())).await;
    assert_eq!(server.read(LONG_TIMEOUT).await, Ok(page));

    let seen = server.seen.lock().await.join("");
    let line = "GET /streams/budget-0?from=7&max=100&wait_ms=20 HTTP/1.1";
    assert!(seen.starts_with(line), "{seen}");
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_unavailable() {
    // Bound but not listening: the port stays reserved and refuses connections.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("a free port");
    let address = socket.local_addr().expect("bound");

    let log = HttpLog::open(address, "ledger-1", LONG_TIMEOUT);
    let appended = log.append(&stream(), Bytes::from_static(b"record")).await;
    assert!(
        matches!(appended, Err(LogError::Unavailable(_))),
        "{appended:?}"
    );
    let read = log.read(&stream(), 0, 1, Duration::ZERO).await;
    assert!(matches!(read, Err(LogError::Unavailable(_))), "{read:?}");
}

#[tokio::test]
async fn responses_map_to_errors() {
    let cases = [
        (Response::Close, "unknown", "unavailable"),
        (Response::Hang, "unknown", "unavailable"),
        (Response::Truncated(200), "unknown", "unavailable"),
        (status(200, "nonsense"), "unknown", "protocol"),
        (status(500, ""), "unknown", "unavailable"),
        (status(503, ""), "unavailable", "unavailable"),
        (status(429, ""), "unavailable", "unavailable"),
        (status(413, ""), "protocol", "protocol"),
        (status(410, "{\"first\":12}"), "trimmed 12", "trimmed 12"),
        (status(410, "nonsense"), "protocol", "protocol"),
    ];
    for (response, append, read) in cases {
        let timeout = match response {
            Response::Hang => SHORT_TIMEOUT,
            _ => LONG_TIMEOUT,
        };
        let server = FakeServer::spawn(response.clone()).await;
        let append_result = server.append(timeout).await.map(|_offset| ());
        let read_result = server.read(timeout).await.map(|_page| ());
        assert_eq!(kind(append_result), append, "append at {response:?}");
        assert_eq!(kind(read_result), read, "read at {response:?}");
        let seen = server.seen.lock().await.len();
        assert_eq!(seen, 2, "a call was retried after {response:?}");
    }
}

fn kind(result: Result<(), LogError>) -> String {
    match result {
        Ok(()) => "ok".to_owned(),
        Err(LogError::Unavailable(_)) => "unavailable".to_owned(),
        Err(LogError::Unknown(_)) => "unknown".to_owned(),
        Err(LogError::Protocol(_)) => "protocol".to_owned(),
        Err(LogError::Trimmed { first }) => format!("trimmed {first}"),
    }
}
