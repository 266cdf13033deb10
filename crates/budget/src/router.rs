//! State of one router incarnation: phase, grants and charge serials.

use std::collections::HashMap;
use std::sync::Arc;

use swiftlink_types::{Incarnation, Tokens, VmName, WallMs};
use swiftlink_wire::log as wire;

use crate::serials::Serials;

/// Phase of an incarnation; it only advances.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Phase {
    /// May claim and charge.
    Active,
    /// May not claim; its grants are quarantined, and charges are still deducted from them.
    Retired,
    /// Its grants are free again; charges are void.
    Released,
}

/// Grants of one budget to one incarnation (tokens, sums since it joined).
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Grant {
    pub(crate) granted: Tokens,
    pub(crate) returned: Tokens,
    pub(crate) charged: Tokens,
    /// Sequence number of the last claim; 0 before the first.
    pub(crate) seq: u64,
    /// Answer to the last claim.
    pub(crate) answer: Option<wire::ClaimFate>,
}

impl Grant {
    /// Tokens granted and neither charged nor returned.
    pub(crate) fn held(&self) -> Tokens {
        let left = self.granted.saturating_sub(self.charged);
        left.saturating_sub(self.returned)
    }
}

/// One router incarnation: a single start of a router process.
#[derive(Clone, Debug)]
pub(crate) struct Router {
    pub(crate) vm: Arc<str>,
    pub(crate) epoch: u64,
    pub(crate) address: Arc<str>,
    pub(crate) domain: Arc<str>,
    pub(crate) phase: Phase,
    /// The incarnation will charge no key created before this time (ms since 1970).
    pub(crate) floor: WallMs,
    /// Grants by budget id.
    pub(crate) grants: HashMap<u32, Grant>,
    pub(crate) serials: Serials,
    /// Number of references from keys on record; the incarnation is kept while there are any.
    pub(crate) key_refs: u64,
}

impl Router {
    pub(crate) fn is_active(&self) -> bool {
        self.phase == Phase::Active
    }

    /// Whether its unspent grants count as held and aren't free for others.
    pub(crate) fn is_holder(&self) -> bool {
        self.phase != Phase::Released
    }

    pub(crate) fn has_address(&self, address: &str) -> bool {
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

    /// Sort key that is the same in every process.
    pub(crate) fn sort_key(&self) -> (&str, u64) {
        (&self.vm, self.epoch)
    }
}
