//! Since when this router knows what the accounts withhold.

use std::collections::HashMap;
use std::time::Duration;

use swiftlink_types::{Tokens, WorkspaceName};
use swiftlink_wire::rights::Account;
use tokio::time::Instant;

use crate::quota::account::growth::{self, Growth};

/// What the accounts of a partition withhold, as last read or written. The store had that at that
/// time or before, so at least the time since then has passed, whatever the clocks of other VMs.
#[derive(Debug)]
pub(super) struct KnownWithheld {
    known: HashMap<WorkspaceName, Known>,
    /// Shortest time between two steps.
    step: Duration,
}

#[derive(Debug)]
struct Known {
    withheld: Vec<Tokens>,
    since: Instant,
}

impl KnownWithheld {
    /// Nothing is known yet. A copy of the store may lack up to `copy_lag`.
    pub(super) fn new(copy_lag: Duration) -> Self {
        Self {
            known: HashMap::new(),
            step: growth::step_time(copy_lag),
        }
    }

    /// Records what an account that was read or written withholds.
    pub(super) fn observe(&mut self, workspace: &WorkspaceName, withheld: &[Tokens]) {
        if let Some(known) = self.known.get(workspace)
            && known.withheld == withheld
        {
            return;
        }
        let known = Known {
            withheld: withheld.to_vec(),
            since: Instant::now(),
        };
        self.known.insert(workspace.clone(), known);
    }

    /// Steps that the account may take now.
    pub(super) fn steps_due(&self, workspace: &WorkspaceName) -> usize {
        let Some(known) = self.known.get(workspace) else {
            return 0;
        };
        let step = self.step.max(Duration::from_millis(1));
        (known.since.elapsed().as_micros() / step.as_micros()) as usize
    }

    /// What `account` withholds, and until when.
    pub(super) fn growth(&self, workspace: &WorkspaceName, account: &Account) -> Growth {
        let known = self.known.get(workspace);
        let since = known.map_or_else(Instant::now, |known| known.since);
        Growth::new(account, since + self.step, self.step)
    }

    /// Forgets everything: the store has an older state now.
    pub(super) fn clear(&mut self) {
        self.known.clear();
    }
}
