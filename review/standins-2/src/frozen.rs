//! Case: a runner crashes and starts again while the gateway's machine stands still.
//!
//! The runner writes a stream without a length. The gateway is frozen, the runner's process is
//! killed and another incarnation starts at the same address, as after any crash. The gateway wakes
//! up and finds the end of the connection. The answer must not look complete to its client.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::deployment::{ask, config, event_ids, free_address, free_ip};
use crate::gateway::{Gateway, Signal, signal};
use crate::record::Record;
use crate::runner::{Answers, Runner};
use crate::store::Store;

/// Streams of five seconds.
const ANSWERS: Answers = Answers {
    events: 200,
    gap_ms: 25,
    is_chunked: false,
};
/// Number of clients.
const CLIENTS: usize = 4;
/// Times from the begin of the freeze to the crash, from there to the runner's next start, and from
/// there to the end of the freeze.
const STEPS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_millis(1_000),
    Duration::from_millis(1_000),
];

/// Plays the case; returns whether the rule was broken.
pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let ip = free_ip()?;
    let store = Store::start(&ip);
    store.put("keyed.op", "config", &config(7, "key-a", 0));
    let runs = folder.join("runs.log");
    let address = free_address(&ip)?;
    let mut first = Runner::start("i-first", &address, &ANSWERS, &runs)?;
    store.put("keyed.servers", &first.id, &first.entry("lm", "ready", 1));
    let gateway = Gateway::start(folder, "edge-zone-a-1", &ip, store.address)?;
    if !gateway.await_ready(Duration::from_secs(15)) {
        return Err("the gateway isn't ready".into());
    }
    thread::sleep(Duration::from_millis(1_500));
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            let callers = gateway.callers;
            let id = format!("attempt-{number}");
            thread::spawn(move || {
                let answer = ask(callers, &id, "key-a");
                (id, answer)
            })
        })
        .collect();
    record.note(format!(
        "sent: {CLIENTS} requests for streams of {} events",
        ANSWERS.events
    ));
    thread::sleep(Duration::from_millis(700));
    let mut second = None;
    if has_trouble {
        signal(gateway.child.id(), Signal::Stop);
        record.note("the gateway is frozen".to_owned());
        thread::sleep(STEPS[0]);
        first.end();
        record.note("i-first has crashed".to_owned());
        thread::sleep(STEPS[1]);
        let runner = Runner::start("i-second", &address, &ANSWERS, &runs)?;
        store.put("keyed.servers", &runner.id, &runner.entry("lm", "ready", 1));
        second = Some(runner);
        record.note("the runner has started again, as i-second".to_owned());
        thread::sleep(STEPS[2]);
        signal(gateway.child.id(), Signal::Continue);
        record.note("the gateway is awake".to_owned());
    }
    let mut is_broken = false;
    for client in clients {
        let (id, answer) = client.join().map_err(|_| "a client failed")?;
        let answer = answer?;
        let ids = event_ids(&answer);
        let has_all = ids.iter().copied().eq(1..=ANSWERS.events);
        record.note(format!(
            "{id}: answer {}, {} of {} events, {}",
            answer.head.status(),
            ids.len(),
            ANSWERS.events,
            if answer.is_whole {
                "looks complete"
            } else {
                "broken off"
            },
        ));
        is_broken |= answer.head.status() == 200 && answer.is_whole && !has_all;
    }
    drop(second);
    record.append("what the runners ran:", &runs);
    record.append("the gateway's log:", &gateway.log);
    Ok(is_broken)
}
