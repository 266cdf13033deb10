//! Selects the routers of a large fleet that are informed of every crash.

use std::collections::HashSet;

use swiftlink_types::{DomainName, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// Routers that receive each crash. One of them may be down and another one partitioned.
pub const OBSERVERS: usize = 3;
/// Routers that are tried until enough have received a crash. Members that are gone stay listed for
/// a while.
const MAX_CANDIDATES: usize = 12;

/// Order in which routers are informed. It is the same on all routers with the same member list,
/// and starts with one router of each failure domain.
#[must_use]
pub fn ranking(mut members: Vec<(VmName, DomainName)>) -> Vec<VmName> {
    members.sort_by_cached_key(|(vm, _)| xxh3_64(vm.as_str().as_bytes()));
    let mut domains = HashSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|(_, domain)| domains.insert(domain.clone()));
    let ranked = first.into_iter().chain(rest).map(|(vm, _)| vm);
    ranked.take(MAX_CANDIDATES).collect()
}
