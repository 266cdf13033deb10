//! The table of the fleet's processes.

use serde_json::Value;

use super::{plain, text};
use crate::api::{ProcessStatus, Status};

/// Name of the configuration stream in a process's status.
const CONFIG_STREAM: &str = "config";
/// A cell without a value.
const NONE: &str = "-";
/// What a trouble of a router means to its callers.
const TROUBLES: [(&str, &str); 6] = [
    ("stopping", "stopping, takes no new work"),
    (
        "declared-gone",
        "its VM is declared gone, takes no new work",
    ),
    ("no-configuration", "no configuration, refuses all"),
    ("stale", "stale, refuses workspaces with stale=refuse"),
    ("stuck", "charges are stuck, takes no new work"),
    ("not-joined", "has not joined all budget streams"),
];
/// What an operator should know of a configuration that nobody can change.
const LOG_OUT: &str = "the log is out for all ledgers";

/// The processes of the fleet.
#[must_use]
pub fn status(answer: &Status) -> String {
    let columns = [
        "PROCESS",
        "ROLE",
        "ADMIN",
        "VERSION",
        "CURRENT",
        "LOG OFFSET",
        "LOG AGE",
        "GRANTS",
        "QUEUE",
        "NOTE",
    ];
    let mut table = plain(&columns);
    for process in &answer.processes {
        table.add_row(row(process));
    }
    let age = match answer.age_ms {
        Some(age) => format!("{age} ms old"),
        None => "never read to its end".to_owned(),
    };
    format!(
        "newest version {}, at this operator {} ({age})\n{}",
        answer.newest,
        answer.version,
        text(&table)
    )
}

fn row(process: &ProcessStatus) -> [String; 10] {
    let version = process.version.map(|version| version.to_string());
    let current = match process.current {
        Some(true) => "yes",
        Some(false) => "no",
        None => "?",
    };
    [
        process.name.clone(),
        process.role.clone(),
        process.admin.clone(),
        version.unwrap_or_else(|| "?".to_owned()),
        current.to_owned(),
        log_offset(&process.status).unwrap_or_else(|| NONE.to_owned()),
        log_age(&process.status).unwrap_or_else(|| NONE.to_owned()),
        grants(&process.status).unwrap_or_else(|| NONE.to_owned()),
        queue(&process.status).unwrap_or_else(|| NONE.to_owned()),
        note(process),
    ]
}

/// Offset of the configuration stream that the process reads next.
fn log_offset(status: &Value) -> Option<String> {
    if let Some(offset) = number(status, "log_offset") {
        return Some(offset.to_string());
    }
    for stream in status.get("streams")?.as_array()? {
        if stream.get("name")?.as_str()? == CONFIG_STREAM {
            return Some(number(stream, "offset")?.to_string());
        }
    }
    None
}

/// Age of what the process knows of the log, itself or through a ledger.
fn log_age(status: &Value) -> Option<String> {
    let age = number(status, "log_age_ms").or_else(|| number(status, "version_age_ms"));
    Some(format!("{} ms", age?))
}

/// Rights that a router holds and has not spent.
fn grants(status: &Value) -> Option<String> {
    let grants = status.get("grants")?.as_array()?;
    let mut held = 0_u64;
    for grant in grants {
        let left = ["available", "reserved"].map(|key| number(grant, key).unwrap_or(0));
        held = held.saturating_add(left.iter().sum());
    }
    Some(format!("{held} in {}", grants.len()))
}

/// Requests that wait in a router.
fn queue(status: &Value) -> Option<String> {
    let mut waiting = 0;
    for pool in status.get("queue")?.as_array()? {
        waiting += number(pool, "waiting").unwrap_or(0);
    }
    Some(waiting.to_string())
}

fn number(value: &Value, key: &str) -> Option<u64> {
    value.get(key)?.as_u64()
}

fn note(process: &ProcessStatus) -> String {
    if process.reachable {
        return state(&process.status);
    }
    let error = process.error.as_deref().unwrap_or("no answer");
    format!("unreachable: {error}")
}

/// What a process says against itself.
fn state(status: &Value) -> String {
    let mut notes = Vec::new();
    if status.get("configuration").and_then(Value::as_str) == Some("log-out") {
        notes.push(LOG_OUT.to_owned());
    }
    let troubles = status.get("troubles").and_then(Value::as_array);
    for trouble in troubles.into_iter().flatten().filter_map(Value::as_str) {
        let known = TROUBLES.iter().find(|(slug, _)| *slug == trouble);
        notes.push(known.map_or(trouble, |(_, meaning)| meaning).to_owned());
    }
    notes.join("; ")
}
