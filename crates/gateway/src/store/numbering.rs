//! Sequence numbers of appends in the eras of a store.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use super::Feed;

/// The numbers of appends in the current era. A store that came back from an older copy doesn't know
/// the last numbers of its producers, so each era has producers of its own.
#[derive(Debug, Default)]
pub struct Numbering(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    era: u64,
    /// For each producer, the sequence number before its first one in the era.
    before: HashMap<(Feed, String), u64>,
}

impl Numbering {
    /// The name and the number in `era` of the append that `producer` counts as `sequence`. Era 0
    /// is that of a store without eras.
    #[must_use]
    pub fn number(&self, era: u64, feed: Feed, producer: &str, sequence: u64) -> (String, u64) {
        if era == 0 {
            return (producer.to_owned(), sequence);
        }
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.era != era {
            state.before.clear();
            state.era = era;
        }
        let key = (feed, producer.to_owned());
        let before = state.before.entry(key);
        let before = *before.or_insert_with(|| sequence.saturating_sub(1));
        (format!("{producer}@{era}"), sequence - before)
    }
}
