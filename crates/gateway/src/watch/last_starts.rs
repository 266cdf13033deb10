//! The newest start time of each server, against records of earlier instances that arrive late.
//!
//! Anyone may write under the name of a server, so no start time counts for good: one that isn't
//! confirmed is forgotten, and one that is further ahead than clocks differ is never kept.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::{ServerName, WallMs, wall_ms};
use tokio::time::Instant;

use crate::clock::steady_millis;

/// How late a record of an ended instance may arrive after the last entry of a newer one.
const MAX_LATENESS: Duration = Duration::from_secs(120);
/// How far the clocks of a server and a router may differ.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(60);

/// What the start time in an entry says about the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartOrder {
    /// The server has reported no later start time lately.
    First,
    /// It repeats the known start time.
    Same,
    /// It is of a newer instance than was known.
    Newer,
    /// It is of an earlier instance.
    Earlier,
    /// It is absent or not possible, and the server has reported one that is.
    Foreign,
}

/// The newest start times that servers have reported lately.
#[derive(Debug, Default)]
pub(super) struct LastStarts {
    /// Each with the time at which it was last reported.
    starts: HashMap<ServerName, (WallMs, Instant)>,
    clock: LatestTime,
}

impl LastStarts {
    /// Compares the start time in an entry with those before it, without keeping it. `listed` is the
    /// start time of the server as it is used now, 0 if there is none.
    pub(super) fn compare(
        &mut self,
        name: &ServerName,
        started: WallMs,
        listed: WallMs,
    ) -> StartOrder {
        let known = self.starts.get(name);
        let newest = known.filter(|(_, at)| at.elapsed() < MAX_LATENESS);
        let newest = newest.map(|(newest, _)| *newest);
        let listed = Some(listed).filter(|at| self.clock.is_possible(*at));
        let Some(known) = newest.or(listed) else {
            return StartOrder::First;
        };
        if !self.clock.is_possible(started) {
            return StartOrder::Foreign;
        }
        match (started.cmp(&known), newest) {
            (Ordering::Less, Some(_)) => StartOrder::Earlier,
            (Ordering::Less, None) => StartOrder::First,
            (Ordering::Equal, _) => StartOrder::Same,
            (Ordering::Greater, _) => StartOrder::Newer,
        }
    }

    /// Keeps the start time of an entry that counts, if it is possible.
    pub(super) fn confirm(&mut self, name: &ServerName, started: WallMs) {
        if self.clock.is_possible(started) {
            self.starts.insert(name.clone(), (started, Instant::now()));
        }
    }

    /// Forgets the start times that nothing has confirmed lately.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        self.starts.retain(|_, (_, at)| now < *at + MAX_LATENESS);
    }
}

/// The latest time that the wall clock has shown, and that has passed since. So a clock that steps
/// back makes no start time look impossible.
#[derive(Debug, Default)]
pub(super) struct LatestTime {
    /// The largest difference seen between the wall clock and the monotonic clock.
    ahead: WallMs,
}

impl LatestTime {
    /// Whether a server can have started at `started`; 0 stands for an unknown time.
    fn is_possible(&mut self, started: WallMs) -> bool {
        let now = self.at(wall_ms(), steady_millis());
        let latest = now.saturating_add(MAX_CLOCK_DIFFERENCE.as_millis() as u64);
        (1..=latest).contains(&started)
    }

    /// The time when the clocks show `wall` and `steady`.
    fn at(&mut self, wall: WallMs, steady: u64) -> WallMs {
        self.ahead = self.ahead.max(wall.saturating_sub(steady));
        self.ahead.saturating_add(steady)
    }
}

#[cfg(test)]
mod tests;
