//! Servers that asked for rest: they get nothing until it is over.

use std::time::Duration;

use swiftlink_types::Micros;

use super::Fleet;
use crate::server::ServerIdx;

impl Fleet {
    /// The server leaves, by its own word: it gets no more work before its next start.
    pub fn on_leaving(&mut self, idx: ServerIdx) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.is_drained = true;
        self.refresh();
    }

    /// The server wants nothing until `until`. An earlier time than one before doesn't end that.
    pub fn on_rest(&mut self, idx: ServerIdx, now: Micros, until: Micros) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.rests_until = server.rests_until.max(until);
        self.wake(now);
    }

    /// Time until the first server that rests wants work again; `None` where none rests.
    #[must_use]
    pub fn rest_left(&self, now: Micros) -> Option<Duration> {
        let wakes = self.wakes_at?;
        Some(Duration::from_micros(wakes.saturating_sub(now)))
    }

    /// Whether a server's rest is over by now.
    pub(super) fn is_wake_due(&self, now: Micros) -> bool {
        self.wakes_at.is_some_and(|at| at <= now)
    }

    /// Lets those work again whose rest is over.
    pub(super) fn wake(&mut self, now: Micros) {
        let mut next: Option<Micros> = None;
        for slot in self.by_name.values() {
            let server = &mut self.servers[*slot as usize];
            server.is_resting = server.rests_until > now;
            if !server.is_resting {
                continue;
            }
            let until = server.rests_until;
            next = Some(next.map_or(until, |next| next.min(until)));
        }
        self.wakes_at = next;
        self.refresh();
    }
}
