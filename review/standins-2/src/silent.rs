//! Case: open connections fall silent while a configuration is on its way.
//!
//! The operator writes a configuration that takes a key away and adds routes. While the gateway
//! receives it, its open connections to the store fall silent for good; new ones work. Later than
//! `config_apply_ms` after the acknowledgement and `stable_window_ms` after the silence, no request
//! may run with the key that was taken away.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Failure;
use crate::deployment::{ask, config, free_address, free_ip};
use crate::gateway::Gateway;
use crate::proxy::Proxy;
use crate::record::Record;
use crate::runner::{Answers, Runner};
use crate::store::Store;

const ANSWERS: Answers = Answers {
    events: 3,
    gap_ms: 5,
    is_chunked: true,
};
/// Routes that the configuration adds; the site adds up to 350 at once.
const MORE_ROUTES: usize = 340;
/// Bytes of the configuration that arrive before the silence.
const ARRIVED: usize = 16_000;
/// `config_apply_ms` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `stable_window_ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which requests are sent after the acknowledgement.
const WATCHED: Duration = Duration::from_secs(8);

/// Plays the case; returns whether the rule was broken.
pub fn play(record: &mut Record, folder: &Path, has_trouble: bool) -> Result<bool, Failure> {
    let ip = free_ip()?;
    let store = Store::start(&ip);
    let proxy = Proxy::start(&ip, store.address);
    store.put("keyed.op", "config", &config(7, "key-old", 0, false));
    let runs = folder.join("runs.log");
    let mut runners = Vec::new();
    for id in ["i-1", "i-2"] {
        let runner = Runner::start(id, &free_address(&ip)?, &ANSWERS, &runs)?;
        store.put("keyed.servers", id, &runner.entry("lm", "v1", "ready", 1));
        runners.push(runner);
    }
    let gateway = Gateway::start(folder, "edge-zone-a-1", &ip, proxy.address)?;
    if !gateway.await_ready(Duration::from_secs(15)) {
        return Err("the gateway isn't ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let before = ask(gateway.callers, "before", "key-old")?;
    record.note(format!("before: answer {}", before.head.status()));
    if before.head.status() != 200 {
        return Err("the key doesn't work before the change".into());
    }
    if has_trouble {
        proxy.silence_within(ARRIVED);
    }
    store.put(
        "keyed.op",
        "config",
        &config(9, "key-new", MORE_ROUTES, false),
    );
    let acknowledged = Instant::now();
    record.note("the store has acknowledged version 9, without key-old".to_owned());
    if has_trouble {
        while !proxy.has_cut() {
            if acknowledged.elapsed() > Duration::from_secs(2) {
                return Err("no answer with the configuration was under way".into());
            }
            thread::sleep(Duration::from_millis(1));
        }
        record.note(format!(
            "the gateway's {} open connections to the store are silent; new ones work",
            proxy.open()
        ));
    }
    let in_touch = Instant::now()
        + if has_trouble {
            STABLE_WINDOW
        } else {
            Duration::ZERO
        };
    let judged = in_touch.max(acknowledged + CONFIG_APPLY);
    let mut late = Vec::new();
    let mut number = 0;
    while acknowledged.elapsed() < WATCHED {
        number += 1;
        let id = format!("attempt-{number}");
        let sent = Instant::now();
        let answer = ask(gateway.callers, &id, "key-old")?;
        let after = sent.duration_since(acknowledged).as_secs_f64();
        let is_judged = sent > judged;
        record.note(format!(
            "{id}: sent {after:.3} s after the acknowledgement{}, answer {}",
            if is_judged {
                " (in touch, too late)"
            } else {
                ""
            },
            answer.head.status(),
        ));
        if is_judged {
            late.push(id);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let ran = std::fs::read_to_string(&runs).unwrap_or_default();
    late.retain(|id| {
        ran.lines()
            .any(|line| line.ends_with(&format!(" runs {id}")))
    });
    record.note(format!(
        "run with the dropped key, in touch and too late: {late:?}"
    ));
    record.append("what the runners ran:", &runs);
    record.append("the gateway's log:", &gateway.log);
    Ok(!late.is_empty())
}
