//! Case: all gateways are killed while a service changes its software version.
//!
//! Runners of two versions serve side by side: two of v2, and the last one of v1. A release replaces
//! that one: it drains, serves on for its drain time and leaves. Right after that all gateways are
//! killed and start again. The clients take the streams up that broke off with it. The runners that
//! are left are of v2, and what two versions write doesn't fit together: they may not go on there.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::{config, event_ids, free_address, free_ip};
use crate::gateway::Gateway;
use crate::http::{Answer, read_answer};
use crate::record::Record;
use crate::runner::{Answers, Runner};
use crate::store::Store;

/// Streams of five seconds.
const ANSWERS: Answers = Answers {
    events: 100,
    gap_ms: 50,
    is_chunked: true,
};
/// Number of clients.
const CLIENTS: usize = 24;
/// The runners of v2.
const NEWER: [&str; 3] = ["i-second", "i-third", "i-new"];
/// Number of streams that may hold events of two versions.
const ALLOWED: usize = 2;
/// Time that a client waits for its answer, over all its tries.
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Time from a runner's report that it drains to its exit; `drain_ms` is 2,000.
const LEAVES_AFTER: Duration = Duration::from_millis(2_500);
/// Time for which the gateways are down.
const DOWN: Duration = Duration::from_millis(600);
/// Wait of a client whose answer names no time to come back.
const PAUSE: Duration = Duration::from_millis(400);

/// One try of a client.
struct Try {
    id: String,
    /// Status of the answer, or why there is none.
    outcome: Result<u16, String>,
    events: Vec<u64>,
}

/// Plays the case; returns whether the rule was broken.
pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let first = free_ip()?;
    let second = format!("{}2", first.trim_end_matches('1'));
    let ips = [first, second];
    let ip = ips[0].as_str();
    let store = Store::start(ip);
    store.put("keyed.op", "config", &config(7, "key-a", 0, true));
    let runs = folder.join("runs.log");
    let mut old = Runner::start("i-old", &free_address(ip)?, &ANSWERS, &runs)?;
    let new = Runner::start("i-new", &free_address(ip)?, &ANSWERS, &runs)?;
    store.put("keyed.servers", &old.id, &old.entry("lm", "v1", "ready", 1));
    let mut others = Vec::new();
    for id in ["i-second", "i-third"] {
        let runner = Runner::start(id, &free_address(ip)?, &ANSWERS, &runs)?;
        store.put("keyed.servers", id, &runner.entry("lm", "v2", "ready", 1));
        others.push(runner);
    }
    let mut gateways = Vec::new();
    for (number, ip) in ips.iter().enumerate() {
        let name = format!("edge-zone-a-{}", number + 1);
        gateways.push(Gateway::start(folder, &name, ip, store.address)?);
    }
    for gateway in &gateways {
        if !gateway.await_ready(Duration::from_secs(15)) {
            return Err("a gateway isn't ready".into());
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    let callers: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let callers = callers.clone();
            thread::spawn(move || stream(number, &callers))
        })
        .collect();
    record.note(format!("sent: {CLIENTS} requests for streams"));
    thread::sleep(Duration::from_millis(500));
    store.put("keyed.servers", &new.id, &new.entry("lm", "v2", "ready", 1));
    store.put(
        "keyed.servers",
        &old.id,
        &old.entry("lm", "v1", "draining", 2),
    );
    record
        .note("the store lists i-new (v2) and has acknowledged that i-old (v1) drains".to_owned());
    thread::sleep(LEAVES_AFTER);
    old.end();
    store.put("keyed.servers", &old.id, "");
    record.note("i-old has left".to_owned());
    if has_trouble {
        thread::sleep(Duration::from_millis(300));
        for gateway in &mut gateways {
            gateway.kill();
        }
        record.note("all gateways are killed".to_owned());
        thread::sleep(DOWN);
        for gateway in &mut gateways {
            gateway.start_again()?;
        }
        record.note("they have started again".to_owned());
    }
    let mut mixed = 0;
    let mut tries = Vec::new();
    for client in clients {
        tries.push(client.join().map_err(|_| "a client failed")?);
    }
    let ran = std::fs::read_to_string(&runs)?;
    let has_run = |runner: &str, id: &str| {
        ran.lines()
            .any(|line| line == format!("{runner} runs {id}"))
    };
    for tries in &tries {
        for one in tries {
            record.note(format!(
                "{}: answer {:?}, events {:?} to {:?}",
                one.id,
                one.outcome,
                one.events.first(),
                one.events.last()
            ));
        }
        let got = |runner: &str| {
            let mut got = tries.iter().filter(|one| !one.events.is_empty());
            got.any(|one| has_run(runner, &one.id))
        };
        mixed += usize::from(got("i-old") && NEWER.iter().any(|id| got(id)));
    }
    record.note(format!("streams with events of both versions: {mixed}"));
    record.append("what the runners ran:", &runs);
    for gateway in &gateways {
        record.append("a gateway's log:", &gateway.log);
    }
    Ok(mixed > ALLOWED)
}

/// A client that asks for a stream, and takes it up again until it has the whole of it or its
/// deadline has passed.
fn stream(number: usize, callers: &[SocketAddr]) -> Vec<Try> {
    let start = Instant::now();
    let mut tries: Vec<Try> = Vec::new();
    let mut last: Option<(String, u64)> = None;
    while start.elapsed() + PAUSE < DEADLINE {
        let id = format!("attempt-{number}-{}", tries.len() + 1);
        let caller = callers[(number + tries.len()) % callers.len()];
        let left = DEADLINE - start.elapsed();
        let answer = ask(caller, number, &id, left, last.as_ref());
        let mut pause = PAUSE;
        let mut one = Try {
            id: id.clone(),
            outcome: Err("none".to_owned()),
            events: Vec::new(),
        };
        match answer {
            Ok(answer) => {
                one.outcome = Ok(answer.head.status());
                one.events = event_ids(&answer);
                let after = answer.head.get("retry-after");
                if let Some(secs) = after.and_then(|text| text.parse::<f64>().ok()) {
                    pause = Duration::from_secs_f64(secs).min(left / 3);
                }
            }
            Err(error) => one.outcome = Err(error.to_string()),
        }
        if let Some(event) = one.events.last() {
            let first = last.map_or(id, |(first, _)| first);
            last = Some((first, *event));
        }
        tries.push(one);
        if last
            .as_ref()
            .is_some_and(|(_, event)| *event == ANSWERS.events)
        {
            break;
        }
        thread::sleep(pause);
    }
    tries
}

/// One try; `resumes` names the attempt that brought the first event, and the last event.
fn ask(
    gateway: SocketAddr,
    client: usize,
    id: &str,
    left: Duration,
    resumes: Option<&(String, u64)>,
) -> io::Result<Answer> {
    let stream = TcpStream::connect(gateway)?;
    stream.set_read_timeout(Some(left))?;
    let resumes = resumes.map_or_else(String::new, |(first, event)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n")
    });
    let body = format!("question {client}");
    let request = format!(
        "POST /zoning/q HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 715,693\r\nX-Prompt-Prefix: 5c1e{client:04x}:103,91bd{client:04x}:69,e440{client:04x}:543\r\n\
         X-Deadline-Ms: {}\r\n{resumes}Authorization: Bearer key-a\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        left.as_millis(),
        body.len()
    );
    let mut writer = &stream;
    writer.write_all(request.as_bytes())?;
    read_answer(&mut BufReader::new(&stream))
}
