//! Servers that asked for a backoff, which get nothing until it is over, and servers that limit their
//! rate, which get nothing while this router has no permit.

use std::time::Duration;

use swiftlink_types::Micros;

use super::Fleet;
use crate::server::ServerIdx;

impl Fleet {
    /// The server announced that it is draining: it gets no more work until its next instance.
    pub fn mark_drained(&mut self, idx: ServerIdx) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.is_drained = true;
        self.refresh();
    }

    /// The server asked for a backoff until `until`. An earlier end doesn't shorten a running one.
    pub fn on_backoff(&mut self, idx: ServerIdx, now: Micros, until: Micros) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.backoff_until = server.backoff_until.max(until);
        self.end_backoffs(now);
    }

    /// Sets whether a server that limits its rate gets no requests.
    pub fn set_throttled(&mut self, idx: ServerIdx, is_throttled: bool) {
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        if std::mem::replace(&mut server.is_throttled, is_throttled) != is_throttled {
            self.refresh();
        }
    }

    /// Sets whether a server crashes if it has to refuse requests, so that it gets only those that
    /// fit into its slots. Returns whether that is a change.
    pub fn set_brittle(&mut self, idx: ServerIdx, is_brittle: bool) -> bool {
        let Some(server) = self.get_mut(idx) else {
            return false;
        };
        std::mem::replace(&mut server.is_brittle, is_brittle) != is_brittle
    }

    /// Time until the first backoff ends; `None` when no server is backed off.
    #[must_use]
    pub fn backoff_left(&self, now: Micros) -> Option<Duration> {
        let end = self.backoff_end?;
        Some(Duration::from_micros(end.saturating_sub(now)))
    }

    /// Whether a server's backoff is over by now.
    pub(super) fn is_backoff_over(&self, now: Micros) -> bool {
        self.backoff_end.is_some_and(|at| at <= now)
    }

    /// Makes the servers available again whose backoff is over.
    pub(super) fn end_backoffs(&mut self, now: Micros) {
        let mut next: Option<Micros> = None;
        for index in self.by_name.values() {
            let server = &mut self.servers[*index as usize];
            server.is_backed_off = server.backoff_until > now;
            if !server.is_backed_off {
                continue;
            }
            let until = server.backoff_until;
            next = Some(next.map_or(until, |next| next.min(until)));
        }
        self.backoff_end = next;
        self.refresh();
    }
}
