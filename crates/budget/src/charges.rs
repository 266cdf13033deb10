//! Charges for executed requests.

use swiftlink_types::{RequestKey, Tokens};
use swiftlink_wire::log as wire;
use wire::ChargeFate;
use wire::fate::Kind as FateKind;

use crate::Fold;
use crate::fates::malformed;
use crate::routers::RouterId;

impl Fold {
    /// Cost charged for a request key (tokens); `None` if it wasn't charged or was evicted.
    #[must_use]
    pub fn charged(&self, workspace: &str, key: RequestKey) -> Option<Tokens> {
        self.keys.find(workspace, key)?.cost
    }

    pub(crate) fn charge_all(&mut self, charges: &wire::Charges) -> FateKind {
        let Some(inc) = charges.incarnation.as_ref() else {
            return malformed();
        };
        let Some(keys) = parse_keys(&charges.items) else {
            return malformed();
        };
        let id = self.routers.find(&inc.vm, inc.epoch);
        let mut items = Vec::with_capacity(keys.len());
        for (item, key) in charges.items.iter().zip(keys) {
            let fate = match id {
                Some(id) => self.charge(id, item, key),
                None => ChargeFate::VoidReleased,
            };
            items.push(fate.into());
        }
        FateKind::Charges(wire::ChargesFate { items })
    }

    fn charge(&mut self, id: RouterId, item: &wire::Charge, key: RequestKey) -> ChargeFate {
        let router = self.routers.get(id);
        if router.serials.contains(item.serial) {
            return ChargeFate::Duplicate;
        }
        let released = !router.is_holder();
        if !released {
            self.routers.get_mut(id).serials.insert(item.serial);
        }
        let known = self.keys.find(&item.workspace, key);
        if known.is_some_and(|state| state.cost.is_some()) {
            return ChargeFate::VoidKey;
        }
        if released {
            return ChargeFate::VoidReleased;
        }
        if !self.draw(id, item) {
            return ChargeFate::Overdrawn;
        }
        self.record_charge(id, item, key);
        ChargeFate::Charged
    }

    /// Deducts the cost from the incarnation's grant. Returns `false` if the grant has
    /// fewer tokens left.
    fn draw(&mut self, id: RouterId, item: &wire::Charge) -> bool {
        let budget = self.budgets.find(&item.budget);
        let router = self.routers.get_mut(id);
        let grant = budget.and_then(|budget| router.grants.get_mut(&budget));
        let (Some(budget), Some(grant)) = (budget, grant) else {
            return item.cost == 0;
        };
        if item.cost > grant.held() {
            return false;
        }
        grant.charged += item.cost;
        let account = self.budgets.get_mut(budget);
        account.held -= item.cost;
        account.charged += item.cost;
        true
    }

    /// Records the key as charged, unless it is old enough to be evicted already.
    fn record_charge(&mut self, id: RouterId, item: &wire::Charge, key: RequestKey) {
        if key.created_ms() < self.evicted_before {
            return;
        }
        let state = self.keys.entry(&item.workspace, key);
        state.cost = Some(item.cost);
        if state.owner.is_none() {
            state.owner = Some(id);
            self.routers.get_mut(id).key_refs += 1;
        }
    }
}

/// Parses the keys of all items; `None` if an item is malformed.
fn parse_keys(items: &[wire::Charge]) -> Option<Vec<RequestKey>> {
    let mut keys = Vec::with_capacity(items.len());
    for item in items {
        let numbered = (1..u64::MAX).contains(&item.serial);
        if !numbered || item.workspace.is_empty() || item.budget.is_empty() {
            return None;
        }
        keys.push(RequestKey::from_bytes(&item.key).ok()?);
    }
    Some(keys)
}
