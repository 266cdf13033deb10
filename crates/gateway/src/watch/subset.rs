//! Deterministic subsetting: the servers of very large pools that a router needs.
//!
//! A router uses some dozens of a pool's servers, the first ones of its failure domain in an order
//! that is the same for all routers there (`swiftlink_routing`), and servers of other domains where
//! its own are gone. Changes of other servers don't affect it, so the work caused by a change
//! doesn't grow with the pool.

use std::collections::{BTreeSet, HashMap};

use swiftlink_types::{DomainName, PoolName, ServerName};
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::ServerEntry;

/// Largest pool of which all servers are needed.
const MAX_FULL_POOL: usize = 256;
/// Servers of a larger pool that are needed of the router's own failure domain: four times as many
/// as it uses at first, so that it can use more under load and others can leave.
const MAX_OWN_DOMAIN_SERVERS: usize = 256;
/// The same for each other domain: a domain that is drained or lost is replaced by several.
const MAX_OTHER_DOMAIN_SERVERS: usize = 64;

/// Position of a server in the order of its domain. Servers that drain come last.
type SortKey = (bool, u64, ServerName);

/// The servers of one pool in one failure domain.
#[derive(Debug, Default)]
struct DomainServers {
    servers: BTreeSet<SortKey>,
    /// The last server that is needed; `None` if all are.
    cutoff: Option<SortKey>,
}

/// The servers of all pools in selection order.
#[derive(Debug)]
pub(super) struct Subset {
    own_domain: DomainName,
    pools: HashMap<PoolName, HashMap<DomainName, DomainServers>>,
}

impl Subset {
    /// Creates the subset of a router in `own_domain`.
    pub(super) fn new(own_domain: DomainName) -> Self {
        Self {
            own_domain,
            pools: HashMap::new(),
        }
    }

    /// Adds a server. Returns whether it is needed.
    pub(super) fn put(&mut self, entry: &ServerEntry) -> bool {
        let sort_key = sort_key(entry);
        let group = self.group(entry);
        let is_needed = group.includes(&sort_key);
        group.servers.insert(sort_key);
        is_needed
    }

    /// Removes a server that is gone or whose entry changed. Returns whether it was needed.
    pub(super) fn remove(&mut self, entry: &ServerEntry) -> bool {
        let sort_key = sort_key(entry);
        let group = self.group(entry);
        group.servers.remove(&sort_key);
        group.includes(&sort_key)
    }

    /// Selects the servers that are needed from now on.
    pub(super) fn select(&mut self) -> Vec<ServerName> {
        let mut selected = Vec::new();
        for domains in self.pools.values_mut() {
            let total: usize = domains.values().map(|group| group.servers.len()).sum();
            for (domain, group) in domains {
                let max = match (total <= MAX_FULL_POOL, *domain == self.own_domain) {
                    (true, _) => usize::MAX,
                    (false, true) => MAX_OWN_DOMAIN_SERVERS,
                    (false, false) => MAX_OTHER_DOMAIN_SERVERS,
                };
                let needed = group.servers.iter().take(max);
                selected.extend(needed.map(|(_, _, name)| name.clone()));
                let is_cut = group.servers.len() > max;
                group.cutoff = is_cut
                    .then(|| group.servers.iter().nth(max - 1).cloned())
                    .flatten();
            }
        }
        selected
    }

    fn group(&mut self, entry: &ServerEntry) -> &mut DomainServers {
        let domains = self.pools.entry(entry.pool.clone()).or_default();
        domains.entry(entry.domain.clone()).or_default()
    }
}

impl DomainServers {
    fn includes(&self, sort_key: &SortKey) -> bool {
        self.cutoff.as_ref().is_none_or(|cutoff| sort_key <= cutoff)
    }
}

fn sort_key(entry: &ServerEntry) -> SortKey {
    let name = &entry.instance.name;
    (
        entry.draining,
        xxh3_64(name.as_str().as_bytes()),
        name.clone(),
    )
}

#[cfg(test)]
mod tests;
