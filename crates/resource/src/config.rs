//! The configuration in force, as processes use it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use subtle::ConstantTimeEq;
use swiftlink_types::{
    BudgetName, ClassName, KeyName, PoolName, ServerName, Tokens, VmName, WorkspaceName,
};

use crate::{Budget, Class, Key, KeyHash, Kind, Pool, Retirement, Server, Spec, TopUp, Workspace};

/// The configuration at one version. Shared as `Arc<Config>` and never changed.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Offset of the last accepted set plus one; 0 before the first.
    pub version: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Budgets by name.
    pub budgets: BTreeMap<BudgetName, Arc<Budget>>,
    /// Top-ups by name; the name is the identifier under which it counts once.
    pub topups: BTreeMap<Arc<str>, Arc<TopUp>>,
    /// Priority classes by name.
    pub classes: BTreeMap<ClassName, Arc<Class>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Arc<Pool>>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, Arc<Server>>,
    /// API keys by name.
    pub keys: BTreeMap<KeyName, Arc<Key>>,
    /// Retirements by name of the VM that is gone for good.
    pub retirements: BTreeMap<VmName, Arc<Retirement>>,
    resources: BTreeMap<Kind, BTreeMap<Arc<str>, Resource>>,
    hashes: HashMap<KeyHash, KeyName>,
    members: BTreeMap<PoolName, Vec<PoolServer>>,
    /// Sums of `topups` by budget.
    paid: BTreeMap<BudgetName, Tokens>,
}

/// One resource with its version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Resource {
    /// Offset of the set that last changed it, plus one.
    pub version: u64,
    /// The specification.
    pub spec: Spec,
    /// The specification as JSON with every default spelled out.
    pub json: Arc<str>,
}

/// A backend server as a member of its pool.
#[derive(Clone, Debug)]
pub struct PoolServer {
    /// Name of the server.
    pub name: ServerName,
    /// Its specification.
    pub spec: Arc<Server>,
}

impl Config {
    /// The resource of this kind and name.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(&kind)?.get(name)
    }

    /// The resources of a kind, by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = (&Arc<str>, &Resource)> {
        self.resources.get(&kind).into_iter().flatten()
    }

    /// The API key whose secret has this SHA-256, also when it is disabled.
    #[must_use]
    pub fn key_by_hash(&self, hash: &[u8; 32]) -> Option<(&KeyName, &Key)> {
        let name = self.hashes.get(&KeyHash(*hash))?;
        let (name, key) = self.keys.get_key_value(name)?;
        // The map compares in variable time, but only hashes; what decides is constant.
        if !bool::from(key.hash.0.ct_eq(hash)) {
            return None;
        }
        Some((name, key))
    }

    /// The backend servers of a pool, by name, draining ones included.
    #[must_use]
    pub fn servers_of(&self, pool: &str) -> &[PoolServer] {
        self.members.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Tokens that all declared top-ups of a budget add up to.
    #[must_use]
    pub fn topped_up(&self, budget: &str) -> Tokens {
        self.paid.get(budget).copied().unwrap_or_default()
    }

    /// Number of resources of all kinds.
    #[must_use]
    pub fn count(&self) -> usize {
        self.resources.values().map(BTreeMap::len).sum()
    }

    /// Whether an operator states that the VM of this name is gone for good.
    #[must_use]
    pub fn is_retired(&self, vm: &str) -> bool {
        self.retirements.contains_key(vm)
    }

    pub(crate) fn key_named(&self, hash: &KeyHash) -> Option<&KeyName> {
        self.hashes.get(hash)
    }

    pub(crate) fn put(&mut self, name: &Arc<str>, resource: Resource) {
        self.remove(resource.spec.kind(), name);
        match &resource.spec {
            Spec::Workspace(spec) => {
                self.workspaces
                    .insert(WorkspaceName::from(&**name), Arc::clone(spec));
            }
            Spec::Budget(spec) => {
                self.budgets
                    .insert(BudgetName::from(&**name), Arc::clone(spec));
            }
            Spec::TopUp(spec) => {
                let paid = self.paid.entry(spec.budget.clone()).or_default();
                *paid = paid.saturating_add(spec.amount);
                self.topups.insert(Arc::clone(name), Arc::clone(spec));
            }
            Spec::Class(spec) => {
                self.classes
                    .insert(ClassName::from(&**name), Arc::clone(spec));
            }
            Spec::Pool(spec) => {
                self.pools.insert(PoolName::from(&**name), Arc::clone(spec));
            }
            Spec::Server(spec) => self.put_server(ServerName::from(&**name), spec),
            Spec::Key(spec) => {
                let name = KeyName::from(&**name);
                self.hashes.insert(spec.hash, name.clone());
                self.keys.insert(name, Arc::clone(spec));
            }
            Spec::Retirement(spec) => {
                self.retirements
                    .insert(VmName::from(&**name), Arc::clone(spec));
            }
        }
        let kind = self.resources.entry(resource.spec.kind()).or_default();
        kind.insert(Arc::clone(name), resource);
    }

    pub(crate) fn remove(&mut self, kind: Kind, name: &str) {
        if let Some(resources) = self.resources.get_mut(&kind) {
            resources.remove(name);
        }
        match kind {
            Kind::Workspace => drop(self.workspaces.remove(name)),
            Kind::Budget => drop(self.budgets.remove(name)),
            Kind::TopUp => self.remove_top_up(name),
            Kind::Class => drop(self.classes.remove(name)),
            Kind::Pool => drop(self.pools.remove(name)),
            Kind::Server => self.remove_server(name),
            Kind::Key => self.remove_key(name),
            Kind::Retirement => drop(self.retirements.remove(name)),
        }
    }

    fn remove_top_up(&mut self, name: &str) {
        let Some(spec) = self.topups.remove(name) else {
            return;
        };
        if let Some(paid) = self.paid.get_mut(&spec.budget) {
            *paid = paid.saturating_sub(spec.amount);
        }
    }

    fn put_server(&mut self, name: ServerName, spec: &Arc<Server>) {
        self.servers.insert(name.clone(), Arc::clone(spec));
        let members = self.members.entry(spec.pool.clone()).or_default();
        let at = members.partition_point(|member| member.name < name);
        let spec = Arc::clone(spec);
        members.insert(at, PoolServer { name, spec });
    }

    fn remove_server(&mut self, name: &str) {
        let Some(spec) = self.servers.remove(name) else {
            return;
        };
        let Some(members) = self.members.get_mut(&spec.pool) else {
            return;
        };
        members.retain(|member| member.name.as_str() != name);
        if members.is_empty() {
            self.members.remove(&spec.pool);
        }
    }

    fn remove_key(&mut self, name: &str) {
        let Some(spec) = self.keys.remove(name) else {
            return;
        };
        // The hash may have passed to another key of the same set already.
        if self
            .hashes
            .get(&spec.hash)
            .is_some_and(|owner| owner.as_str() == name)
        {
            self.hashes.remove(&spec.hash);
        }
    }
}
