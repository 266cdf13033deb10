//! Reassembles the numbered chunks of an answer: in order and without duplicates.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use swiftlink_types::Micros;

/// Limits of an [`Assembler`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssemblerPolicy {
    /// Largest number of chunks buffered while an earlier one is missing.
    pub max_chunks: usize,
    /// Largest number of bytes buffered while an earlier chunk is missing.
    pub max_bytes: usize,
    /// Time that a gap may last before the stream must be resumed; reordering within it causes
    /// no resume.
    pub gap_timeout: Duration,
}

impl Default for AssemblerPolicy {
    fn default() -> Self {
        Self {
            max_chunks: 1_024,
            max_bytes: 1 << 20,
            gap_timeout: Duration::from_millis(20),
        }
    }
}

/// A chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Number assigned by the engine, from 0.
    pub number: u64,
    /// Payload as the engine sent it.
    pub data: Bytes,
}

/// Result of [`Assembler::push`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The chunk is buffered until all earlier ones are popped.
    Accepted,
    /// A chunk with this number was accepted before; this one is dropped.
    Duplicate,
    /// The buffer of out-of-order chunks is full; the chunk is dropped and must be sent again
    /// after a resume.
    Full,
}

/// A protocol violation of the engine, after which the answer can't be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssemblerError {
    /// A chunk's number is not below the end mark.
    #[error("chunk {number} is past the end mark {end}")]
    PastEnd {
        /// Number of the chunk.
        number: u64,
        /// The end mark.
        end: u64,
    },
    /// The engine sent two different end marks.
    #[error("end mark {second} differs from the first, {first}")]
    ConflictingEnds {
        /// The first end mark.
        first: u64,
        /// The second end mark.
        second: u64,
    },
}

/// Reassembles the chunks of one answer. The caller passes the current time.
#[derive(Debug)]
pub struct Assembler {
    policy: AssemblerPolicy,
    /// Number of the first chunk not yet accepted in order.
    next: u64,
    /// Chunks in order that were not popped yet.
    ready: VecDeque<Chunk>,
    /// Chunks after a gap, by number.
    out_of_order: BTreeMap<u64, Bytes>,
    out_of_order_bytes: usize,
    /// The engine's end mark: one more than the number of the last chunk.
    end: Option<u64>,
    /// When the current gap was first detected.
    gap_since: Option<Micros>,
    /// The connection ended before the answer was complete.
    disconnected: bool,
}

impl Assembler {
    /// Creates an assembler that starts at chunk `from`: 0, or the first one that a resuming caller
    /// has not received.
    #[must_use]
    pub fn new(policy: AssemblerPolicy, from: u64) -> Self {
        Self {
            policy,
            next: from,
            ready: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            out_of_order_bytes: 0,
            end: None,
            gap_since: None,
            disconnected: false,
        }
    }

    /// Adds chunk `number`, received at `now`.
    ///
    /// # Errors
    /// When the number is not below the end mark.
    pub fn push(
        &mut self,
        number: u64,
        data: Bytes,
        now: Micros,
    ) -> Result<PushOutcome, AssemblerError> {
        if let Some(end) = self.end
            && number >= end
        {
            return Err(AssemblerError::PastEnd { number, end });
        }
        if number < self.next || self.out_of_order.contains_key(&number) {
            return Ok(PushOutcome::Duplicate);
        }
        if number > self.next {
            return Ok(self.buffer(number, data, now));
        }
        self.advance(data);
        self.gap_since = self.has_gap().then_some(now);
        Ok(PushOutcome::Accepted)
    }

    /// Sets the engine's end mark: the numbers of all chunks are below `number`.
    ///
    /// # Errors
    /// When another end mark was set before, or a chunk at or past this one was accepted.
    pub fn end(&mut self, number: u64, now: Micros) -> Result<(), AssemblerError> {
        if let Some(first) = self.end {
            if first == number {
                return Ok(());
            }
            let second = number;
            return Err(AssemblerError::ConflictingEnds { first, second });
        }
        let last_buffered = self
            .out_of_order
            .last_key_value()
            .map(|(number, _)| *number);
        let newest = last_buffered.or(self.next.checked_sub(1));
        if let Some(newest) = newest
            && newest >= number
        {
            let end = number;
            return Err(AssemblerError::PastEnd {
                number: newest,
                end,
            });
        }
        self.end = Some(number);
        if self.gap_since.is_none() && self.has_gap() {
            self.gap_since = Some(now);
        }
        Ok(())
    }

    /// Records that the connection to the engine ended, so that missing chunks won't arrive.
    pub fn on_disconnect(&mut self) {
        self.disconnected = true;
    }

    /// Records that the stream was resumed from [`Self::resume_from`], so that chunks may arrive
    /// again.
    pub fn on_resume(&mut self, now: Micros) {
        self.disconnected = false;
        self.gap_since = self.has_gap().then_some(now);
    }

    /// Removes and returns the next chunk in order.
    pub fn pop(&mut self) -> Option<Chunk> {
        self.ready.pop_front()
    }

    /// Returns the number to resume the stream from, when the answer is incomplete and a resume is
    /// needed: the connection ended, or a gap has lasted for the policy's `gap_timeout`.
    #[must_use]
    pub fn resume_from(&self, now: Micros) -> Option<u64> {
        if self.is_complete() {
            return None;
        }
        if self.disconnected {
            return Some(self.next);
        }
        let since = self.gap_since?;
        let waited = Duration::from_micros(now.saturating_sub(since));
        (waited >= self.policy.gap_timeout).then_some(self.next)
    }

    /// Returns when [`Self::resume_from`] must be called again, while there is a gap.
    #[must_use]
    pub fn check_at(&self) -> Option<Micros> {
        let since = self.gap_since?;
        Some(since.saturating_add(self.policy.gap_timeout.as_micros() as Micros))
    }

    /// Whether all chunks up to the end mark were accepted, popped or not.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.next)
    }

    /// Whether the answer is complete and every chunk was popped.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_complete() && self.ready.is_empty()
    }

    /// Returns the number of the first chunk that was not accepted in order yet.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Buffers a chunk that arrived after a gap.
    fn buffer(&mut self, number: u64, data: Bytes, now: Micros) -> PushOutcome {
        let bytes = self.out_of_order_bytes + data.len();
        self.gap_since.get_or_insert(now);
        if self.out_of_order.len() >= self.policy.max_chunks || bytes > self.policy.max_bytes {
            return PushOutcome::Full;
        }
        self.out_of_order_bytes = bytes;
        self.out_of_order.insert(number, data);
        PushOutcome::Accepted
    }

    /// Appends the next chunk in order, and the buffered chunks that follow it.
    fn advance(&mut self, data: Bytes) {
        let mut data = Some(data);
        while let Some(bytes) = data {
            let number = self.next;
            self.ready.push_back(Chunk {
                number,
                data: bytes,
            });
            self.next += 1;
            data = self.out_of_order.remove(&self.next);
            self.out_of_order_bytes -= data.as_ref().map_or(0, Bytes::len);
        }
    }

    fn has_gap(&self) -> bool {
        !self.out_of_order.is_empty() || self.end.is_some_and(|end| self.next < end)
    }
}
