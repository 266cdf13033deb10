//! Which failure domains operators have emptied.

use std::collections::{HashMap, HashSet};

use swiftlink_types::DomainName;

use crate::catalog::DomainChange;

/// Failure domains that are emptied, each under the key of its record.
///
/// A domain is emptied while its key is there, so the newest record of each key is all that
/// counts; which one that is, [`Reader`](super::Reader) knows.
#[derive(Debug, Default)]
pub struct Emptied {
    domains: HashMap<String, DomainName>,
}

impl Emptied {
    /// Takes the newest record of `key`. Says whether that changes anything.
    pub fn take(&mut self, key: &str, change: &DomainChange) -> bool {
        if !change.is_emptied {
            return self.domains.remove(key).is_some();
        }
        let domain = change.domain.clone();
        self.domains.insert(key.to_owned(), domain).is_none()
    }

    /// Drops the domains whose keys aren't there any more, and gives their names.
    pub fn retain(&mut self, keys: &HashSet<String>) -> Vec<DomainName> {
        let gone = self.domains.extract_if(|key, _| !keys.contains(key));
        gone.map(|(_, domain)| domain).collect()
    }

    /// The domains that are emptied.
    #[must_use]
    pub fn domains(&self) -> HashSet<DomainName> {
        self.domains.values().cloned().collect()
    }
}
