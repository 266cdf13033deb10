//! The attempts of one request.

use swiftlink_routing::ServerIdx;

use crate::admission::SentRequest;
use crate::outcome::{Execution, Outcome};

/// The attempts of a request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    pub(super) tried: Vec<ServerIdx>,
    /// Number of servers that may have executed the request.
    pub(super) executions: u32,
    /// Attempts that were given up before any byte left, since the server became ineligible.
    pub(super) withheld: usize,
    /// The current attempt, until its first event.
    pub(super) sent: Option<SentRequest>,
}

impl Attempts {
    /// Whether none was made.
    pub(super) fn is_empty(&self) -> bool {
        self.tried.is_empty()
    }

    /// Number of attempts, without those that were withheld.
    pub(super) fn count(&self) -> usize {
        self.tried.len() - self.withheld
    }

    /// Records a failed attempt.
    pub(super) fn record(&mut self, outcome: Outcome) {
        if outcome.execution() != Execution::No {
            self.executions += 1;
        }
        if outcome == Outcome::Withheld {
            self.withheld += 1;
        }
    }
}
