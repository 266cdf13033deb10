//! What of a fleet's servers a router needs, and how often that changes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName};

use super::Interest;
use crate::catalog::ServerEntry;

const DOMAINS: usize = 6;

fn entry(number: usize, draining: bool) -> ServerEntry {
    ServerEntry {
        instance: ServerInstance::from(ServerName::from(format!("s{number}"))),
        pool: PoolName::from("pool"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: DomainName::from(format!("d{}", number % DOMAINS)),
        version: "v1".into(),
        slots: 32,
        draining,
        warmup: Duration::ZERO,
    }
}

fn listed(count: usize) -> (Interest, HashSet<ServerName>) {
    let mut interest = Interest::new(DomainName::from("d0"));
    for number in 0..count {
        interest.put(&entry(number, false));
    }
    let chosen = interest.choose().into_iter().collect();
    (interest, chosen)
}

/// All pools were made anew of all servers whenever any server changed, at each router.
#[test]
fn the_servers_that_a_router_needs_are_as_many_whatever_the_size_of_the_pool() {
    for count in [3_000, 10_000, 20_000] {
        let (mut interest, chosen) = listed(count);
        assert_eq!(chosen.len(), 256 + 5 * 64, "{count} servers");
        let mut needed = 0;
        for number in 0..count {
            needed += usize::from(interest.remove(&entry(number, false)));
            interest.put(&entry(number, true));
        }
        // Each one is needed at most once, and those that take the places of others aren't before they are chosen.
        assert!(needed <= chosen.len(), "{count} servers: {needed}");
    }
}

#[test]
fn a_pool_of_some_hundreds_is_needed_whole() {
    let (_, chosen) = listed(256);
    assert_eq!(chosen.len(), 256);
}

/// Who uses the first servers of a domain in their order finds the same ones whatever else is left out.
#[test]
fn servers_that_leave_make_room_for_others_of_their_domain() {
    let (mut interest, chosen) = listed(10_000);
    for number in 0..10_000 {
        if chosen.contains(&entry(number, false).instance.name) {
            assert!(interest.remove(&entry(number, false)), "it was needed");
            interest.put(&entry(number, true));
        }
    }
    let next: HashSet<ServerName> = interest.choose().into_iter().collect();
    assert_eq!(next.len(), chosen.len());
    assert!(next.is_disjoint(&chosen));
}
