//! Top-ups, and the life cycle of router incarnations: joins, retirements, releases
//! and marks.

use std::collections::HashMap;
use std::sync::Arc;

use swiftlink_types::WallMs;
use swiftlink_wire::log as wire;
use wire::RejectReason;
use wire::fate::Kind as FateKind;

use crate::Fold;
use crate::fates::{applied, duplicate, malformed, rejected, unknown};
use crate::router::{Phase, Router};
use crate::routers::RouterId;
use crate::serials::Serials;

/// Exclusive upper bound of the 48-bit timestamp in a request key (ms since 1970).
const KEY_TIME_END: WallMs = 1 << 48;

impl Fold {
    pub(crate) fn top_up(&mut self, top_up: &wire::TopUp) -> FateKind {
        if top_up.budget.is_empty() || top_up.id.is_empty() {
            return malformed();
        }
        if self.has_top_up(&top_up.budget, &top_up.id) {
            return duplicate();
        }
        let before = self.budgets.find(&top_up.budget);
        let before = before.map_or(0, |id| self.budgets.get(id).topped_up);
        let Some(total) = before.checked_add(top_up.amount) else {
            return malformed();
        };
        let budget = self.budgets.intern(&top_up.budget);
        let account = self.budgets.get_mut(budget);
        account.topped_up = total;
        account.top_ups.insert(Arc::from(top_up.id.as_str()));
        applied()
    }

    pub(crate) fn join(&mut self, join: &wire::Join) -> FateKind {
        let Some(inc) = join.incarnation.as_ref() else {
            return malformed();
        };
        if inc.vm.is_empty() || join.address.is_empty() || join.floor_ms >= KEY_TIME_END {
            return malformed();
        }
        if let Some(id) = self.routers.find(&inc.vm, inc.epoch) {
            let router = self.routers.get(id);
            // Two processes must not share an identity, even if they started at the same time.
            let active = router.is_active() && router.has_address(&join.address);
            return self.join_fate(inc, &join.address, active);
        }
        let newest = self.routers.newest(&inc.vm, &join.address);
        if newest >= Some(inc.epoch) || self.routers.is_dropped(&inc.vm, inc.epoch) {
            return self.join_fate(inc, &join.address, false);
        }
        self.retire_older(&inc.vm, &join.address);
        self.routers.add(new_router(inc, join));
        self.evict();
        self.join_fate(inc, &join.address, true)
    }

    fn join_fate(&self, inc: &wire::Incarnation, address: &str, active: bool) -> FateKind {
        let newest = self.routers.newest(&inc.vm, address).unwrap_or(inc.epoch);
        FateKind::Join(wire::JoinFate {
            active,
            newest_epoch: if active { 0 } else { newest },
            evicted_ms: self.evicted_before,
        })
    }

    /// Retires the older incarnations at an address. The successor has bound the address,
    /// so the earlier processes are gone.
    fn retire_older(&mut self, vm: &str, address: &str) {
        let at = self.routers.at_address(vm, address);
        let active = at.filter(|(_, router)| router.is_active());
        let older: Vec<RouterId> = active.map(|(id, _)| id).collect();
        for id in older {
            self.routers.get_mut(id).phase = Phase::Retired;
        }
    }

    pub(crate) fn retire(&mut self, retire: &wire::Retire) -> FateKind {
        let Some(inc) = retire.incarnation.as_ref() else {
            return malformed();
        };
        let Some(id) = self.routers.find(&inc.vm, inc.epoch) else {
            return self.missing_fate(inc);
        };
        let router = self.routers.get_mut(id);
        if !router.is_active() {
            return duplicate();
        }
        router.phase = Phase::Retired;
        applied()
    }

    pub(crate) fn release(&mut self, release: &wire::Release) -> FateKind {
        let Some(inc) = release.incarnation.as_ref() else {
            return malformed();
        };
        let Some(id) = self.routers.find(&inc.vm, inc.epoch) else {
            return self.missing_fate(inc);
        };
        match self.routers.get(id).phase {
            Phase::Active => return malformed(),
            Phase::Released => return duplicate(),
            Phase::Retired => {}
        }
        self.free_grants(id);
        self.routers.forget_if_unused(id);
        self.evict();
        applied()
    }

    fn free_grants(&mut self, id: RouterId) {
        let router = self.routers.get_mut(id);
        router.phase = Phase::Released;
        for (budget, grant) in std::mem::take(&mut router.grants) {
            let account = self.budgets.get_mut(budget);
            account.held -= grant.held();
            account.claimants.remove(&id);
        }
    }

    /// Fate of a record about an incarnation that the stream doesn't hold (any more).
    fn missing_fate(&self, inc: &wire::Incarnation) -> FateKind {
        if self.routers.is_dropped(&inc.vm, inc.epoch) {
            return duplicate();
        }
        unknown()
    }

    pub(crate) fn mark(&mut self, mark: &wire::Mark) -> FateKind {
        if mark.floor_ms >= KEY_TIME_END {
            return malformed();
        }
        let Some(id) = self.find_router(mark.incarnation.as_ref()) else {
            return unknown();
        };
        let router = self.routers.get_mut(id);
        if !router.is_holder() {
            return rejected(RejectReason::Retired);
        }
        if mark.floor_ms <= router.floor {
            return duplicate();
        }
        router.floor = mark.floor_ms;
        self.evict();
        applied()
    }

    /// Evicts the keys that no incarnation can charge any more.
    fn evict(&mut self) {
        let floor = self.routers.lowest_floor().unwrap_or(0);
        if floor <= self.evicted_before {
            return;
        }
        self.evicted_before = floor;
        while let Some(state) = self.keys.pop_before(floor) {
            for id in state.routers() {
                self.routers.get_mut(id).key_refs -= 1;
            }
            for id in state.routers() {
                self.forget_router(id);
            }
        }
    }

    fn forget_router(&mut self, id: RouterId) {
        // A key may refer to an incarnation twice; the first reference may have dropped it.
        if self.routers.contains(id) {
            self.routers.forget_if_unused(id);
        }
    }
}

fn new_router(inc: &wire::Incarnation, join: &wire::Join) -> Router {
    Router {
        vm: Arc::from(inc.vm.as_str()),
        epoch: inc.epoch,
        address: Arc::from(join.address.as_str()),
        domain: Arc::from(join.domain.as_str()),
        phase: Phase::Active,
        floor: join.floor_ms,
        grants: HashMap::new(),
        serials: Serials::default(),
        key_refs: 0,
    }
}
