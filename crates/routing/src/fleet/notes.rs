//! What routers tell each other: prompts that they sent, and pauses that they saw.

use swiftlink_types::Micros;

use super::Fleet;
use super::choose::Choice;
use crate::note::{NEWS_MOST, Note};
use crate::policy::{Pick, pair};

impl Fleet {
    /// A prompt is sent to the chosen server.
    pub(super) fn on_prompt(&mut self, pick: &Pick<'_>, choice: &Choice) {
        let Some(server) = self.get_mut(choice.idx) else {
            return;
        };
        if choice.unread > 0 {
            server.unread.add(choice.unread);
            server.news.is_due = true;
        }
        if pick.prefix == 0 {
            return;
        }
        if server.news.prefixes.len() < NEWS_MOST {
            server.news.prefixes.push(pick.prefix);
        }
        let place = pair(pick.prefix, server.start_hash);
        self.read.see(place, pick.now);
    }

    /// What peers should know and were not told yet.
    pub fn take_notes(&mut self) -> Vec<Note> {
        let mut notes = Vec::new();
        for slot in self.by_name.values() {
            let server = &mut self.servers[*slot as usize];
            if !server.news.is_due {
                continue;
            }
            let news = std::mem::take(&mut server.news);
            notes.push(Note {
                server: server.instance.clone(),
                unread: server.unread.own(),
                flows: news.flows,
                prefixes: news.prefixes,
            });
        }
        notes
    }

    /// Takes what a peer tells of a server. What it tells of another start than the one known
    /// here is of no use: that one is over, or its entry is on its way.
    pub fn on_note(&mut self, peer: u64, now: Micros, note: &Note) {
        let Some(idx) = self.find(&note.server.name) else {
            return;
        };
        if self
            .get(idx)
            .is_none_or(|server| *server.instance() != note.server)
        {
            return;
        }
        for flow in &note.flows {
            self.learn_flow(idx, *flow);
        }
        let Some(server) = self.get_mut(idx) else {
            return;
        };
        server.unread.set_peer(now, peer, note.unread);
        let hash = server.start_hash;
        for prefix in &note.prefixes {
            self.read.see(pair(*prefix, hash), now);
        }
    }
}
