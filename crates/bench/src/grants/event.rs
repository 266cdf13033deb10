//! The events of a run.

use swiftlink_types::{Micros, Tokens};

use super::ledger::Heard;

/// What happens in a run.
#[derive(Debug)]
pub(super) enum Event {
    TopUp(usize),
    TopUpNews(usize),
    Arrive(usize),
    End { request: usize, holder: usize },
    Poll(usize),
    Deadline { request: usize, holder: usize },
    Silence { holder: usize, since: Micros },
    Submit(usize, Sent),
    Flush,
    Commit,
    Heard(usize, Heard),
    Relay(Relay),
    Sample,
}

/// A record on its way to the ledger.
#[derive(Clone, Copy, Debug)]
pub(super) enum Sent {
    Claim {
        seq: u64,
        need: Tokens,
        want: Tokens,
    },
    Return(Tokens),
    Charge(usize),
}

/// A request on its way to one of the peers that it may go to.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) request: usize,
    pub(super) peers: Vec<usize>,
}
