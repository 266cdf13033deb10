//! Updates between routers: prompts that they sent, and event gaps that they observed.

use swiftlink_types::Micros;

use super::Fleet;
use super::choose::Choice;
use crate::policy::{PickArgs, cache_key};
use crate::update::{MAX_UPDATE_ITEMS, ServerUpdate};

impl Fleet {
    /// Records a prompt that is sent to the chosen server.
    pub(super) fn on_prompt(&mut self, args: &PickArgs<'_>, choice: &Choice) {
        let Some(server) = self.get_mut(choice.idx) else {
            return;
        };
        if choice.prefill > 0 {
            server.backlog.add(choice.prefill);
            server.pending.is_due = true;
        }
        if args.prefix == 0 {
            return;
        }
        if server.pending.prefixes.len() < MAX_UPDATE_ITEMS {
            server.pending.prefixes.push(args.prefix);
        }
        let key = cache_key(args.prefix, server.instance_hash);
        self.cached.touch(key, args.now);
    }

    /// Removes and returns the observations that peers don't have yet.
    pub fn take_updates(&mut self) -> Vec<ServerUpdate> {
        let mut updates = Vec::new();
        for index in self.by_name.values() {
            let server = &mut self.servers[*index as usize];
            if !server.pending.is_due {
                continue;
            }
            let pending = std::mem::take(&mut server.pending);
            updates.push(ServerUpdate {
                server: server.instance.clone(),
                backlog: server.backlog.own(),
                gaps: pending.gaps,
                prefixes: pending.prefixes,
            });
        }
        updates
    }

    /// Applies a peer's observations of a server. Those of an instance other than the known one are
    /// ignored: that instance is gone, or its directory entry hasn't arrived yet.
    pub fn on_peer_update(&mut self, peer: u64, now: Micros, update: &ServerUpdate) {
        let Some(idx) = self.find(&update.server.name) else {
            return;
        };
        if self
            .get(idx)
            .is_none_or(|server| *server.instance() != update.server)
        {
            return;
        }
        for gaps in &update.gaps {
            self.learn_gaps(idx, *gaps);
        }
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.backlog.set_peer(now, peer, update.backlog);
        let hash = server.instance_hash;
        for prefix in &update.prefixes {
            self.cached.touch(cache_key(*prefix, hash), now);
        }
    }
}
