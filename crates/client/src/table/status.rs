//! Table of the processes of the fleet.

use serde_json::Value;

use super::{new_table, render};
use crate::api::{ProcessStatus, Status};

/// Name of the configuration stream in the status of a process.
const CONFIG_STREAM: &str = "config";
/// Placeholder of a missing value.
const EMPTY_CELL: &str = "-";
/// Explanations of the issues that a router reports in its status.
const ISSUE_NOTES: [(&str, &str); 6] = [
    ("stopping", "stopping, accepts no new requests"),
    (
        "declared-gone",
        "its VM is declared gone, accepts no new requests",
    ),
    ("no-configuration", "no configuration, refuses all requests"),
    (
        "stale",
        "stale configuration, refuses workspaces with stale=refuse",
    ),
    ("stuck", "charges are stuck, accepts no new requests"),
    ("not-joined", "has not joined all budget streams"),
];
/// Note on a configuration that can't be changed because of a log outage.
const LOG_OUTAGE_NOTE: &str = "the log is unavailable to all ledgers";

/// Formats the status of the processes of the fleet.
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
    let mut table = new_table(&columns);
    for process in &answer.processes {
        table.add_row(row(process));
    }
    let age = match answer.age_ms {
        Some(age) => format!("{age} ms old"),
        None => "never read completely".to_owned(),
    };
    format!(
        "newest version {}, at this operator {} ({age})\n{}",
        answer.newest,
        answer.version,
        render(&table)
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
        log_offset(&process.status).unwrap_or_else(|| EMPTY_CELL.to_owned()),
        log_age(&process.status).unwrap_or_else(|| EMPTY_CELL.to_owned()),
        grants(&process.status).unwrap_or_else(|| EMPTY_CELL.to_owned()),
        queue(&process.status).unwrap_or_else(|| EMPTY_CELL.to_owned()),
        note(process),
    ]
}

/// Next offset of the configuration stream that the process reads.
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

/// Age of the process's state of the log, read directly or through a ledger.
fn log_age(status: &Value) -> Option<String> {
    let age = number(status, "log_age_ms").or_else(|| number(status, "version_age_ms"));
    Some(format!("{} ms", age?))
}

/// Unspent quota that a router holds.
fn grants(status: &Value) -> Option<String> {
    let grants = status.get("grants")?.as_array()?;
    let mut held = 0_u64;
    for grant in grants {
        let left = ["available", "reserved"].map(|key| number(grant, key).unwrap_or(0));
        held = held.saturating_add(left.iter().sum());
    }
    Some(format!("{held} in {}", grants.len()))
}

/// Number of requests queued in a router.
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
        return status_notes(&process.status);
    }
    let error = process.error.as_deref().unwrap_or("no response");
    format!("unreachable: {error}")
}

/// Problems that a process reports in its status.
fn status_notes(status: &Value) -> String {
    let mut notes = Vec::new();
    if status.get("configuration").and_then(Value::as_str) == Some("log-out") {
        notes.push(LOG_OUTAGE_NOTE.to_owned());
    }
    let troubles = status.get("troubles").and_then(Value::as_array);
    for trouble in troubles.into_iter().flatten().filter_map(Value::as_str) {
        let known = ISSUE_NOTES.iter().find(|(slug, _)| *slug == trouble);
        notes.push(known.map_or(trouble, |(_, meaning)| meaning).to_owned());
    }
    notes.join("; ")
}
