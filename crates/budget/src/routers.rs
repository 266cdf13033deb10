//! All router incarnations that the stream names.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use swiftlink_types::WallMs;

use crate::router::{Phase, Router};

/// Most forgotten incarnations of which the identity is remembered. When there are
/// more, the oldest epoch goes.
pub const FORMER_MAX: usize = 4_096;

/// Number of an incarnation in this process.
pub(crate) type RouterId = u32;

#[derive(Clone, Debug, Default)]
pub(crate) struct Routers {
    by_id: BTreeMap<RouterId, Router>,
    /// Numbers by VM and epoch.
    by_vm: HashMap<Arc<str>, BTreeMap<u64, RouterId>>,
    next: RouterId,
    /// Addresses of forgotten incarnations, by VM and epoch.
    former: BTreeMap<(Arc<str>, u64), Arc<str>>,
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
            .expect("an incarnation is kept while a key or grant names it")
    }

    pub(crate) fn get_mut(&mut self, id: RouterId) -> &mut Router {
        self.by_id
            .get_mut(&id)
            .expect("an incarnation is kept while a key or grant names it")
    }

    pub(crate) fn add(&mut self, router: Router) -> RouterId {
        let id = self.next;
        self.next = id
            .checked_add(1)
            .expect("fewer than 2^32 starts in one process's life");
        let epochs = self.by_vm.entry(Arc::clone(&router.vm)).or_default();
        epochs.insert(router.epoch, id);
        self.by_id.insert(id, router);
        id
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RouterId, &Router)> {
        self.by_id.iter().map(|(id, router)| (*id, router))
    }

    /// Incarnations of one VM and address, by epoch.
    pub(crate) fn at(&self, vm: &str, address: &str) -> impl Iterator<Item = (RouterId, &Router)> {
        let ids = self.by_vm.get(vm).into_iter().flat_map(BTreeMap::values);
        let known = ids.map(|id| (*id, self.get(*id)));
        known.filter(move |(_, router)| router.is_at(address))
    }

    /// Largest epoch that joined at a VM and address.
    pub(crate) fn newest(&self, vm: &str, address: &str) -> Option<u64> {
        let known = self.at(vm, address).map(|(_, router)| router.epoch).max();
        let of_vm = (Arc::from(vm), 0)..=(Arc::from(vm), u64::MAX);
        let former = self.former.range(of_vm).rev();
        let mut here = former.filter(|(_, at)| &***at == address);
        known.max(here.next().map(|((_, epoch), _)| *epoch))
    }

    /// Whether this incarnation was released and forgotten.
    pub(crate) fn is_former(&self, vm: &str, epoch: u64) -> bool {
        self.former.contains_key(&(Arc::from(vm), epoch))
    }

    /// VM, address and epoch of the forgotten incarnations.
    pub(crate) fn former(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>, u64)> {
        let former = self.former.iter();
        former.map(|((vm, epoch), address)| (vm, address, *epoch))
    }

    /// Forgets a released incarnation that no key names, but for its identity.
    pub(crate) fn tidy(&mut self, id: RouterId) {
        let router = self.get(id);
        if router.phase != Phase::Released || router.keys > 0 {
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
        self.remember(router.vm, router.address, router.epoch);
    }

    fn remember(&mut self, vm: Arc<str>, address: Arc<str>, epoch: u64) {
        self.former.insert((vm, epoch), address);
        if self.former.len() <= FORMER_MAX {
            return;
        }
        let oldest = self.former.keys().min_by_key(|(vm, epoch)| (*epoch, vm));
        if let Some(oldest) = oldest.cloned() {
            self.former.remove(&oldest);
        }
    }

    /// Lowest floor of the incarnations that may still charge.
    pub(crate) fn lowest_floor(&self) -> Option<WallMs> {
        let holders = self.by_id.values().filter(|router| router.is_holder());
        holders.map(|router| router.floor).min()
    }
}
