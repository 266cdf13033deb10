//! Bytes sent on the processes' TCP connections, from the kernel's socket counters.
//!
//! Read with `ss` of iproute2; without it no values are reported. A connection that
//! opens and closes between two samples is missed.

use std::collections::BTreeMap;
use std::process::Command;

/// Bytes sent on a connection since its start, by pid and local and peer address.
pub type Sent = BTreeMap<(u32, String, String), u64>;

/// Samples the bytes sent so far on all connections of this user's processes.
#[must_use]
pub fn sent() -> Sent {
    let mut sent = Sent::new();
    let output = Command::new("ss").args(["-tinpOH"]).output();
    let Ok(output) = output else {
        return sent;
    };
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let (Some(local), Some(peer)) = (words.get(3), words.get(4)) else {
            continue;
        };
        let Some(pid) = number_after(line, "pid=") else {
            continue;
        };
        let bytes = number_after(line, "bytes_sent:").unwrap_or(0);
        let pid = u32::try_from(pid).unwrap_or(0);
        sent.insert((pid, (*local).to_owned(), (*peer).to_owned()), bytes);
    }
    sent
}

/// Returns the bytes that each process sent between two samples.
#[must_use]
pub fn between(before: &Sent, after: &Sent) -> BTreeMap<u32, u64> {
    let mut bytes = BTreeMap::new();
    for (socket, now) in after {
        let then = before.get(socket).copied().unwrap_or(0);
        *bytes.entry(socket.0).or_insert(0) += now.saturating_sub(then);
    }
    bytes
}

fn number_after(line: &str, mark: &str) -> Option<u64> {
    let (_before, rest) = line.split_once(mark)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}
