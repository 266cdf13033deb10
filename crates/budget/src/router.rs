//! One router incarnation: its phase, its grants, its charge serials.

use std::collections::HashMap;
use std::sync::Arc;

use swiftlink_types::{Incarnation, Tokens, VmName, WallMs};
use swiftlink_wire::log as wire;

use crate::serials::Serials;

/// Phase of an incarnation; it only moves forward.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// May claim and charge.
    Active,
    /// May not claim; its grants are in quarantine and charges still draw on them.
    Retired,
    /// Its grants are free again; charges are void.
    Released,
}

/// What one incarnation was granted of one budget (tokens, sums since it joined).
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Grant {
    pub(crate) granted: Tokens,
    pub(crate) returned: Tokens,
    pub(crate) charged: Tokens,
    /// Number of the last claim; 0 before the first.
    pub(crate) seq: u64,
    /// Answer to the last claim.
    pub(crate) answer: Option<wire::ClaimFate>,
}

impl Grant {
    /// Rights unspent.
    pub(crate) fn held(&self) -> Tokens {
        let left = self.granted.saturating_sub(self.charged);
        left.saturating_sub(self.returned)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Router {
    pub(crate) vm: Arc<str>,
    pub(crate) epoch: u64,
    pub(crate) address: Arc<str>,
    pub(crate) domain: Arc<str>,
    pub(crate) phase: Phase,
    /// Keys created before this are settled by the incarnation (ms since 1970).
    pub(crate) floor: WallMs,
    /// Grants by number of the budget.
    pub(crate) grants: HashMap<u32, Grant>,
    pub(crate) serials: Serials,
    /// Remembered keys that name this incarnation; while there are any, it is kept.
    pub(crate) keys: u64,
}

impl Router {
    pub(crate) fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Whether its rights count as held: not free for others.
    pub(crate) fn is_holder(&self) -> bool {
        self.phase != Phase::Released
    }

    pub(crate) fn is_at(&self, address: &str) -> bool {
        &*self.address == address
    }

    pub(crate) fn identity(&self) -> Incarnation {
        Incarnation {
            vm: VmName::from(&*self.vm),
            epoch: self.epoch,
        }
    }

    pub(crate) fn wire_identity(&self) -> wire::Incarnation {
        wire::Incarnation {
            vm: self.vm.to_string(),
            epoch: self.epoch,
        }
    }

    /// Order that is the same on every process.
    pub(crate) fn rank(&self) -> (&str, u64) {
        (&self.vm, self.epoch)
    }
}
