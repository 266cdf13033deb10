//! Events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use swiftlink_types::Micros;

/// Events to come, soonest first; of equal times the one put first.
#[derive(Debug)]
pub struct Agenda<T> {
    heap: BinaryHeap<Reverse<Item<T>>>,
    count: u64,
}

#[derive(Debug)]
struct Item<T> {
    at: Micros,
    number: u64,
    event: T,
}

impl<T> Agenda<T> {
    /// No events.
    #[must_use]
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Puts an event at a time.
    pub fn put(&mut self, at: Micros, event: T) {
        let number = self.count;
        self.count += 1;
        self.heap.push(Reverse(Item { at, number, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        let Reverse(item) = self.heap.pop()?;
        Some((item.at, item.event))
    }
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> Item<T> {
    fn rank(&self) -> (Micros, u64) {
        (self.at, self.number)
    }
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}
