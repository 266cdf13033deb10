//! The current configuration, indexed for the processes that use it.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use subtle::ConstantTimeEq;
use swiftlink_types::{
    BudgetName, ClassName, KeyName, PoolName, ServerName, Tokens, VmName, WorkspaceName,
};

use crate::{Budget, Class, Key, KeyHash, Kind, Pool, Retirement, Server, Spec, TopUp, Workspace};

/// The configuration at one version: an immutable snapshot, shared as `Arc<Config>`.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Offset of the last accepted change set plus one; 0 before the first.
    pub version: u64,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Budgets by name.
    pub budgets: BTreeMap<BudgetName, Arc<Budget>>,
    /// Top-ups by name. The name is the idempotency key: a top-up is credited once per name.
    pub topups: BTreeMap<Arc<str>, Arc<TopUp>>,
    /// Priority classes by name.
    pub classes: BTreeMap<ClassName, Arc<Class>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Arc<Pool>>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, Arc<Server>>,
    /// API keys by name.
    pub keys: BTreeMap<KeyName, Arc<Key>>,
    /// Retirements by name of the VM that is declared gone.
    pub retirements: BTreeMap<VmName, Arc<Retirement>>,
    resources: BTreeMap<Kind, BTreeMap<Arc<str>, Resource>>,
    keys_by_hash: HashMap<KeyHash, KeyName>,
    pool_servers: BTreeMap<PoolName, Vec<PoolServer>>,
    /// Sum of the top-ups of each budget (tokens).
    topup_totals: BTreeMap<BudgetName, Tokens>,
}

/// A resource with its version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Resource {
    /// Offset of the change set that last changed it, plus one.
    pub version: u64,
    /// Its specification.
    pub spec: Spec,
    /// The specification as JSON, defaults included.
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
    /// Returns the resource of this kind and name.
    #[must_use]
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(&kind)?.get(name)
    }

    /// Iterates over the resources of a kind in the order of their names.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = (&Arc<str>, &Resource)> {
        self.resources.get(&kind).into_iter().flatten()
    }

    /// Returns the API key whose secret has this SHA-256 hash, including disabled keys.
    #[must_use]
    pub fn key_by_hash(&self, hash: &[u8; 32]) -> Option<(&KeyName, &Key)> {
        let name = self.keys_by_hash.get(&KeyHash(*hash))?;
        let (name, key) = self.keys.get_key_value(name)?;
        // The map lookup isn't constant-time, but it compares hashes only; the comparison
        // that decides is constant-time.
        if !bool::from(key.hash.0.ct_eq(hash)) {
            return None;
        }
        Some((name, key))
    }

    /// Returns the backend servers of a pool, sorted by name, including draining ones.
    #[must_use]
    pub fn servers_of(&self, pool: &str) -> &[PoolServer] {
        self.pool_servers.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the sum of all declared top-ups of a budget (tokens).
    #[must_use]
    pub fn topped_up(&self, budget: &str) -> Tokens {
        self.topup_totals.get(budget).copied().unwrap_or_default()
    }

    /// Returns the number of resources of all kinds.
    #[must_use]
    pub fn count(&self) -> usize {
        self.resources.values().map(BTreeMap::len).sum()
    }

    /// Returns whether an operator declared the VM of this name gone.
    #[must_use]
    pub fn is_retired(&self, vm: &str) -> bool {
        self.retirements.contains_key(vm)
    }

    pub(crate) fn key_name_by_hash(&self, hash: &KeyHash) -> Option<&KeyName> {
        self.keys_by_hash.get(hash)
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
                let total = self.topup_totals.entry(spec.budget.clone()).or_default();
                *total = total.saturating_add(spec.amount);
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
                self.keys_by_hash.insert(spec.hash, name.clone());
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
        if let Some(total) = self.topup_totals.get_mut(&spec.budget) {
            *total = total.saturating_sub(spec.amount);
        }
    }

    fn put_server(&mut self, name: ServerName, spec: &Arc<Server>) {
        self.servers.insert(name.clone(), Arc::clone(spec));
        let members = self.pool_servers.entry(spec.pool.clone()).or_default();
        let at = members.partition_point(|member| member.name < name);
        let spec = Arc::clone(spec);
        members.insert(at, PoolServer { name, spec });
    }

    fn remove_server(&mut self, name: &str) {
        let Some(spec) = self.servers.remove(name) else {
            return;
        };
        let Some(members) = self.pool_servers.get_mut(&spec.pool) else {
            return;
        };
        members.retain(|member| member.name.as_str() != name);
        if members.is_empty() {
            self.pool_servers.remove(&spec.pool);
        }
    }

    fn remove_key(&mut self, name: &str) {
        let Some(spec) = self.keys.remove(name) else {
            return;
        };
        // Another key of the same change set may already own the hash.
        if self
            .keys_by_hash
            .get(&spec.hash)
            .is_some_and(|owner| owner.as_str() == name)
        {
            self.keys_by_hash.remove(&spec.hash);
        }
    }
}
