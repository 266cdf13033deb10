//! Cuts a stream of server-sent events at the ends of events.
//!
//! An answer may go on at another server only after a whole event, so bytes are handed
//! on event by event. They are not changed.

use bytes::{Bytes, BytesMut};

/// What has passed of an event stream.
#[derive(Debug, Default)]
pub struct EventCutter {
    tail: BytesMut,
    /// Bytes of the tail that were searched for an end.
    searched: usize,
    events: u64,
    last: Option<u64>,
}

impl EventCutter {
    /// A cutter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next bytes; gives all whole events that there are now, if any.
    pub fn push(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.tail.extend_from_slice(piece);
        let mut whole = 0;
        let mut at = self.searched.saturating_sub(3);
        while let Some(end) = find_end(&self.tail, at) {
            self.count(whole, end);
            whole = end;
            at = end;
        }
        if whole == 0 {
            self.searched = self.tail.len();
            return None;
        }
        let events = self.tail.split_to(whole);
        self.searched = self.tail.len();
        Some(events.freeze())
    }

    /// Bytes after the last whole event, once the stream has ended.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.tail.split().freeze()
    }

    /// Forgets the bytes after the last whole event: the stream goes on elsewhere.
    pub fn reset(&mut self) {
        self.tail.clear();
        self.searched = 0;
    }

    /// Whole events that have passed.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    fn count(&mut self, start: usize, end: usize) {
        let mut is_data = false;
        for line in self.tail[start..end].split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).unwrap_or_default();
                if let Ok(id) = id.trim().parse() {
                    self.last = Some(id);
                }
            }
            is_data |= line.starts_with(b"data") || line.starts_with(b"id:");
        }
        self.events += u64::from(is_data);
    }
}

/// Offset behind the first empty line that ends at or after `from`.
fn find_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(step) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let newline = at + step;
        let rest = &bytes[newline + 1..];
        if rest.starts_with(b"\n") {
            return Some(newline + 2);
        }
        if rest.starts_with(b"\r\n") {
            return Some(newline + 3);
        }
        at = newline + 1;
    }
    None
}
