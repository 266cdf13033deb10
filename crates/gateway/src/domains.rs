//! Failure domains: which ones operators have drained, and which ones a request may use.
//!
//! Whether a domain is drained is checked twice: when a server is chosen, and again when the bytes
//! of a request are sent, since minutes may pass in between where a connection is awaited or a
//! process is stalled. The second check is one atomic read.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use swiftlink_types::{DomainName, RegionName};

/// A failure domain, shared by all that send requests to its servers.
#[derive(Debug)]
pub struct Domain {
    /// Name of the domain.
    pub name: DomainName,
    is_drained: AtomicBool,
}

impl Domain {
    /// Whether its servers get no requests now.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_drained.load(SeqCst)
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
    drained: Arc<HashSet<DomainName>>,
}

impl Domains {
    /// Returns the domain of that name, creating it if needed.
    #[must_use]
    pub fn get(&self, name: &DomainName) -> Arc<Domain> {
        let mut inner = self.lock();
        let is_drained = inner.drained.contains(name);
        let domain = inner.all.entry(name.clone()).or_insert_with(|| {
            Arc::new(Domain {
                name: name.clone(),
                is_drained: AtomicBool::new(is_drained),
            })
        });
        Arc::clone(domain)
    }

    /// All domains that servers are in.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<Domain>> {
        self.lock().all.values().cloned().collect()
    }

    /// Sets the drained domains; all others are in use.
    pub fn set_drained_domains(&self, drained: HashSet<DomainName>) {
        let mut inner = self.lock();
        for domain in inner.all.values() {
            let is_drained = drained.contains(&domain.name);
            domain.is_drained.store(is_drained, SeqCst);
        }
        inner.drained = Arc::new(drained);
    }

    /// The drained domains.
    #[must_use]
    pub fn drained(&self) -> Arc<HashSet<DomainName>> {
        Arc::clone(&self.lock().drained)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The maps are consistent between any two calls.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The failure domains that a request may use, given the allowed regions of its route and its
/// workspace. Both restrict it if both are set; `None` if it may use any. A domain whose region is
/// unknown is never allowed.
#[must_use]
pub fn allowed_domains(
    route: &[RegionName],
    workspace: &[RegionName],
    regions: &HashMap<DomainName, RegionName>,
) -> Option<HashSet<DomainName>> {
    let allowed: Vec<&[RegionName]> = [route, workspace]
        .into_iter()
        .filter(|allowed| !allowed.is_empty())
        .collect();
    if allowed.is_empty() {
        return None;
    }
    let is_allowed = |region| allowed.iter().all(|allowed| allowed.contains(region));
    let domains = regions.iter().filter(|(_, region)| is_allowed(region));
    Some(domains.map(|(domain, _)| domain.clone()).collect())
}
