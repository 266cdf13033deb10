//! Applies accounts that were read or written to this router's quota.

use std::sync::Arc;

use swiftlink_telemetry::event;
use swiftlink_types::{Tokens, VmName, WorkspaceName};
use swiftlink_wire::rights::Account;

use super::PartitionTask;
use crate::quota::LocalQuota;
use crate::quota::account::{self, ClosedHolder};
use crate::store::{Record, era_of};

impl PartitionTask {
    /// Lets the router spend `granted` from now on.
    pub(super) fn accept(&self, quota: &LocalQuota, granted: Tokens) {
        let held = quota.accept(granted);
        if granted != held {
            let counters = quota.grant.counters();
            event!(
                info,
                "quota.changed",
                workspace = quota.workspace,
                granted = granted,
                before = held,
                charged = counters.charged,
                reserved = counters.reserved,
                prepaid = quota.prepaid(),
            );
        }
    }

    /// Updates what `quota` knows of other routers from the account.
    pub(super) fn update_quota(&self, quota: &LocalQuota, account: &Account) {
        let mut holders = Vec::new();
        for holder in &account.holders {
            let unspent = holder.granted.saturating_sub(holder.charged);
            if holder.process != self.process && unspent > 0 {
                holders.push((unspent, VmName::from(holder.vm.as_str())));
            }
        }
        holders.sort_by_key(|(unspent, _)| std::cmp::Reverse(*unspent));
        let holders = holders.into_iter().map(|(_, vm)| vm);
        let spent = account::spent_by_others(account, self.process);
        let rate = account::rate_of_others(account, self.process);
        quota.set_growth(self.withheld.growth(&quota.workspace, account));
        quota.on_account_read(spent, rate, holders.collect());
    }

    /// Applies records to the snapshot, and the snapshot to `quotas`.
    pub(super) fn apply_records(&mut self, records: Vec<Record>, quotas: &[Arc<LocalQuota>]) {
        let Some(snapshot) = &mut self.snapshot else {
            return;
        };
        for record in records {
            let Some(value) = record.value else {
                continue;
            };
            match account::decode(value) {
                Ok(mut account) => {
                    let workspace = WorkspaceName::from(record.key);
                    self.withheld.observe(&workspace, &account.withheld);
                    account = self
                        .earlier
                        .complete(&workspace, account, era_of(snapshot.end));
                    snapshot.accounts.insert(workspace, account);
                }
                Err(error) => {
                    event!(error, "quota.unreadable", key = record.key, error = error);
                }
            }
        }
        for quota in quotas {
            let Some(account) = self
                .snapshot
                .as_ref()
                .and_then(|s| s.accounts.get(&quota.workspace))
            else {
                continue;
            };
            // An entry of an earlier era may grant what this process has returned since.
            let era = self.snapshot.as_ref().map_or(0, |s| era_of(s.end));
            let granted = account::granted(account, self.process, era);
            if let (Some(granted), None) = (granted, self.unresolved) {
                self.accept(quota, granted);
            }
            self.update_quota(quota, account);
        }
    }
}

/// Logs the entries of earlier processes that a change closed.
pub(super) fn log_closed(quota: &LocalQuota, closed: &[ClosedHolder]) {
    for ClosedHolder { holder, counted } in closed {
        event!(
            warn,
            "quota.closed",
            workspace = quota.workspace,
            reason = "held by an earlier process on this VM",
            granted = holder.granted,
            charged = holder.charged,
            counted = counted,
        );
    }
}
