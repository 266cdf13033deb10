//! When other router processes were last seen alive, by their own steady clocks.
//!
//! A VM that lost power has no clock that tells how long it was away: its time of day may
//! jump. Its peers' steady clocks went on. A process that answers a note says what its own
//! clock showed; it read it after it was asked. So the time since that reading is at most the
//! time since the question, by the clock of the router that asked.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Processes that are remembered, the latest ones: those of a fleet that routers tell notes in,
/// and a few restarts of each.
const KEPT: usize = 128;

/// Readings of other processes' clocks.
#[derive(Debug, Default)]
pub struct Sightings(Mutex<HashMap<u64, Sighting>>);

/// One reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// What the process's steady clock showed, in milliseconds.
    pub steady: u64,
    /// When it was asked, by the steady clock of the router that asked, in milliseconds.
    pub asked: u64,
}

impl Sighting {
    /// The longest time that may have passed at `now`, by the clock of the router that asked,
    /// since the process's clock showed `stamp`.
    #[must_use]
    pub fn since(&self, stamp: u64, now: u64) -> Duration {
        let after = now.saturating_sub(self.asked) + self.steady;
        Duration::from_millis(after.saturating_sub(stamp))
    }
}

impl Sightings {
    /// Notes a reading.
    pub fn note(&self, process: u64, sighting: Sighting) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(process, sighting);
        if known.len() <= KEPT {
            return;
        }
        let oldest = known.iter().min_by_key(|(_, sighting)| sighting.asked);
        if let Some(process) = oldest.map(|(process, _)| *process) {
            known.remove(&process);
        }
    }

    /// The last reading of a process.
    #[must_use]
    pub fn get(&self, process: u64) -> Option<Sighting> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(&process).copied()
    }
}
