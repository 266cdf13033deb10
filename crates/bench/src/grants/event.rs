//! Events of a simulation run.

use swiftlink_types::{Micros, Tokens};

use super::ledger::LedgerReply;

/// An event of a simulation run.
#[derive(Debug)]
pub(super) enum Event {
    TopUp(usize),
    TopUpVisible(usize),
    Arrive(usize),
    End { request: usize, holder: usize },
    Poll(usize),
    Deadline { request: usize, holder: usize },
    Timeout { holder: usize, since: Micros },
    Submit(usize, Submission),
    Flush,
    Commit,
    LedgerReply(usize, LedgerReply),
    Relay(Relay),
    Sample,
}

/// A record in flight to the ledger.
#[derive(Clone, Copy, Debug)]
pub(super) enum Submission {
    Claim {
        seq: u64,
        need: Tokens,
        want: Tokens,
    },
    Return(Tokens),
    Charge(usize),
}

/// A relayed request in flight to one of its candidate peers.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) request: usize,
    pub(super) peers: Vec<usize>,
}
