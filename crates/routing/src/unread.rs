//! Prompts that a server still has to read, of this router's requests and its peers'.

use swiftlink_types::Micros;

/// Time after which what a peer said no longer counts: most prompts are read by then, and a
/// peer that is cut off doesn't say so.
const KEPT: Micros = 1_000_000;

/// Tokens of prompts whose answers have not begun.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unread {
    own: u64,
    peers: Vec<Told>,
}

/// What a peer said of its own requests.
#[derive(Clone, Copy, Debug)]
struct Told {
    peer: u64,
    tokens: u64,
    at: Micros,
}

impl Unread {
    /// Tokens of this router's requests.
    pub(crate) fn own(&self) -> u64 {
        self.own
    }

    /// Tokens of all requests that are known.
    pub(crate) fn all(&self, now: Micros) -> u64 {
        let fresh = self.peers.iter().filter(|told| now < told.at + KEPT);
        let peers: u64 = fresh.map(|told| told.tokens).sum();
        self.own + peers
    }

    pub(crate) fn add(&mut self, tokens: u64) {
        self.own += tokens;
    }

    pub(crate) fn remove(&mut self, tokens: u64) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// Takes what a peer has there now.
    pub(crate) fn set_peer(&mut self, now: Micros, peer: u64, tokens: u64) {
        self.peers
            .retain(|told| told.peer != peer && now < told.at + KEPT);
        if tokens > 0 {
            let at = now;
            self.peers.push(Told { peer, tokens, at });
        }
    }
}
