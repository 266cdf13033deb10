//! Readings of the monotonic clocks of other router processes.
//!
//! A VM that lost power can't tell from its own clock how long it was down, since its time of day
//! may jump. Its peers' monotonic clocks kept running. A process that replies to a server update or
//! to a call about a reservation includes the reading of its own clock, taken after it was asked.
//! So the time since that reading is at most the time since the request, by the clock of the router
//! that asked.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of processes remembered; the earliest reading is evicted. Covers the largest
/// fleet whose routers all exchange server updates, and a few restarts of each.
const MAX_PROCESSES: usize = 128;

/// Latest clock readings of other processes.
#[derive(Debug, Default)]
pub struct PeerClocks(Mutex<HashMap<u64, ClockReading>>);

/// A reading of another process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The process's monotonic clock, in milliseconds.
    pub steady: u64,
    /// When the reading was requested, by the monotonic clock of the requesting router, in
    /// milliseconds.
    pub asked: u64,
}

impl ClockReading {
    /// Upper bound of the time at `now`, by the clock of the requesting router, since the process's
    /// clock showed `stamp`.
    #[must_use]
    pub fn since(&self, stamp: u64, now: u64) -> Duration {
        let current = now.saturating_sub(self.asked) + self.steady;
        Duration::from_millis(current.saturating_sub(stamp))
    }
}

impl PeerClocks {
    /// Records a reading.
    pub fn record(&self, process: u64, reading: ClockReading) {
        let mut readings = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        readings.insert(process, reading);
        if readings.len() <= MAX_PROCESSES {
            return;
        }
        let oldest = readings.iter().min_by_key(|(_, reading)| reading.asked);
        if let Some(process) = oldest.map(|(process, _)| *process) {
            readings.remove(&process);
        }
    }

    /// The latest reading of a process.
    #[must_use]
    pub fn get(&self, process: u64) -> Option<ClockReading> {
        let readings = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        readings.get(&process).copied()
    }
}
