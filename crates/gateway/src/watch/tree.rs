//! Who follows the feeds by whom. No I/O.
//!
//! In each failure domain the strongest routers watch for the others: all of the domain hear each change
//! from them. These hear it from three routers of the fleet, which read the store. So the store is
//! read by three, whatever the size of the fleet, and bytes between failure domains grow with the
//! number of domains. A router follows by routers before it in its domain's order alone, so there is no
//! circle, and where the first ones are lost the next one reads the store for those behind it.
//!
//! A member's place in the order doesn't depend on which others are known: routers that know a part of
//! the fleet may follow by another one than they will later, and hear the same.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use swiftlink_types::{DomainName, VmName};
use xxhash_rust::xxh3::xxh3_64;

use super::copies::Upstreams;
use crate::quota::holders::Member;

/// Largest fleet whose routers all read the store: so few cost less than what they would have to
/// tell each other.
const SMALL_FLEET: usize = 16;
/// Routers that read the store in a larger fleet: one may be lost and another one cut off.
const ROOTS: usize = 3;
/// Routers of a failure domain that the others follow by: half of them by each.
const WATCHERS: usize = 2;
/// Routers that a router may follow by, those that watch among them.
const UPSTREAMS: usize = 4;

/// Whom `own` follows by in a fleet of `members`, itself among them.
#[must_use]
pub fn upstreams(own: &VmName, members: &[Member]) -> Upstreams {
    if members.len() <= SMALL_FLEET {
        return Upstreams::default();
    }
    let domains = domains(members);
    let roots = roots(&domains);
    if roots.contains(&own) {
        return Upstreams {
            is_followed: true,
            ..Upstreams::default()
        };
    }
    let order = domains.values().find(|order| order.contains(&own));
    let order = order.map_or(&[][..], Vec::as_slice);
    let rank = order.iter().position(|vm| *vm == own).unwrap_or(0);
    if rank < WATCHERS {
        return Upstreams {
            vms: turned(own, &roots),
            is_followed: true,
            is_leaf: false,
        };
    }
    let mut vms = turned(own, &order[..WATCHERS]);
    vms.extend(
        order[WATCHERS..rank.min(UPSTREAMS)]
            .iter()
            .copied()
            .cloned(),
    );
    Upstreams {
        vms,
        is_followed: rank < UPSTREAMS,
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

/// The same routers, beginning with another one for each who asks.
fn turned(own: &VmName, vms: &[&VmName]) -> Vec<VmName> {
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
