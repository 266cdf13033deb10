//! Splits a stream of server-sent events at event boundaries.
//!
//! A response may be resumed at another server only after a complete event, so bytes are passed
//! on event by event, unchanged.

use bytes::{Bytes, BytesMut};

/// Buffers a partial event and tracks the complete events of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Bytes of `partial` that were already searched for an event boundary.
    searched: usize,
    events: u64,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends the next bytes and returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(chunk);
        let mut complete = 0;
        let mut at = self.searched.saturating_sub(3);
        while let Some(end) = find_boundary(&self.partial, at) {
            self.count(complete, end);
            complete = end;
            at = end;
        }
        if complete == 0 {
            self.searched = self.partial.len();
            return None;
        }
        let events = self.partial.split_to(complete);
        self.searched = self.partial.len();
        Some(events.freeze())
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched = 0;
        self.partial.split().freeze()
    }

    /// Drops the bytes after the last complete event: another server resumes the stream.
    pub fn reset(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Number of bytes after the last complete event.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Number of complete events so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Id of the last complete event that had one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn count(&mut self, start: usize, end: usize) {
        let mut is_data = false;
        for line in self.partial[start..end].split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = std::str::from_utf8(id).unwrap_or_default();
                if let Ok(id) = id.trim().parse() {
                    self.last_id = Some(id);
                }
            }
            is_data |= line.starts_with(b"data") || line.starts_with(b"id:");
        }
        self.events += u64::from(is_data);
    }
}

/// Offset just after the first empty line that ends at or after `from`.
fn find_boundary(bytes: &[u8], from: usize) -> Option<usize> {
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
