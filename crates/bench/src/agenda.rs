//! A priority queue of events in virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use swiftlink_types::Micros;

/// Pending events, earliest first; events with equal times keep insertion order.
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
    /// Creates an empty agenda.
    #[must_use]
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            count: 0,
        }
    }

    /// Schedules an event at the given time.
    pub fn schedule(&mut self, at: Micros, event: T) {
        let number = self.count;
        self.count += 1;
        self.heap.push(Reverse(Item { at, number, event }));
    }

    /// Removes and returns the earliest event.
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
