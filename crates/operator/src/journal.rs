//! In-memory history of the configuration stream: events for watches, fates for applies.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use swiftlink_resource::{Event, SetFate, Verdict};

#[cfg(test)]
mod tests;

/// Number of retained fates; the oldest is evicted first.
const MAX_FATES: usize = 8_192;

/// Position of a watch in the journal; stays valid when older events are trimmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Cursor {
    generation: u64,
    index: u64,
    /// Events up to this version are skipped, including those added later.
    after: u64,
}

/// Result of one read by a watch.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Batch {
    /// Events in offset order.
    pub(crate) events: Vec<Event>,
    /// Version up to which all events were delivered; `None` if more events are pending.
    pub(crate) complete_to: Option<u64>,
}

/// Error: the requested events are no longer retained.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Gone {
    /// Oldest version that a watch can start from.
    pub(crate) oldest: u64,
}

/// Events and fates in offset order.
#[derive(Debug)]
pub(crate) struct Journal {
    /// Maximum number of retained events.
    max_events: usize,
    events: VecDeque<Event>,
    /// Index of the first retained event, counted from the start of the generation.
    first_index: u64,
    /// All events of later versions are retained.
    floor: u64,
    /// Configuration version after the last decision.
    version: u64,
    /// Incremented when events were missed, which invalidates all cursors.
    generation: u64,
    fates: HashMap<Arc<str>, SetFate>,
    fate_order: VecDeque<Arc<str>>,
}

impl Journal {
    pub(crate) fn new(max_events: usize) -> Self {
        Self {
            max_events,
            events: VecDeque::new(),
            first_index: 0,
            floor: 0,
            version: 0,
            generation: 0,
            fates: HashMap::new(),
            fate_order: VecDeque::new(),
        }
    }

    /// Appends a fate. Fates must be pushed in offset order.
    pub(crate) fn push(&mut self, fate: SetFate) {
        self.version = self.version.max(fate.version);
        for event in &fate.events {
            self.events.push_back(event.clone());
        }
        while self.events.len() > self.max_events {
            let Some(event) = self.events.pop_front() else {
                break;
            };
            self.first_index += 1;
            self.floor = self.floor.max(event.version);
        }
        self.insert_fate(fate);
    }

    /// Discards the retained events because later ones were missed. No event after version
    /// `floor` is missing.
    pub(crate) fn restart(&mut self, floor: u64) {
        self.events.clear();
        self.first_index = 0;
        self.floor = floor;
        self.version = self.version.max(floor);
        self.generation += 1;
    }

    /// Returns the fate of a set. It is [`Verdict::Duplicate`] only if the first decision on the
    /// set was not received.
    pub(crate) fn fate(&self, id: &str) -> Option<&SetFate> {
        self.fates.get(id)
    }

    /// Returns the cursor of a watch of all events after `version`.
    pub(crate) fn seek(&self, version: u64) -> Result<Cursor, Gone> {
        if version < self.floor {
            return Err(Gone { oldest: self.floor });
        }
        let skip = self
            .events
            .partition_point(|event| event.version <= version);
        Ok(Cursor {
            generation: self.generation,
            index: self.first_index + skip as u64,
            after: version,
        })
    }

    /// Returns up to `max` events from `cursor` on and advances the cursor.
    pub(crate) fn read(&self, cursor: &mut Cursor, max: usize) -> Result<Batch, Gone> {
        if cursor.generation != self.generation || cursor.index < self.first_index {
            return Err(Gone { oldest: self.floor });
        }
        let skip = usize::try_from(cursor.index - self.first_index).unwrap_or(usize::MAX);
        let mut events = Vec::new();
        let mut complete_to = Some(self.version.max(cursor.after));
        for event in self.events.iter().skip(skip) {
            if events.len() == max {
                complete_to = None;
                break;
            }
            cursor.index += 1;
            if event.version > cursor.after {
                events.push(event.clone());
            }
        }
        Ok(Batch {
            events,
            complete_to,
        })
    }

    /// Returns the number of retained events.
    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns the oldest version that a watch can start from.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    fn insert_fate(&mut self, fate: SetFate) {
        let id = Arc::clone(&fate.id);
        let known = self.fates.contains_key(&id);
        if known && fate.verdict == Verdict::Duplicate {
            return;
        }
        if !known {
            self.fate_order.push_back(Arc::clone(&id));
        }
        // `events` has them already.
        let without_events = SetFate {
            events: Vec::new(),
            ..fate
        };
        self.fates.insert(id, without_events);
        if self.fate_order.len() > MAX_FATES
            && let Some(oldest) = self.fate_order.pop_front()
        {
            self.fates.remove(&oldest);
        }
    }
}
