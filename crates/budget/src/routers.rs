//! All router incarnations of the stream.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use swiftlink_types::WallMs;

use crate::router::{Phase, Router};

/// Largest number of dropped incarnations whose identity is kept. Beyond that, the
/// identity with the oldest epoch is evicted.
pub const MAX_DROPPED_ROUTERS: usize = 4_096;

/// Process-local id of an incarnation.
pub(crate) type RouterId = u32;

#[derive(Clone, Debug, Default)]
pub(crate) struct Routers {
    by_id: BTreeMap<RouterId, Router>,
    /// Ids by VM and epoch.
    by_vm: HashMap<Arc<str>, BTreeMap<u64, RouterId>>,
    next: RouterId,
    /// Addresses of dropped incarnations, by VM and epoch.
    dropped: BTreeMap<(Arc<str>, u64), Arc<str>>,
}

impl Routers {
    pub(crate) fn find(&self, vm: &str, epoch: u64) -> Option<RouterId> {
        self.by_vm.get(vm)?.get(&epoch).copied()
    }

    pub(crate) fn contains(&self, id: RouterId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RouterId) -> &Router {
        self.by_id
            .get(&id)
            .expect("an incarnation is kept while a key or grant refers to it")
    }

    pub(crate) fn get_mut(&mut self, id: RouterId) -> &mut Router {
        self.by_id
            .get_mut(&id)
            .expect("an incarnation is kept while a key or grant refers to it")
    }

    pub(crate) fn add(&mut self, router: Router) -> RouterId {
        let id = self.next;
        self.next = id
            .checked_add(1)
            .expect("fewer than 2^32 incarnations join during the life of a process");
        let epochs = self.by_vm.entry(Arc::clone(&router.vm)).or_default();
        epochs.insert(router.epoch, id);
        self.by_id.insert(id, router);
        id
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RouterId, &Router)> {
        self.by_id.iter().map(|(id, router)| (*id, router))
    }

    /// Incarnations of one VM and address, by epoch.
    pub(crate) fn at_address(
        &self,
        vm: &str,
        address: &str,
    ) -> impl Iterator<Item = (RouterId, &Router)> {
        let ids = self.by_vm.get(vm).into_iter().flat_map(BTreeMap::values);
        let known = ids.map(|id| (*id, self.get(*id)));
        known.filter(move |(_, router)| router.has_address(address))
    }

    /// Largest epoch that joined at a VM and address.
    pub(crate) fn newest(&self, vm: &str, address: &str) -> Option<u64> {
        let known = self
            .at_address(vm, address)
            .map(|(_, router)| router.epoch)
            .max();
        let of_vm = (Arc::from(vm), 0)..=(Arc::from(vm), u64::MAX);
        let dropped = self.dropped.range(of_vm).rev();
        let mut here = dropped.filter(|(_, at)| &***at == address);
        known.max(here.next().map(|((_, epoch), _)| *epoch))
    }

    /// Whether this incarnation was released and dropped, with its identity on record.
    pub(crate) fn is_dropped(&self, vm: &str, epoch: u64) -> bool {
        self.dropped.contains_key(&(Arc::from(vm), epoch))
    }

    /// VM, address and epoch of the dropped incarnations.
    pub(crate) fn dropped(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, u64)> {
        let dropped = self.dropped.iter();
        dropped.map(|((vm, epoch), address)| (vm, address, *epoch))
    }

    /// Drops a released incarnation that no key refers to, except for its identity.
    pub(crate) fn forget_if_unused(&mut self, id: RouterId) {
        let router = self.get(id);
        if router.phase != Phase::Released || router.key_refs > 0 {
            return;
        }
        let Some(router) = self.by_id.remove(&id) else {
            return;
        };
        if let Some(epochs) = self.by_vm.get_mut(&router.vm) {
            epochs.remove(&router.epoch);
            if epochs.is_empty() {
                self.by_vm.remove(&router.vm);
            }
        }
        self.remember_identity(router.vm, router.address, router.epoch);
    }

    fn remember_identity(&mut self, vm: Arc<str>, address: Arc<str>, epoch: u64) {
        self.dropped.insert((vm, epoch), address);
        if self.dropped.len() <= MAX_DROPPED_ROUTERS {
            return;
        }
        let oldest = self.dropped.keys().min_by_key(|(vm, epoch)| (*epoch, vm));
        if let Some(oldest) = oldest.cloned() {
            self.dropped.remove(&oldest);
        }
    }

    /// Lowest key floor of the incarnations that may still charge.
    pub(crate) fn lowest_floor(&self) -> Option<WallMs> {
        let holders = self.by_id.values().filter(|router| router.is_holder());
        holders.map(|router| router.floor).min()
    }
}
