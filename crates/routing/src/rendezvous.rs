//! Placement by the prompt's prefix alone, bounded by load.

use rand::Rng;

use crate::baseline::TwoChoices;
use crate::expected::mix;
use crate::policy::{Policy, View};

/// A server gets a prefix while its own requests here are at most this multiple of the
/// mean, and some more: small numbers vary.
const BOUND: f64 = 1.5;
/// Requests above the bound that are no overload yet.
const SPARE: f64 = 3.0;

/// The first server in the prefix's rendezvous order that isn't overloaded.
///
/// All routers send a prefix to the same server without a message between them. A
/// request without a prefix goes to the better of two drawn servers.
#[derive(Debug, Default)]
pub struct Rendezvous {
    plain: TwoChoices,
}

impl Policy for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn pick(&mut self, view: &View<'_>, rng: &mut dyn Rng) -> Option<u32> {
        let prefix = view.pick().prefix;
        if prefix == 0 {
            return self.plain.pick(view, rng);
        }
        let bound = bound(view, |_slot| true);
        let mut best = None;
        for (slot, hash) in view.open().iter().copied().zip(view.hashes()) {
            if !view.can_take(slot) {
                continue;
            }
            let own = f64::from(view.server(slot).load().in_flight());
            let rank = (own <= bound, mix(hash ^ prefix));
            if best.is_none_or(|(most, _)| rank > most) {
                best = Some((rank, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}

/// Own requests up to which a server isn't overloaded, beside the servers that `counts`
/// names.
pub(crate) fn bound(view: &View<'_>, counts: impl Fn(u32) -> bool) -> f64 {
    let mut all = 0;
    let mut servers: u32 = 0;
    for slot in view.open().iter().copied() {
        if counts(slot) {
            all += view.server(slot).load().in_flight();
            servers += 1;
        }
    }
    let mean = f64::from(all) / f64::from(servers.max(1));
    mean * BOUND + SPARE
}
