//! Prefill backlog of a server: prompt tokens that it has still to process, from requests of this
//! router and of its peers.

use swiftlink_types::Micros;

/// Age at which a peer's figure expires: most prompts are processed by then, and a peer that is cut
/// off can't send its next figure.
const MAX_AGE: Micros = 1_000_000;

/// Prompt tokens of requests whose answers have not begun.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefillBacklog {
    own: u64,
    peers: Vec<PeerBacklog>,
}

/// The last figure that a peer sent for its own requests.
#[derive(Clone, Copy, Debug)]
struct PeerBacklog {
    peer: u64,
    tokens: u64,
    at: Micros,
}

impl PrefillBacklog {
    /// Tokens of this router's requests.
    pub(crate) fn own(&self) -> u64 {
        self.own
    }

    /// Tokens of all known requests.
    pub(crate) fn total(&self, now: Micros) -> u64 {
        let fresh = self.peers.iter().filter(|entry| now < entry.at + MAX_AGE);
        let peers: u64 = fresh.map(|entry| entry.tokens).sum();
        self.own + peers
    }

    pub(crate) fn add(&mut self, tokens: u64) {
        self.own += tokens;
    }

    pub(crate) fn remove(&mut self, tokens: u64) {
        self.own = self.own.saturating_sub(tokens);
    }

    /// Replaces the figure of a peer.
    pub(crate) fn set_peer(&mut self, now: Micros, peer: u64, tokens: u64) {
        self.peers
            .retain(|entry| entry.peer != peer && now < entry.at + MAX_AGE);
        if tokens > 0 {
            let at = now;
            self.peers.push(PeerBacklog { peer, tokens, at });
        }
    }
}
