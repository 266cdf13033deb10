//! Intents: which incarnation may run a non-idempotent request.

use swiftlink_types::RequestKey;
use swiftlink_wire::log as wire;
use wire::RejectReason;
use wire::fate::Kind as FateKind;

use crate::Fold;
use crate::reply::{applied, duplicate, malformed, rejected, unknown};
use crate::routers::RouterId;

impl Fold {
    pub(crate) fn intent(&mut self, intent: &wire::Intent) -> FateKind {
        let Some(key) = parse(&intent.key, &intent.workspace) else {
            return malformed();
        };
        if key.created_ms() < self.evicted {
            return rejected(RejectReason::KeyTooOld);
        }
        let Some(id) = self.find_router(intent.incarnation.as_ref()) else {
            return unknown();
        };
        if let Some(fate) = self.decided(id, &intent.workspace, key) {
            return FateKind::Intent(fate);
        }
        if !self.routers.get(id).is_active() {
            return rejected(RejectReason::Retired);
        }
        let state = self.keys.entry(&intent.workspace, key);
        state.owner = Some(id);
        state.intent = true;
        self.routers.get_mut(id).keys += 1;
        FateKind::Intent(self.fate(true, Some(id), false))
    }

    /// The fate of an intent that the records before have decided.
    fn decided(&self, id: RouterId, workspace: &str, key: RequestKey) -> Option<wire::IntentFate> {
        let state = self.keys.find(workspace, key)?;
        if state.cost.is_some() {
            return Some(self.fate(false, state.owner, true));
        }
        if state.intent {
            return Some(self.fate(state.owner == Some(id), state.owner, false));
        }
        let abandoned = state.abandoned.contains(&id);
        abandoned.then(|| self.fate(false, None, false))
    }

    fn fate(&self, won: bool, owner: Option<RouterId>, charged: bool) -> wire::IntentFate {
        wire::IntentFate {
            won,
            owner: owner.map(|id| self.routers.get(id).wire_identity()),
            charged,
        }
    }

    /// Takes an incarnation's word that it will not run a key, also when its intent
    /// has not arrived or lost: a late copy of that intent must not win.
    pub(crate) fn abandon(&mut self, abandon: &wire::Abandon) -> FateKind {
        let Some(key) = parse(&abandon.key, &abandon.workspace) else {
            return malformed();
        };
        if key.created_ms() < self.evicted {
            return rejected(RejectReason::KeyTooOld);
        }
        let Some(id) = self.find_router(abandon.incarnation.as_ref()) else {
            return unknown();
        };
        if !self.routers.get(id).is_holder() {
            return rejected(RejectReason::Retired);
        }
        let known = self.keys.find(&abandon.workspace, key);
        if known.is_some_and(|state| state.cost.is_some()) {
            return rejected(RejectReason::NotOwner);
        }
        if known.is_some_and(|state| state.abandoned.contains(&id)) {
            return duplicate();
        }
        let state = self.keys.entry(&abandon.workspace, key);
        state.abandoned.push(id);
        if state.intent && state.owner == Some(id) {
            // The reference of the owner becomes that of the abandonment.
            state.owner = None;
            state.intent = false;
        } else {
            self.routers.get_mut(id).keys += 1;
        }
        applied()
    }
}

fn parse(key: &[u8], workspace: &str) -> Option<RequestKey> {
    if workspace.is_empty() {
        return None;
    }
    RequestKey::from_bytes(key).ok()
}
