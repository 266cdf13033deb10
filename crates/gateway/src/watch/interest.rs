//! Which servers of very large pools a router needs to know well.
//!
//! A router uses some dozens of a pool's servers, the first ones of its failure domain in an order that is
//! the same for all routers there (`swiftlink_routing`), and of other domains where its own are
//! gone. What any other server says changes nothing for it, so the work that a change makes
//! doesn't grow with the pool.

use std::collections::{BTreeSet, HashMap};

use swiftlink_types::{DomainName, PoolName, ServerName};
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::ServerEntry;

/// Largest pool of which all servers are needed.
const WHOLE: usize = 256;
/// Servers of a larger pool that are needed of the router's own failure domain: four times as many as it
/// uses at first, so that it may use more under load and others may leave.
const NEAR: usize = 256;
/// The same of each other domain: one that is emptied or lost is made up for by several.
const FAR: usize = 64;

/// Place of a server in the order of its domain's. Those that leave come last.
type Place = (bool, u64, ServerName);

/// The servers of one pool in one failure domain.
#[derive(Debug, Default)]
struct Shelf {
    servers: BTreeSet<Place>,
    /// The last one that is needed; `None` where all are.
    last: Option<Place>,
}

/// The order of all servers.
#[derive(Debug)]
pub(super) struct Interest {
    home: DomainName,
    shelves: HashMap<PoolName, HashMap<DomainName, Shelf>>,
}

impl Interest {
    /// Of a router in `home`.
    pub(super) fn new(home: DomainName) -> Self {
        Self {
            home,
            shelves: HashMap::new(),
        }
    }

    /// A server is listed. Says whether it is needed.
    pub(super) fn put(&mut self, entry: &ServerEntry) -> bool {
        let place = place(entry);
        let shelf = self.shelf(entry);
        let is_needed = shelf.needs(&place);
        shelf.servers.insert(place);
        is_needed
    }

    /// A server isn't listed any more, or says something else. Says whether it was needed.
    pub(super) fn remove(&mut self, entry: &ServerEntry) -> bool {
        let place = place(entry);
        let shelf = self.shelf(entry);
        shelf.servers.remove(&place);
        shelf.needs(&place)
    }

    /// The servers that are needed from now on.
    pub(super) fn choose(&mut self) -> Vec<ServerName> {
        let mut chosen = Vec::new();
        for shelves in self.shelves.values_mut() {
            let all: usize = shelves.values().map(|shelf| shelf.servers.len()).sum();
            for (domain, shelf) in shelves {
                let most = match (all <= WHOLE, *domain == self.home) {
                    (true, _) => usize::MAX,
                    (false, true) => NEAR,
                    (false, false) => FAR,
                };
                let needed = shelf.servers.iter().take(most);
                chosen.extend(needed.map(|(_, _, name)| name.clone()));
                let is_cut = shelf.servers.len() > most;
                shelf.last = is_cut
                    .then(|| shelf.servers.iter().nth(most - 1).cloned())
                    .flatten();
            }
        }
        chosen
    }

    fn shelf(&mut self, entry: &ServerEntry) -> &mut Shelf {
        let shelves = self.shelves.entry(entry.pool.clone()).or_default();
        shelves.entry(entry.domain.clone()).or_default()
    }
}

impl Shelf {
    fn needs(&self, place: &Place) -> bool {
        self.last.as_ref().is_none_or(|last| place <= last)
    }
}

fn place(entry: &ServerEntry) -> Place {
    let name = &entry.instance.name;
    (
        entry.draining,
        xxh3_64(name.as_str().as_bytes()),
        name.clone(),
    )
}

#[cfg(test)]
mod tests;
