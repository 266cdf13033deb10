//! A stand-in for a runner, which is a process of its own so that it can end.
//!
//! It answers any request with a stream of events. It writes a line to its log when it begins to
//! run a request and when the answer is whole.

use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head};

/// What a runner answers.
#[derive(Clone, Debug)]
pub struct Answers {
    /// Number of events of a stream.
    pub events: u64,
    /// Time between them, in milliseconds.
    pub gap_ms: u64,
    /// Whether an answer is sent in chunks; without, it ends with its connection.
    pub is_chunked: bool,
}

/// A runner that was started; it ends with this value.
pub struct Runner {
    pub id: String,
    pub address: String,
    child: Child,
}

impl Runner {
    /// Starts a runner that appends to `log`.
    pub fn start(id: &str, address: &str, answers: &Answers, log: &Path) -> io::Result<Self> {
        let child = Command::new(std::env::current_exe()?)
            .arg("runner")
            .args([address, id])
            .arg(answers.events.to_string())
            .arg(answers.gap_ms.to_string())
            .arg(if answers.is_chunked {
                "chunked"
            } else {
                "closed"
            })
            .arg(log)
            .spawn()?;
        Ok(Self {
            id: id.to_owned(),
            address: address.to_owned(),
            child,
        })
    }

    /// The runner's entry in the store.
    pub fn entry(&self, service: &str, version: &str, state: &str, sequence: u64) -> String {
        let address = &self.address;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"sequence\":{sequence}}}"
        )
    }

    /// Ends the process; its connections are closed with it.
    pub fn end(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.end();
    }
}

#[derive(Clone)]
struct Plan {
    id: String,
    answers: Answers,
    log: Arc<Mutex<File>>,
}

/// The runner's process: `ADDRESS ID EVENTS GAP_MS chunked|closed LOG`.
pub fn run(args: &[String]) {
    let [address, id, events, gap_ms, framing, log] = args else {
        panic!("ADDRESS ID EVENTS GAP_MS chunked|closed LOG");
    };
    let log = OpenOptions::new().create(true).append(true).open(log);
    let plan = Plan {
        id: id.clone(),
        answers: Answers {
            events: events.parse().expect("a number of events"),
            gap_ms: gap_ms.parse().expect("milliseconds"),
            is_chunked: framing == "chunked",
        },
        log: Arc::new(Mutex::new(log.expect("the log"))),
    };
    let listener = TcpListener::bind(address).expect("the runner's address");
    for stream in listener.incoming().flatten() {
        let plan = plan.clone();
        thread::spawn(move || serve(&stream, &plan));
    }
}

impl Plan {
    fn record(&self, text: &str) {
        let mut log = self.log.lock().expect("the log");
        let _written = writeln!(log, "{} {text}", self.id);
    }
}

fn serve(stream: &TcpStream, plan: &Plan) {
    let _option = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let Ok(_body) = read_body(&mut reader, &head) else {
            return;
        };
        let expected = head.get("x-expect-instance");
        if expected.is_some_and(|expected| expected != plan.id) {
            plan.record("refuses a request for another instance");
            if empty(stream, "421 Misdirected Request", &plan.id).is_err() {
                return;
            }
            continue;
        }
        if head.target() == "/healthz" {
            if empty(stream, "200 OK", &plan.id).is_err() {
                return;
            }
            continue;
        }
        let id = head.get("x-attempt-id").unwrap_or("-").to_owned();
        plan.record(&format!("runs {id}"));
        if answer(stream, &head, &id, plan).is_err() {
            plan.record(&format!("was cut off in {id}"));
            return;
        }
        plan.record(&format!("completed {id}"));
        if !plan.answers.is_chunked {
            return;
        }
    }
}

fn empty(mut writer: &TcpStream, status: &str, id: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\nx-instance-id: {id}\r\ncontent-length: 0\r\n\r\n");
    writer.write_all(text.as_bytes())
}

/// The text of an event.
pub fn event(number: u64, events: u64) -> String {
    format!("id: {number}\ndata: {number} of {events}\n\n")
}

fn answer(mut writer: &TcpStream, head: &Head, id: &str, plan: &Plan) -> io::Result<()> {
    let Answers {
        events,
        gap_ms,
        is_chunked,
    } = plan.answers;
    let framing = if is_chunked {
        "transfer-encoding: chunked"
    } else {
        "connection: close"
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: seal.{}\r\n\
         content-type: text/event-stream\r\n{framing}\r\n\r\n",
        plan.id
    );
    writer.write_all(text.as_bytes())?;
    let after = head.get("last-event-id").and_then(|text| text.parse().ok());
    for number in after.unwrap_or(0) + 1..=events {
        thread::sleep(Duration::from_millis(gap_ms));
        let text = event(number, events);
        if is_chunked {
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        } else {
            writer.write_all(text.as_bytes())?;
        }
    }
    if is_chunked {
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}
