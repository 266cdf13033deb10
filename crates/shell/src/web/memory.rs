//! Memory that the request bodies of a server take, all together.
//!
//! A body holds its bytes from the moment at which it begins to arrive until the last copy of it is
//! dropped. Small bodies have a part of the memory to themselves, so that they never wait behind
//! large ones.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;
use tokio::sync::Notify;

/// Largest body, in bytes, that takes its memory from the part for small ones.
const SMALL_BODY: usize = 64 * 1024;
/// One in so many bytes of the memory is for small bodies.
const SMALL_SHARE: usize = 4;

/// The memory of all request bodies of a server.
#[derive(Debug)]
pub struct BodyMemory {
    small: Part,
    large: Part,
    /// Notified when bytes are released.
    pub(super) released: Notify,
    refused: AtomicU64,
    stalled: AtomicU64,
}

/// Numbers of bodies since the start of the server that weren't read to their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BodyCounts {
    /// Refused for lack of memory.
    pub refused: u64,
    /// Ended since others needed the memory or the connection of a client that was behind.
    pub stalled: u64,
}

impl BodyCounts {
    /// The bodies since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            refused: self.refused - earlier.refused,
            stalled: self.stalled - earlier.stalled,
        }
    }
}

/// A part of the memory with a limit of its own.
#[derive(Debug)]
struct Part {
    limit: usize,
    held: AtomicUsize,
}

impl Part {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            held: AtomicUsize::new(0),
        }
    }

    /// Changes what one body holds from `own` to `bytes`. A body that is alone may exceed the limit,
    /// since no router could serve it otherwise.
    fn resize(&self, own: usize, bytes: usize) -> bool {
        let fits = |held: usize| {
            let others = held - own;
            let total = others + bytes;
            (total <= self.limit || others == 0 || bytes <= own).then_some(total)
        };
        self.held.fetch_update(Relaxed, Relaxed, fits).is_ok()
    }

    fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Relaxed);
    }
}

impl BodyMemory {
    pub(super) fn new(limit: usize) -> Self {
        let small = limit / SMALL_SHARE;
        Self {
            small: Part::new(small),
            large: Part::new(limit - small),
            released: Notify::new(),
            refused: AtomicU64::new(0),
            stalled: AtomicU64::new(0),
        }
    }

    /// Bodies that weren't read to their end.
    #[must_use]
    pub fn counts(&self) -> BodyCounts {
        BodyCounts {
            refused: self.refused.load(Relaxed),
            stalled: self.stalled.load(Relaxed),
        }
    }

    pub(super) fn count_refused(&self) {
        self.refused.fetch_add(1, Relaxed);
    }

    pub(super) fn count_stalled(&self) {
        self.stalled.fetch_add(1, Relaxed);
    }

    /// Bytes that bodies hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.small.held.load(Relaxed) + self.large.held.load(Relaxed)
    }

    /// Largest number of bytes that bodies may hold, unless one is larger by itself.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.small.limit + self.large.limit
    }

    /// Whether bodies that hold `one` and `other` bytes are in the same part of the memory.
    pub(super) fn is_same_part(&self, one: usize, other: usize) -> bool {
        one > 0 && std::ptr::eq(self.part(one), self.part(other))
    }

    fn part(&self, bytes: usize) -> &Part {
        if bytes > SMALL_BODY {
            &self.large
        } else {
            &self.small
        }
    }
}

/// What one body holds; released on drop.
pub(super) struct Lease {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

impl Lease {
    pub(super) fn empty(memory: &Arc<BodyMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    /// Bytes that the body holds.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// The memory that the body is in.
    pub(super) fn memory(&self) -> &Arc<BodyMemory> {
        &self.memory
    }

    /// Holds `bytes` instead. Returns false and changes nothing if others hold too much.
    pub(super) fn resize(&mut self, bytes: usize) -> bool {
        let (from, to) = (self.memory.part(self.bytes), self.memory.part(bytes));
        let is_moved = !std::ptr::eq(from, to);
        let own = if is_moved { 0 } else { self.bytes };
        if !to.resize(own, bytes) {
            return false;
        }
        if is_moved {
            from.release(self.bytes);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.memory.part(self.bytes).release(self.bytes);
        self.memory.released.notify_waiters();
    }
}

impl fmt::Debug for Lease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Lease").field(&self.bytes).finish()
    }
}

/// The content of a body, with its lease.
#[derive(Debug)]
pub(super) struct Content {
    bytes: Vec<u8>,
    lease: Lease,
}

impl Content {
    pub(super) fn empty(memory: &Arc<BodyMemory>) -> Self {
        Self {
            bytes: Vec::new(),
            lease: Lease::empty(memory),
        }
    }

    pub(super) fn lease(&self) -> &Lease {
        &self.lease
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Makes room for `capacity` bytes in all. Returns false if the memory has none.
    pub(super) fn reserve(&mut self, capacity: usize) -> bool {
        if !self.lease.resize(capacity) {
            return false;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }

    /// Adds a piece that fits in the room that was made.
    pub(super) fn push(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// The bytes, which keep the lease until the last copy is dropped.
    pub(super) fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Content {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
