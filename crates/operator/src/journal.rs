//! Memory of what the configuration stream decided: events for watches, fates for applies.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use swiftlink_resource::{Event, SetFate, Verdict};

#[cfg(test)]
mod tests;

/// Decisions that are kept, oldest forgotten first.
const FATE_MEMORY: usize = 8_192;

/// Position of a watch in the journal; survives the trimming of older events.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Cursor {
    generation: u64,
    index: u64,
    /// Events of this version or before are passed over, also those yet to come.
    after: u64,
}

/// Events of a watch.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) struct Batch {
    /// The events.
    pub(crate) events: Vec<Event>,
    /// When no more events wait: version up to which all were given.
    pub(crate) whole: Option<u64>,
}

/// The events asked for are no longer kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Gone {
    /// Oldest version that a watch can begin from.
    pub(crate) oldest: u64,
}

/// Events and fates in offset order.
#[derive(Debug)]
pub(crate) struct Journal {
    limit: usize,
    events: VecDeque<Event>,
    /// Index of the first event kept, counted over the generation.
    base: u64,
    /// Every event of a later version is kept.
    floor: u64,
    /// Version after the last decision.
    version: u64,
    /// Grows when events were lost between two that were seen.
    generation: u64,
    fates: HashMap<Arc<str>, SetFate>,
    order: VecDeque<Arc<str>>,
}

impl Journal {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            events: VecDeque::new(),
            base: 0,
            floor: 0,
            version: 0,
            generation: 0,
            fates: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Adds a decision, in offset order.
    pub(crate) fn push(&mut self, fate: SetFate) {
        self.version = self.version.max(fate.version);
        for event in &fate.events {
            self.events.push_back(event.clone());
        }
        while self.events.len() > self.limit {
            let Some(event) = self.events.pop_front() else {
                break;
            };
            self.base += 1;
            self.floor = self.floor.max(event.version);
        }
        self.remember(fate);
    }

    /// Forgets the events: some after them were never seen. `floor` is a version
    /// from which on none is missing.
    pub(crate) fn restart(&mut self, floor: u64) {
        self.events.clear();
        self.base = 0;
        self.floor = floor;
        self.version = self.version.max(floor);
        self.generation += 1;
    }

    /// The decision on a set. A copy's fate is known only if the first decision was not seen.
    pub(crate) fn fate(&self, id: &str) -> Option<&SetFate> {
        self.fates.get(id)
    }

    /// Where a watch of all events after `version` begins.
    pub(crate) fn seek(&self, version: u64) -> Result<Cursor, Gone> {
        if version < self.floor {
            return Err(Gone { oldest: self.floor });
        }
        let skip = self
            .events
            .partition_point(|event| event.version <= version);
        Ok(Cursor {
            generation: self.generation,
            index: self.base + skip as u64,
            after: version,
        })
    }

    /// Up to `max` events from `cursor` on, which moves behind them.
    pub(crate) fn read(&self, cursor: &mut Cursor, max: usize) -> Result<Batch, Gone> {
        if cursor.generation != self.generation || cursor.index < self.base {
            return Err(Gone { oldest: self.floor });
        }
        let skip = usize::try_from(cursor.index - self.base).unwrap_or(usize::MAX);
        let mut events = Vec::new();
        let mut whole = Some(self.version.max(cursor.after));
        for event in self.events.iter().skip(skip) {
            if events.len() == max {
                whole = None;
                break;
            }
            cursor.index += 1;
            if event.version > cursor.after {
                events.push(event.clone());
            }
        }
        Ok(Batch { events, whole })
    }

    /// Number of events kept.
    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }

    /// Oldest version that a watch can begin from.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    fn remember(&mut self, fate: SetFate) {
        let id = Arc::clone(&fate.id);
        let known = self.fates.contains_key(&id);
        if known && fate.verdict == Verdict::Duplicate {
            return;
        }
        if !known {
            self.order.push_back(Arc::clone(&id));
        }
        // The events stand in the journal already.
        let slim = SetFate {
            events: Vec::new(),
            ..fate
        };
        self.fates.insert(id, slim);
        if self.order.len() > FATE_MEMORY
            && let Some(oldest) = self.order.pop_front()
        {
            self.fates.remove(&oldest);
        }
    }
}
