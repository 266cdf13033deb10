//! Puts the numbered chunks of one answer in order, each once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use swiftlink_types::Micros;

/// Limits of one assembler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssemblerPolicy {
    /// Most chunks kept while an earlier one is missing.
    pub max_chunks: usize,
    /// Most bytes kept while an earlier chunk is missing.
    pub max_bytes: usize,
    /// Time that a gap may last before a resume is asked for; reordering within
    /// it costs nothing.
    pub patience: Duration,
}

impl Default for AssemblerPolicy {
    fn default() -> Self {
        Self {
            max_chunks: 1_024,
            max_bytes: 1 << 20,
            patience: Duration::from_millis(20),
        }
    }
}

/// One chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Number that the engine gave it; the first is 0.
    pub number: u64,
    /// Its bytes as the engine sent them.
    pub data: Bytes,
}

/// What became of an offered chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Kept; it comes out once all before it have.
    Kept,
    /// A copy of a chunk taken before; dropped.
    Double,
    /// The buffer is full of later chunks; dropped, a resume will bring it again.
    Full,
}

/// Why the answer can't be trusted any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssemblerError {
    /// A chunk is numbered past the engine's end mark.
    #[error("chunk {number} is past the end mark {end}")]
    PastEnd {
        /// Number of the chunk.
        number: u64,
        /// Number of the end mark.
        end: u64,
    },
    /// The engine gave two different end marks.
    #[error("end mark {second} differs from the first, {first}")]
    TwoEnds {
        /// The first end mark.
        first: u64,
        /// The second.
        second: u64,
    },
}

/// Assembles one answer; time is an argument.
#[derive(Debug)]
pub struct Assembler {
    policy: AssemblerPolicy,
    /// Next number to be put out in order.
    next: u64,
    /// Chunks in order, not yet popped.
    ready: VecDeque<Chunk>,
    /// Chunks past a gap.
    early: BTreeMap<u64, Bytes>,
    early_bytes: usize,
    /// Number of the engine's end mark, which itself is no chunk.
    end: Option<u64>,
    /// When the present gap was first seen.
    gap_since: Option<Micros>,
    /// The connection ended before the answer did.
    cut: bool,
}

impl Assembler {
    /// An assembler whose first chunk is `from`: 0, or the next one that a
    /// resuming caller has not seen.
    #[must_use]
    pub fn new(policy: AssemblerPolicy, from: u64) -> Self {
        Self {
            policy,
            next: from,
            ready: VecDeque::new(),
            early: BTreeMap::new(),
            early_bytes: 0,
            end: None,
            gap_since: None,
            cut: false,
        }
    }

    /// Offers chunk `number`, received at `now`.
    ///
    /// # Errors
    /// When the number is past the engine's end mark.
    pub fn push(&mut self, number: u64, data: Bytes, now: Micros) -> Result<Taken, AssemblerError> {
        if let Some(end) = self.end
            && number >= end
        {
            return Err(AssemblerError::PastEnd { number, end });
        }
        if number < self.next || self.early.contains_key(&number) {
            return Ok(Taken::Double);
        }
        if number > self.next {
            return Ok(self.keep_early(number, data, now));
        }
        self.advance(data);
        self.gap_since = self.has_gap().then_some(now);
        Ok(Taken::Kept)
    }

    /// Takes the engine's end mark: all chunks are numbered below `number`.
    ///
    /// # Errors
    /// When another end mark was taken before, or a chunk past this one.
    pub fn end(&mut self, number: u64, now: Micros) -> Result<(), AssemblerError> {
        if let Some(first) = self.end {
            if first == number {
                return Ok(());
            }
            let second = number;
            return Err(AssemblerError::TwoEnds { first, second });
        }
        let last_early = self.early.last_key_value().map(|(number, _)| *number);
        let newest = last_early.or(self.next.checked_sub(1));
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

    /// The connection to the engine ended; what has not come will not.
    pub fn on_disconnect(&mut self) {
        self.cut = true;
    }

    /// A resume from [`Self::resume_from`] was asked for; its chunks may come now.
    pub fn on_resume(&mut self, now: Micros) {
        self.cut = false;
        self.gap_since = self.has_gap().then_some(now);
    }

    /// The next chunk in order, once.
    pub fn pop(&mut self) -> Option<Chunk> {
        self.ready.pop_front()
    }

    /// The number to resume from, when the answer is incomplete and the missing
    /// part will not come by itself: the connection was cut, or a gap has lasted
    /// longer than the policy's patience.
    #[must_use]
    pub fn resume_from(&self, now: Micros) -> Option<u64> {
        if self.is_complete() {
            return None;
        }
        if self.cut {
            return Some(self.next);
        }
        let since = self.gap_since?;
        let waited = Duration::from_micros(now.saturating_sub(since));
        (waited >= self.policy.patience).then_some(self.next)
    }

    /// When [`Self::resume_from`] should be asked again, while a gap is open.
    #[must_use]
    pub fn check_at(&self) -> Option<Micros> {
        let since = self.gap_since?;
        Some(since.saturating_add(self.policy.patience.as_micros() as Micros))
    }

    /// Whether all chunks up to the engine's end mark were taken, popped or not.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.end == Some(self.next)
    }

    /// Whether the answer is whole and every chunk was popped.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.is_complete() && self.ready.is_empty()
    }

    /// Number of the first chunk that has not been taken in order.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    fn keep_early(&mut self, number: u64, data: Bytes, now: Micros) -> Taken {
        let bytes = self.early_bytes + data.len();
        self.gap_since.get_or_insert(now);
        if self.early.len() >= self.policy.max_chunks || bytes > self.policy.max_bytes {
            return Taken::Full;
        }
        self.early_bytes = bytes;
        self.early.insert(number, data);
        Taken::Kept
    }

    fn advance(&mut self, data: Bytes) {
        let mut data = Some(data);
        while let Some(bytes) = data {
            let number = self.next;
            self.ready.push_back(Chunk {
                number,
                data: bytes,
            });
            self.next += 1;
            data = self.early.remove(&self.next);
            self.early_bytes -= data.as_ref().map_or(0, Bytes::len);
        }
    }

    fn has_gap(&self) -> bool {
        !self.early.is_empty() || self.end.is_some_and(|end| self.next < end)
    }
}
