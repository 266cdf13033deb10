//! Servers that are about to end.

use std::time::Duration;

use super::{Pool, SelectedServer};

impl Pool {
    /// Whether a server whose port is closed may have ended as planned. It goes on for `drain` after
    /// its entry says that it drains; one that said so in a response may have begun long before.
    #[must_use]
    pub fn may_have_ended(&self, server: &SelectedServer, drain: Duration) -> bool {
        let announcement = &server.eligibility.announcement;
        if announcement.is_draining() {
            return true;
        }
        match announcement.leaving_for() {
            Some(time) => time >= drain,
            None => !self.is_listed(server),
        }
    }

    fn is_listed(&self, server: &SelectedServer) -> bool {
        let name = &server.instance.name;
        let fleet = self.fleet();
        let known = fleet.find(name).and_then(|idx| fleet.get(idx));
        let listed = known.is_some_and(|known| *known.instance() == server.instance);
        listed && self.servers.load().contains_key(name)
    }
}
