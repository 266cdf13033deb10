//! Case: runners leave as planned while they write streams without a length.
//!
//! A runner reports that it drains, serves on for longer than the drain time, and exits while
//! streams are under way. Its answers have neither a length nor chunks, so they end with their
//! connection. No answer that lacks events may look complete to its client.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Failure;
use crate::deployment::{ask, config, event_ids, free_address, free_ip};
use crate::gateway::Gateway;
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
/// Time from the runner's report that it drains to its exit; `drain_ms` is 2,000.
const LEAVES_AFTER: Duration = Duration::from_millis(2_500);

/// Plays the case; returns whether the rule was broken.
pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let ip = free_ip()?;
    let store = Store::start(&ip);
    store.put("keyed.op", "config", &config(7, "key-a", 0));
    let runs = folder.join("runs.log");
    let mut old = Runner::start("i-old", &free_address(&ip)?, &ANSWERS, &runs)?;
    let new = Runner::start("i-new", &free_address(&ip)?, &ANSWERS, &runs)?;
    store.put("keyed.servers", &old.id, &old.entry("lm", "ready", 1));
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
    thread::sleep(Duration::from_millis(500));
    store.put("keyed.servers", &new.id, &new.entry("lm", "ready", 1));
    record.note("the store lists i-new beside i-old".to_owned());
    if has_trouble {
        store.put("keyed.servers", &old.id, &old.entry("lm", "draining", 2));
        record.note("the store has acknowledged that i-old drains".to_owned());
        thread::sleep(LEAVES_AFTER);
        old.end();
        record.note("i-old has exited".to_owned());
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
    record.append("what the runners ran:", &runs);
    record.append("the gateway's log:", &gateway.log);
    Ok(is_broken)
}
