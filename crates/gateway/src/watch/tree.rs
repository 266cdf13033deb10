//! The relay tree: which router follows the feeds through which others. No I/O.
//!
//! In each failure domain the strongest routers are relays: all other routers of the domain receive
//! each change from them. The relays receive it from three routers of the fleet, the roots, which
//! read the store. So three routers read the store whatever the size of the fleet, and traffic
//! between failure domains grows with the number of domains. A router follows only routers that
//! precede it in the order of its domain, so there are no cycles; where the first ones are lost,
//! the next one reads the store for those behind it.
//!
//! A member's position in the order doesn't depend on which other members are known. A router that
//! knows only a part of the fleet may follow another upstream than later, and receives the same
//! records.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use swiftlink_types::{DomainName, VmName};
use xxhash_rust::xxh3::xxh3_64;

use super::replicas::Upstreams;
use crate::quota::holders::Member;

/// Largest fleet whose routers all read the store: for so few this costs less than relaying.
const MAX_DIRECT_FLEET: usize = 16;
/// Routers that read the store in a larger fleet: one may be lost and another one partitioned.
const ROOTS: usize = 3;
/// Routers of a failure domain that the others follow, half of them each.
const DOMAIN_RELAYS: usize = 2;
/// Maximum number of upstreams of a router, the domain's relays included.
const MAX_UPSTREAMS: usize = 4;

/// The upstreams of `own` in a fleet of `members`, which include it.
#[must_use]
pub fn upstreams(own: &VmName, members: &[Member]) -> Upstreams {
    if members.len() <= MAX_DIRECT_FLEET {
        return Upstreams::default();
    }
    let domains = domains(members);
    let roots = roots(&domains);
    if roots.contains(&own) {
        return Upstreams {
            has_followers: true,
            ..Upstreams::default()
        };
    }
    let order = domains.values().find(|order| order.contains(&own));
    let order = order.map_or(&[][..], Vec::as_slice);
    let rank = order.iter().position(|vm| *vm == own).unwrap_or(0);
    if rank < DOMAIN_RELAYS {
        return Upstreams {
            vms: rotated(own, &roots),
            has_followers: true,
            is_leaf: false,
        };
    }
    let mut vms = rotated(own, &order[..DOMAIN_RELAYS]);
    vms.extend(
        order[DOMAIN_RELAYS..rank.min(MAX_UPSTREAMS)]
            .iter()
            .copied()
            .cloned(),
    );
    Upstreams {
        vms,
        has_followers: rank < MAX_UPSTREAMS,
        is_leaf: true,
    }
}

/// The routers of each domain, the strongest first.
fn domains(members: &[Member]) -> BTreeMap<(u64, &DomainName), Vec<&VmName>> {
    let mut sorted: Vec<&Member> = members.iter().collect();
    sorted.sort_by_key(|member| (Reverse(member.cpu_millis), hash(&member.vm), &member.vm));
    let mut domains: BTreeMap<(u64, &DomainName), Vec<&VmName>> = BTreeMap::new();
    for member in sorted {
        let key = (xxh3_64(member.domain.as_str().as_bytes()), &member.domain);
        domains.entry(key).or_default().push(&member.vm);
    }
    domains
}

/// The first router of each of the first domains, then the second ones, and so on.
fn roots<'a>(domains: &BTreeMap<(u64, &DomainName), Vec<&'a VmName>>) -> Vec<&'a VmName> {
    let mut roots = Vec::new();
    let longest = domains.values().map(Vec::len).max().unwrap_or(0);
    for rank in 0..longest {
        let level = domains
            .values()
            .filter_map(|order| order.get(rank).copied());
        roots.extend(level);
        if roots.len() >= ROOTS {
            break;
        }
    }
    roots.truncate(ROOTS);
    roots
}

/// The same routers, rotated by a hash of `own` to spread the load.
fn rotated(own: &VmName, vms: &[&VmName]) -> Vec<VmName> {
    let mut vms: Vec<VmName> = vms.iter().copied().cloned().collect();
    vms.retain(|vm| vm != own);
    if !vms.is_empty() {
        let turn = hash(own) % vms.len() as u64;
        vms.rotate_left(turn as usize);
    }
    vms
}

fn hash(vm: &VmName) -> u64 {
    xxh3_64(vm.as_str().as_bytes())
}
