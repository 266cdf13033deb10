//! Failure domains: which of them operators have emptied, and which a request may go to.
//!
//! Whether a domain is emptied is judged twice: when a server is chosen, and again when the bytes
//! of a request leave, since minutes may lie between both where a connection is waited for or a
//! process stood still. The second look is one atomic read.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_types::{DomainName, RegionName};

/// A failure domain, shared by all that send to its servers.
#[derive(Debug)]
pub struct Domain {
    /// Its name.
    pub name: DomainName,
    is_emptied: AtomicBool,
}

impl Domain {
    /// Whether its servers get no requests now.
    #[must_use]
    pub fn is_emptied(&self) -> bool {
        self.is_emptied.load(SeqCst)
    }
}

/// All failure domains that are known.
#[derive(Debug, Default)]
pub struct Domains {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    all: HashMap<DomainName, Arc<Domain>>,
    emptied: Arc<HashSet<DomainName>>,
}

impl Domains {
    /// The domain of that name.
    #[must_use]
    pub fn get(&self, name: &DomainName) -> Arc<Domain> {
        let mut inner = self.lock();
        let is_emptied = inner.emptied.contains(name);
        let domain = inner.all.entry(name.clone()).or_insert_with(|| {
            Arc::new(Domain {
                name: name.clone(),
                is_emptied: AtomicBool::new(is_emptied),
            })
        });
        Arc::clone(domain)
    }

    /// All domains that servers are in.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Domain>> {
        self.lock().all.values().cloned().collect()
    }

    /// Takes the domains that are emptied; all others aren't.
    pub fn set_emptied(&self, emptied: HashSet<DomainName>) {
        let mut inner = self.lock();
        for domain in inner.all.values() {
            let is_emptied = emptied.contains(&domain.name);
            domain.is_emptied.store(is_emptied, SeqCst);
        }
        inner.emptied = Arc::new(emptied);
    }

    /// The domains that are emptied.
    #[must_use]
    pub fn emptied(&self) -> Arc<HashSet<DomainName>> {
        Arc::clone(&self.lock().emptied)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The maps are whole between any two calls.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The failure domains that a request may go to, where its route or its workspace has home
/// regions; both bind where both have. `None`: it may go to any. A domain whose region isn't known
/// is at nobody's home.
#[must_use]
pub fn at_home(
    route: &[RegionName],
    workspace: &[RegionName],
    regions: &HashMap<DomainName, RegionName>,
) -> Option<HashSet<DomainName>> {
    let homes: Vec<&[RegionName]> = [route, workspace]
        .into_iter()
        .filter(|homes| !homes.is_empty())
        .collect();
    if homes.is_empty() {
        return None;
    }
    let is_home = |region| homes.iter().all(|homes| homes.contains(region));
    let domains = regions.iter().filter(|(_, region)| is_home(region));
    Some(domains.map(|(domain, _)| domain.clone()).collect())
}
