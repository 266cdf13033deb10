//! The failure domains that operators have drained.

use std::collections::{HashMap, HashSet};

use swiftlink_types::DomainName;

use crate::catalog::DomainChange;

/// Drained failure domains by the key of their record.
///
/// A domain is drained while its key exists, so only the newest record of each key counts.
/// [`Reader`](super::Reader) determines which one that is.
#[derive(Debug, Default)]
pub struct DrainedDomains {
    domains: HashMap<String, DomainName>,
}

impl DrainedDomains {
    /// Applies the newest record of `key`. Returns whether that changes anything.
    pub fn take(&mut self, key: &str, change: &DomainChange) -> bool {
        if !change.is_drained {
            return self.domains.remove(key).is_some();
        }
        let domain = change.domain.clone();
        self.domains.insert(key.to_owned(), domain).is_none()
    }

    /// Removes the domains whose keys no longer exist and returns their names.
    pub fn retain(&mut self, keys: &HashSet<String>) -> Vec<DomainName> {
        let gone = self.domains.extract_if(|key, _| !keys.contains(key));
        gone.map(|(_, domain)| domain).collect()
    }

    /// The drained domains.
    #[must_use]
    pub fn domains(&self) -> HashSet<DomainName> {
        self.domains.values().cloned().collect()
    }
}
