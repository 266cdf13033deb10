//! Intents: which incarnation may execute a non-idempotent request.

use swiftlink_types::RequestKey;
use swiftlink_wire::log as wire;
use wire::RejectReason;
use wire::fate::Kind as FateKind;

use crate::Fold;
use crate::fates::{applied, duplicate, malformed, rejected, unknown};
use crate::routers::RouterId;

impl Fold {
    pub(crate) fn intent(&mut self, intent: &wire::Intent) -> FateKind {
        let Some(key) = parse_key(&intent.key, &intent.workspace) else {
            return malformed();
        };
        if key.created_ms() < self.evicted_before {
            return rejected(RejectReason::KeyTooOld);
        }
        let Some(id) = self.find_router(intent.incarnation.as_ref()) else {
            return unknown();
        };
        if let Some(fate) = self.earlier_fate(id, &intent.workspace, key) {
            return FateKind::Intent(fate);
        }
        if !self.routers.get(id).is_active() {
            return rejected(RejectReason::Retired);
        }
        let state = self.keys.entry(&intent.workspace, key);
        state.owner = Some(id);
        state.has_intent = true;
        self.routers.get_mut(id).key_refs += 1;
        FateKind::Intent(self.intent_fate(true, Some(id), false))
    }

    /// Fate of an intent on a key that earlier records have decided; `None` if the key is
    /// still available to the incarnation.
    fn earlier_fate(
        &self,
        id: RouterId,
        workspace: &str,
        key: RequestKey,
    ) -> Option<wire::IntentFate> {
        let state = self.keys.find(workspace, key)?;
        if state.cost.is_some() {
            return Some(self.intent_fate(false, state.owner, true));
        }
        if state.has_intent {
            return Some(self.intent_fate(state.owner == Some(id), state.owner, false));
        }
        let abandoned = state.abandoned.contains(&id);
        abandoned.then(|| self.intent_fate(false, None, false))
    }

    fn intent_fate(&self, won: bool, owner: Option<RouterId>, charged: bool) -> wire::IntentFate {
        wire::IntentFate {
            won,
            owner: owner.map(|id| self.routers.get(id).wire_identity()),
            charged,
        }
    }

    /// Records that an incarnation won't execute a key. It is recorded even if the
    /// incarnation's intent lost or hasn't arrived: a late copy of it must not win.
    pub(crate) fn abandon(&mut self, abandon: &wire::Abandon) -> FateKind {
        let Some(key) = parse_key(&abandon.key, &abandon.workspace) else {
            return malformed();
        };
        if key.created_ms() < self.evicted_before {
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
        if state.has_intent && state.owner == Some(id) {
            // The reference counted for the owner now counts for the abandonment.
            state.owner = None;
            state.has_intent = false;
        } else {
            self.routers.get_mut(id).key_refs += 1;
        }
        applied()
    }
}

fn parse_key(key: &[u8], workspace: &str) -> Option<RequestKey> {
    if workspace.is_empty() {
        return None;
    }
    RequestKey::from_bytes(key).ok()
}
