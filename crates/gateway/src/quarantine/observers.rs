//! Which routers of a large fleet are told of all ends of servers.

use std::collections::HashSet;

use swiftlink_types::{DomainName, VmName};
use xxhash_rust::xxh3::xxh3_64;

/// Routers that are told of each end: one may be down and another cut off.
pub const OBSERVERS: usize = 3;
/// Routers that are asked until so many have taken it: members that are gone stay listed.
const CANDIDATES: usize = 12;

/// The order in which routers are told, the same at all that know the same members: one of each
/// failure domain first.
#[must_use]
pub fn ranking(mut members: Vec<(VmName, DomainName)>) -> Vec<VmName> {
    members.sort_by_cached_key(|(vm, _)| xxh3_64(vm.as_str().as_bytes()));
    let mut domains = HashSet::new();
    let (first, rest): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|(_, domain)| domains.insert(domain.clone()));
    let ranked = first.into_iter().chain(rest).map(|(vm, _)| vm);
    ranked.take(CANDIDATES).collect()
}
