//! Which of the other routers are asked for a tunnel.

use std::collections::BTreeMap;

use itertools::interleave;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use swiftlink_types::VmName;

/// Maximum number of routers that are asked for one tunnel.
pub const MAX_ASKED: usize = 16;
/// Number of routers that are known to help, among which tunnels are spread.
const MAX_KNOWN: usize = 8;
/// How long a router that couldn't help isn't asked again (ms).
const REST: u64 = 1_000;

/// Remembers which routers opened tunnels.
#[derive(Debug, Default)]
pub struct HelperBook {
    /// Routers that opened a tunnel, and how many they served then.
    helping: BTreeMap<VmName, u32>,
    /// Routers that couldn't help, and when they may be asked again (ms).
    resting: BTreeMap<VmName, u64>,
}

impl HelperBook {
    /// Handles a tunnel through the router on `vm`, which serves `tunnels` now.
    pub fn on_helped(&mut self, vm: &VmName, tunnels: u32) {
        self.resting.remove(vm);
        if self.helping.len() < MAX_KNOWN || self.helping.contains_key(vm) {
            self.helping.insert(vm.clone(), tunnels);
        }
    }

    /// Handles a router that couldn't help.
    pub fn on_failed(&mut self, vm: &VmName, now: u64) {
        self.helping.remove(vm);
        self.resting.insert(vm.clone(), now + REST);
    }

    /// The routers to ask, in this order: one that helped before, untried ones of the own failure
    /// domain (`near`) and of others in turn, and last those that couldn't help a moment ago. Until
    /// enough are known to spread tunnels over, an untried one comes first half of the time.
    pub fn order(
        &mut self,
        mut near: Vec<VmName>,
        mut far: Vec<VmName>,
        now: u64,
        rng: &mut impl Rng,
    ) -> Vec<VmName> {
        near.shuffle(rng);
        far.shuffle(rng);
        self.resting.retain(|_, until| *until > now);
        let first = self.draw(rng);
        let (mut untried, mut helping, mut resting) = (Vec::new(), Vec::new(), Vec::new());
        // A cut often affects a whole failure domain: the second one to ask is of another.
        for vm in interleave(near, far) {
            if Some(&vm) == first.as_ref() {
                continue;
            }
            if self.resting.contains_key(&vm) {
                resting.push(vm);
            } else if self.helping.contains_key(&vm) {
                helping.push(vm);
            } else {
                untried.push(vm);
            }
        }
        let explores = self.helping.len() < MAX_KNOWN && rng.next_u32().is_multiple_of(2);
        let mut order: Vec<VmName> = first.into_iter().chain(untried).collect();
        if explores && order.len() > 1 {
            order.swap(0, 1);
        }
        order.extend(helping.into_iter().chain(resting));
        order.truncate(MAX_ASKED);
        order
    }

    /// Of two routers that helped before, the one with fewer tunnels.
    fn draw(&self, rng: &mut impl Rng) -> Option<VmName> {
        let all: Vec<(&VmName, &u32)> = self.helping.iter().collect();
        let drawn = all.sample(rng, 2).min_by_key(|(_, tunnels)| **tunnels)?;
        Some(drawn.0.clone())
    }
}
