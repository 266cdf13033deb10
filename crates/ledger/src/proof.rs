//! Determines what proves that a retired router is gone. Free of I/O.

use swiftlink_budget::{Fold, RetiredRouter};
use swiftlink_resource::{Config, ReleaseRule};

use crate::release::Proof;

/// Strongest proof that `router` is gone. `is_absent` tells whether its VM is missing
/// from the current VM list.
#[must_use]
pub fn proof_of(router: &RetiredRouter, fold: &Fold, config: &Config, is_absent: bool) -> Proof {
    if has_successor(router, fold) {
        return Proof::Successor;
    }
    if config.is_retired(router.incarnation.vm.as_str()) {
        return Proof::Declared;
    }
    // The VM may still be listed: a router stays retired after its VM's retirement is
    // withdrawn.
    if router.unspent == 0 || (is_absent && all_accept_list(router, config)) {
        return Proof::Delisted;
    }
    Proof::None
}

/// Whether a later process on the same VM has bound the same address. The join of that
/// process is proof even if it was retired or released since.
#[must_use]
pub fn has_successor(router: &RetiredRouter, fold: &Fold) -> bool {
    let own = &router.incarnation;
    fold.newest_epoch(own.vm.as_str(), &router.address) > Some(own.epoch)
}

/// Whether every budget of which the router holds tokens accepts the VM list as proof.
/// A release frees all grants of an incarnation on the stream, so a single budget that
/// doesn't accept it holds back the release.
fn all_accept_list(router: &RetiredRouter, config: &Config) -> bool {
    router.held.iter().all(|(name, _)| {
        let budget = config.budgets.get(&**name);
        budget.is_some_and(|budget| budget.release == ReleaseRule::Listed)
    })
}
