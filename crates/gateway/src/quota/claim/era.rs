//! Accounts of a store that went back to a copy, which lacks the last changes.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use swiftlink_telemetry::event;
use swiftlink_types::WorkspaceName;
use swiftlink_wire::rights::Account;
use tokio::time::Instant;

use super::{PartitionTask, Snapshot};
use crate::quota::LocalQuota;
use crate::quota::account;
use crate::store::{Page, era_of};

/// Time after the store went back to a copy in which no router raises what it holds: within it all
/// routers that hold quota write what they hold, since the copy may lack it.
const REASSERT_TIME: Duration = Duration::from_secs(2);

/// The accounts of a partition as they were known before the store went back.
#[derive(Debug, Default)]
pub(super) struct EarlierAccounts {
    accounts: HashMap<WorkspaceName, Account>,
    /// Until when this router doesn't raise what it holds.
    frozen_until: Option<Instant>,
    /// Accounts whose state on the store lacks what is known here.
    incomplete: HashSet<WorkspaceName>,
}

impl EarlierAccounts {
    /// Completes an account that was read by what was known of it before.
    pub(super) fn complete(
        &mut self,
        workspace: &WorkspaceName,
        stored: Account,
        era: u64,
    ) -> Account {
        let Some(earlier) = self.accounts.get(workspace).filter(|_| self.is_frozen()) else {
            return stored;
        };
        let merged = account::merge(&stored, earlier, era);
        if merged == stored {
            self.incomplete.remove(workspace);
        } else {
            self.incomplete.insert(workspace.clone());
        }
        merged
    }

    /// Whether the routers may still be writing what they hold.
    pub(super) fn is_frozen(&self) -> bool {
        self.frozen_until
            .is_some_and(|until| Instant::now() < until)
    }

    /// Whether the account on the store lacks what is known here.
    pub(super) fn must_write(&self, workspace: &WorkspaceName) -> bool {
        self.incomplete.contains(workspace)
    }

    /// Records that this router wrote the account.
    pub(super) fn on_written(&mut self, workspace: &WorkspaceName) {
        self.incomplete.remove(workspace);
    }
}

impl PartitionTask {
    /// Takes over the accounts of a store that went back to a copy, or that this router reads for
    /// the first time.
    pub(super) fn enter_era(&mut self, page: Page, known: Snapshot, quotas: &[Arc<LocalQuota>]) {
        let era = era_of(page.end);
        event!(
            info,
            "quota.new_era",
            feed = self.feed,
            era = era,
            stored = page.records.len(),
            known = known.accounts.len(),
        );
        let is_first = known.end == 0;
        self.earlier = EarlierAccounts {
            incomplete: known.accounts.keys().cloned().collect(),
            accounts: known.accounts.clone(),
            frozen_until: Some(Instant::now() + REASSERT_TIME),
        };
        self.withheld.clear();
        self.unresolved = None;
        self.is_behind = false;
        self.snapshot = Some(Snapshot {
            end: page.end,
            accounts: known.accounts,
        });
        self.apply_records(page.records, quotas);
        let mut accounts = self.snapshot.iter().flat_map(|s| s.accounts.values());
        if is_first && accounts.all(|account| account.era >= era) {
            self.earlier.frozen_until = None;
        }
    }
}
