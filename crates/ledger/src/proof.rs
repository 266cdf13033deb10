//! What proves that a retired router is gone. Decides without I/O.

use swiftlink_budget::{Fold, RetiredRouter};
use swiftlink_resource::{Config, ReleaseRule};

use crate::release::Proof;

/// The best proof that `router` is gone; `absent` says that its VM is not in the VM
/// list now.
#[must_use]
pub fn proof_of(router: &RetiredRouter, fold: &Fold, config: &Config, absent: bool) -> Proof {
    if has_successor(router, fold) {
        return Proof::Bound;
    }
    if config.is_retired(router.incarnation.vm.as_str()) {
        return Proof::Declared;
    }
    // Who was retired by a statement that was withdrawn may be in the list still.
    if router.unspent == 0 || (absent && all_listed(router, config)) {
        return Proof::Listed;
    }
    Proof::None
}

/// Whether a later start on the same VM has bound the same address. Its join is a fact
/// of the log, whatever became of it since.
#[must_use]
pub fn has_successor(router: &RetiredRouter, fold: &Fold) -> bool {
    let own = &router.incarnation;
    fold.newest_epoch(own.vm.as_str(), &router.address) > Some(own.epoch)
}

/// Whether each budget on which the router holds rights takes the VM list for proof.
/// A release frees all rights of an incarnation on the stream, so one that doesn't
/// holds back all of them.
fn all_listed(router: &RetiredRouter, config: &Config) -> bool {
    router.held.iter().all(|(name, _)| {
        let budget = config.budgets.get(&**name);
        budget.is_some_and(|budget| budget.release == ReleaseRule::Listed)
    })
}
