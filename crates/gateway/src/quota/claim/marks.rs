//! Since when this router knows the marks of the accounts.

use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::{Tokens, WorkspaceName};
use swiftlink_wire::rights::Account;
use tokio::time::Instant;

use crate::quota::account::growth::{self, Growth};

/// The marks of the accounts of a partition, as last read or written. The store had them at that
/// time or before, so their age is at least the time since then, whatever the clocks of other VMs.
#[derive(Debug)]
pub(super) struct KnownMarks {
    known: HashMap<WorkspaceName, Known>,
    /// Shortest time between two moves.
    step: Duration,
}

#[derive(Debug)]
struct Known {
    marks: Vec<Tokens>,
    since: Instant,
}

impl KnownMarks {
    /// No marks yet. A copy of the store may lack up to `copy_lag`.
    pub(super) fn new(copy_lag: Duration) -> Self {
        Self {
            known: HashMap::new(),
            step: growth::step(copy_lag),
        }
    }

    /// Records the marks of an account that was read or written.
    pub(super) fn observe(&mut self, workspace: &WorkspaceName, marks: &[Tokens]) {
        if let Some(known) = self.known.get(workspace)
            && known.marks == marks
        {
            return;
        }
        let known = Known {
            marks: marks.to_vec(),
            since: Instant::now(),
        };
        self.known.insert(workspace.clone(), known);
    }

    /// Whether the account's marks may move on.
    pub(super) fn are_due(&self, workspace: &WorkspaceName) -> bool {
        let known = self.known.get(workspace);
        known.is_some_and(|known| known.since.elapsed() > self.step)
    }

    /// The marks of `account`, and when they may move on.
    pub(super) fn growth(&self, workspace: &WorkspaceName, account: &Account) -> Growth {
        let known = self.known.get(workspace);
        let since = known.map_or_else(Instant::now, |known| known.since);
        Growth::new(account, since + self.step, self.step)
    }

    /// Forgets all marks: those that the store has now may be newer.
    pub(super) fn clear(&mut self) {
        self.known.clear();
    }
}
