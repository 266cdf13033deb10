//! Splits a stream of server-sent events at event boundaries.
//!
//! A response may be resumed at another server only after a complete event, so bytes are passed
//! on event by event, unchanged. A line ends with LF, CRLF or CR, and an empty line ends an event.

use bytes::{Bytes, BytesMut};

/// Buffers a partial event and tracks the complete events of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Bytes of `partial` that were already scanned.
    scanned: usize,
    /// Offset of the line that is being scanned.
    line_start: usize,
    /// The byte before was a CR, and an LF belongs to the same line end.
    after_cr: bool,
    /// The byte before was a CR that ended an empty line; the event ends after an LF that may follow.
    ends_after_lf: bool,
    event: PartialEvent,
    events: u64,
    last_id: Option<u64>,
    /// Whether an event without an id followed the last one that has one.
    has_passed_id: bool,
    /// Id that the next one has to exceed, as the server goes on after this event.
    after: Option<u64>,
    has_gone_back: bool,
}

/// The complete lines of an event whose empty line is still to come.
#[derive(Debug, Default)]
struct PartialEvent {
    /// Whether there is a line that isn't a comment.
    has_fields: bool,
    has_data: bool,
    id: Option<u64>,
}

impl PartialEvent {
    fn add(&mut self, line: &[u8]) {
        self.has_fields |= !line.starts_with(b":");
        self.has_data |= line.starts_with(b"data");
        let Some(id) = line.strip_prefix(b"id:") else {
            return;
        };
        self.has_data = true;
        let id = std::str::from_utf8(id).unwrap_or_default();
        self.id = id.trim().parse().ok().or(self.id);
    }
}

impl EventSplitter {
    /// A splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Expects a server that goes on after the event with the id `last`.
    pub fn expect_after(&mut self, last: Option<u64>) {
        self.after = last;
    }

    /// Whether the server didn't go on after the event that it was to go on after, but with an earlier
    /// one or with that event itself. Nothing is returned from then on, until the next reset.
    #[must_use]
    pub fn has_gone_back(&self) -> bool {
        self.has_gone_back
    }

    /// Appends the next bytes and returns the events that are complete now, if any.
    pub fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(chunk);
        let mut complete = 0;
        while self.scanned < self.partial.len() && !self.has_gone_back {
            if let Some(end) = self.scan_byte() {
                self.end_event();
                complete = end;
            }
        }
        if self.has_gone_back {
            return None;
        }
        if complete == 0 {
            return None;
        }
        self.scanned -= complete;
        self.line_start -= complete;
        Some(self.partial.split_to(complete).freeze())
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub fn take_rest(&mut self) -> Bytes {
        let rest = self.partial.split().freeze();
        self.reset();
        rest
    }

    /// Drops the bytes after the last complete event: another server resumes the stream.
    pub fn reset(&mut self) {
        *self = Self {
            events: self.events,
            last_id: self.last_id,
            has_passed_id: self.has_passed_id,
            ..Self::default()
        };
    }

    /// Whether the bytes so far end inside an event. Complete comment lines belong to none.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.event.has_fields || self.line_start < self.partial.len()
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

    /// Whether a server that goes on after the last id would send events again: those without an id that
    /// followed it.
    #[must_use]
    pub fn has_passed_id(&self) -> bool {
        self.has_passed_id
    }

    /// Scans the next byte. Returns the offset of the end of an event, if one ends there.
    fn scan_byte(&mut self) -> Option<usize> {
        let at = self.scanned;
        self.scanned += 1;
        let byte = self.partial[at];
        let after_cr = std::mem::take(&mut self.after_cr);
        if after_cr && byte == b'\n' {
            self.line_start = at + 1;
            let ends = std::mem::take(&mut self.ends_after_lf);
            return ends.then_some(at + 1);
        }
        let ended = std::mem::take(&mut self.ends_after_lf).then_some(at);
        if byte != b'\n' && byte != b'\r' {
            return ended;
        }
        let is_empty = self.line_start == at;
        if !is_empty {
            self.event.add(&self.partial[self.line_start..at]);
        }
        self.line_start = at + 1;
        self.after_cr = byte == b'\r';
        if !is_empty {
            return ended;
        }
        if byte == b'\n' || after_cr {
            return Some(at + 1);
        }
        self.ends_after_lf = true;
        ended
    }

    fn end_event(&mut self) {
        let event = std::mem::take(&mut self.event);
        if let Some(id) = event.id
            && self.after.take().is_some_and(|after| id <= after)
        {
            self.has_gone_back = true;
            return;
        }
        self.events += u64::from(event.has_data);
        if event.has_data {
            self.has_passed_id = event.id.is_none();
        }
        self.last_id = event.id.or(self.last_id);
    }
}
