//! Tests of the size of the subset and how often it changes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use swiftlink_types::{DomainName, PoolName, ServerInstance, ServerName};

use super::Subset;
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

fn selected_of(count: usize) -> (Subset, HashSet<ServerName>) {
    let mut subset = Subset::new(DomainName::from("d0"));
    for number in 0..count {
        subset.put(&entry(number, false));
    }
    let selected = subset.select().into_iter().collect();
    (subset, selected)
}

/// Without subsets, every router rebuilt all pools from all servers whenever any server changed.
#[test]
fn the_subset_size_is_independent_of_the_pool_size() {
    for count in [3_000, 10_000, 20_000] {
        let (mut subset, selected) = selected_of(count);
        assert_eq!(selected.len(), 256 + 5 * 64, "{count} servers");
        let mut needed = 0;
        for number in 0..count {
            needed += usize::from(subset.remove(&entry(number, false)));
            subset.put(&entry(number, true));
        }
        // Each is needed at most once; those that replace others aren't needed before they are
        // selected.
        assert!(needed <= selected.len(), "{count} servers: {needed}");
    }
}

#[test]
fn all_servers_of_a_pool_of_some_hundreds_are_needed() {
    let (_, selected) = selected_of(256);
    assert_eq!(selected.len(), 256);
}

/// A router that uses the first servers of a domain finds the same ones with or without the rest.
#[test]
fn draining_servers_are_replaced_by_others_of_their_domain() {
    let (mut subset, selected) = selected_of(10_000);
    for number in 0..10_000 {
        if selected.contains(&entry(number, false).instance.name) {
            assert!(subset.remove(&entry(number, false)), "it was needed");
            subset.put(&entry(number, true));
        }
    }
    let next: HashSet<ServerName> = subset.select().into_iter().collect();
    assert_eq!(next.len(), selected.len());
    assert!(next.is_disjoint(&selected));
}
