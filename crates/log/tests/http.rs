//! How `HttpLog` classifies what can happen to a call, against a tiny TCP server.

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

const LONG: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(200);

/// What the server does with each request once it has read it.
#[derive(Clone, Debug)]
enum Answer {
    Status(u16, Vec<u8>),
    /// Promises more bytes than it sends.
    Torn(u16),
    Cut,
    Silence,
}

/// Serves one request per connection and keeps what it read.
struct Fake {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Fake {
    async fn spawn(answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(serve(listener, answer, Arc::clone(&seen)));
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

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(listener: TcpListener, answer: Answer, seen: Arc<Mutex<Vec<String>>>) {
    let mut silent = Vec::new();
    while let Ok((mut socket, _from)) = listener.accept().await {
        let request = read_request(&mut socket).await;
        seen.lock().await.push(request);
        let (status, length, body) = match &answer {
            Answer::Status(status, body) => (*status, body.len(), body.clone()),
            Answer::Torn(status) => (*status, 100, b"{\"off".to_vec()),
            Answer::Cut => continue,
            Answer::Silence => {
                silent.push(socket);
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
        let whole = String::from_utf8_lossy(&text).into_owned();
        let ended = whole.starts_with("GET") && whole.ends_with("\r\n\r\n");
        if read == 0 || ended || whole.ends_with("record") {
            return whole;
        }
    }
}

fn stream() -> StreamName {
    StreamName::from("budget-0")
}

fn status(status: u16, body: &str) -> Answer {
    Answer::Status(status, body.as_bytes().to_vec())
}

#[tokio::test]
async fn an_append_returns_the_offset_and_tells_its_name() {
    let fake = Fake::spawn(status(200, "{\"offset\":42}")).await;
    assert_eq!(fake.append(LONG).await, Ok(42));

    let seen = fake.seen.lock().await.join("");
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
    let fake = Fake::spawn(Answer::Status(200, page.encode_to_vec())).await;
    assert_eq!(fake.read(LONG).await, Ok(page));

    let seen = fake.seen.lock().await.join("");
    let line = "GET /streams/budget-0?from=7&max=100&wait_ms=20 HTTP/1.1";
    assert!(seen.starts_with(line), "{seen}");
}

#[tokio::test]
async fn a_refused_connection_is_out() {
    // Bound but not listening: the port stays ours and refuses.
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(([127, 0, 0, 1], 0).into())
        .expect("a free port");
    let address = socket.local_addr().expect("bound");

    let log = HttpLog::open(address, "ledger-1", LONG);
    let appended = log.append(&stream(), Bytes::from_static(b"record")).await;
    assert!(
        matches!(appended, Err(LogError::Unavailable(_))),
        "{appended:?}"
    );
    let read = log.read(&stream(), 0, 1, Duration::ZERO).await;
    assert!(matches!(read, Err(LogError::Unavailable(_))), "{read:?}");
}

#[tokio::test]
async fn answers_have_their_errors() {
    let cases = [
        (Answer::Cut, "unknown", "out"),
        (Answer::Silence, "unknown", "out"),
        (Answer::Torn(200), "unknown", "out"),
        (status(200, "nonsense"), "unknown", "protocol"),
        (status(500, ""), "unknown", "out"),
        (status(503, ""), "out", "out"),
        (status(429, ""), "out", "out"),
        (status(413, ""), "protocol", "protocol"),
        (status(410, "{\"first\":12}"), "trimmed 12", "trimmed 12"),
        (status(410, "nonsense"), "protocol", "protocol"),
    ];
    for (answer, append, read) in cases {
        let wait = match answer {
            Answer::Silence => SHORT,
            _ => LONG,
        };
        let fake = Fake::spawn(answer.clone()).await;
        let appended = fake.append(wait).await.map(|_offset| ());
        let found = fake.read(wait).await.map(|_page| ());
        assert_eq!(kind(appended), append, "append at {answer:?}");
        assert_eq!(kind(found), read, "read at {answer:?}");
        let seen = fake.seen.lock().await.len();
        assert_eq!(seen, 2, "{answer:?} made a call be sent again");
    }
}

fn kind(result: Result<(), LogError>) -> String {
    match result {
        Ok(()) => "taken".to_owned(),
        Err(LogError::Unavailable(_)) => "out".to_owned(),
        Err(LogError::Unknown(_)) => "unknown".to_owned(),
        Err(LogError::Protocol(_)) => "protocol".to_owned(),
        Err(LogError::Trimmed { first }) => format!("trimmed {first}"),
    }
}
