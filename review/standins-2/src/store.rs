//! A stand-in for the platform's store: the log calls that the gateway makes.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};

#[derive(Default)]
struct Partition {
    /// Content of each record, without its length.
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Vec<(u64, u64, u64)>>,
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u32), Partition>,
}

/// The store and its address.
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port of `ip`.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let address = listener.local_addr().expect("the store's address");
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&served);
                thread::spawn(move || serve(&stream, &shared));
            }
        });
        Self { address, shared }
    }

    /// Writes a record of a keyed topic, as the operator and the runners do; an empty value drops
    /// the key. It is acknowledged when this returns.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut state = self.shared.0.lock().expect("the store's state");
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.records.push(content);
        self.shared.1.notify_all();
    }
}

fn query(target: &str) -> (String, HashMap<String, String>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let mut fields = HashMap::new();
    for pair in query.split('&') {
        if let Some((name, value)) = pair.split_once('=') {
            fields.insert(name.to_owned(), decode(value));
        }
    }
    (path.to_owned(), fields)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                decoded.push(byte);
                at += 3;
                continue;
            }
        }
        decoded.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn serve(stream: &TcpStream, shared: &(Mutex<State>, Condvar)) {
    let _option = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &head) else {
            return;
        };
        let (status, body) = answer(&head, &body, shared);
        let mut message = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        message.extend_from_slice(&body);
        let mut stream = stream;
        if stream.write_all(&message).is_err() {
            return;
        }
    }
}

fn answer(head: &Head, body: &[u8], shared: &(Mutex<State>, Condvar)) -> (u16, Vec<u8>) {
    let (path, fields) = query(head.target());
    let topic = fields.get("topic").cloned().unwrap_or_default();
    let part = fields.get("part").and_then(|text| text.parse().ok());
    let key = (topic, part.unwrap_or(0));
    match path.as_str() {
        "/v1/log-append" => append(&key, &fields, body, shared),
        "/v1/log-read" => read(&key, &fields, shared),
        "/v1/log-newest" => newest(&key, &fields, shared),
        _ => (404, Vec::new()),
    }
}

fn number(fields: &HashMap<String, String>, name: &str) -> Option<u64> {
    fields.get(name)?.parse().ok()
}

fn append(
    key: &(String, u32),
    fields: &HashMap<String, String>,
    body: &[u8],
    shared: &(Mutex<State>, Condvar),
) -> (u16, Vec<u8>) {
    let mut state = shared.0.lock().expect("the store's state");
    let partition = state.partitions.entry(key.clone()).or_default();
    let end = partition.records.len() as u64;
    if number(fields, "at_offset").is_some_and(|at| at != end) {
        return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
    }
    let mut records = Vec::new();
    let mut rest = body;
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if rest.len() < 4 + length {
            return (400, Vec::new());
        }
        records.push(rest[4..4 + length].to_vec());
        rest = &rest[4 + length..];
    }
    let after = end + records.len() as u64;
    if let (Some(producer), Some(sequence)) = (fields.get("producer"), number(fields, "sequence")) {
        let last = partition.producers.entry(producer.clone()).or_default();
        if let Some((_, offset, after)) = last.iter().find(|(known, _, _)| *known == sequence) {
            let text = format!("{{\"offset\":{offset},\"end_offset\":{after}}}");
            return (200, text.into_bytes());
        }
        if let Some((newest, _, _)) = last.last() {
            if sequence != newest + 1 {
                return (409, b"{\"reason\":\"seq\"}".to_vec());
            }
        }
        last.push((sequence, end, after));
        if last.len() > 5 {
            last.remove(0);
        }
    }
    partition.records.extend(records);
    shared.1.notify_all();
    let text = format!("{{\"offset\":{end},\"end_offset\":{after}}}");
    (200, text.into_bytes())
}

fn read(
    key: &(String, u32),
    fields: &HashMap<String, String>,
    shared: &(Mutex<State>, Condvar),
) -> (u16, Vec<u8>) {
    let from = number(fields, "from").unwrap_or(0) as usize;
    let wait = Duration::from_millis(number(fields, "wait_ms").unwrap_or(0));
    let until = Instant::now() + wait;
    let mut state = shared.0.lock().expect("the store's state");
    loop {
        let records = state.partitions.get(key).map(|found| &found.records);
        let end = records.map_or(0, Vec::len);
        let now = Instant::now();
        if from < end || now >= until {
            let mut body = (end as u64).to_be_bytes().to_vec();
            body.extend_from_slice(&0_u64.to_be_bytes());
            for record in records.into_iter().flatten().skip(from) {
                body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                body.extend_from_slice(record);
                if body.len() > 1_000_000 {
                    break;
                }
            }
            return (200, body);
        }
        let waited = shared.1.wait_timeout(state, until - now);
        state = waited.expect("the store's state").0;
    }
}

fn newest(
    key: &(String, u32),
    fields: &HashMap<String, String>,
    shared: &(Mutex<State>, Condvar),
) -> (u16, Vec<u8>) {
    let after = fields.get("after").cloned();
    let state = shared.0.lock().expect("the store's state");
    let none = Vec::new();
    let records = state
        .partitions
        .get(key)
        .map_or(&none, |found| &found.records);
    let mut keys: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        let length = usize::from(record[0]);
        let name = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = record[1 + length..].to_vec();
        if value.is_empty() {
            keys.remove(&name);
        } else {
            keys.insert(name, (offset, value));
        }
    }
    let mut entries = Vec::new();
    for (name, (offset, value)) in keys {
        if after.as_ref().is_some_and(|after| name <= *after) {
            continue;
        }
        entries.push(format!(
            "{{\"key\":\"{name}\",\"data\":\"{}\",\"offset\":{offset}}}",
            base64(&value)
        ));
    }
    let has_more = entries.len() > 500;
    entries.truncate(500);
    let text = format!(
        "{{\"entries\":[{}],\"has_more\":{has_more},\"end_offset\":{}}}",
        entries.join(","),
        records.len()
    );
    (200, text.into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                let index = (bits >> (18 - 6 * digit)) & 63;
                text.push(char::from(DIGITS[index as usize]));
            }
        }
    }
    text
}
