//! Tests of the relay tree of the feeds.

use std::collections::{HashMap, HashSet};

use swiftlink_gateway::watch::{Upstreams, upstreams};
use swiftlink_types::VmName;

use crate::net::members;

fn all(count: usize) -> HashMap<VmName, Upstreams> {
    let members = members(count);
    let plans = members
        .iter()
        .map(|member| (member.vm.clone(), upstreams(&member.vm, &members)));
    plans.collect()
}

#[test]
fn all_routers_of_a_small_fleet_read_the_store() {
    for upstreams in all(16).values() {
        assert_eq!(*upstreams, Upstreams::default());
    }
}

/// A root reads all feeds of the store, so the number of roots must not grow with the fleet.
#[test]
fn three_routers_read_the_store_in_a_fleet_of_any_size() {
    for count in [30, 100, 300, 1_000, 2_000] {
        let fleet = all(count);
        let roots = fleet.values().filter(|plan| plan.vms.is_empty());
        assert_eq!(roots.count(), 3, "{count} routers");
    }
}

/// Each of two relays has half of its failure domain as followers, within the spread of the hash.
#[test]
fn no_router_has_more_followers_than_its_share_of_a_domain() {
    for count in [100, 300, 1_000, 2_000] {
        let mut first: HashMap<VmName, usize> = HashMap::new();
        for plan in all(count).values() {
            if let Some(vm) = plan.vms.first() {
                *first.entry(vm.clone()).or_default() += 1;
            }
        }
        let max = first.values().max().copied().unwrap_or(0);
        let domain = count / 6;
        assert!(
            max <= domain * 7 / 10 + 6,
            "{count} routers: {max} of {domain}"
        );
    }
}

/// Routers in a cycle would send each other outdated records forever.
#[test]
fn the_relay_tree_has_no_cycles() {
    for count in [17, 30, 300] {
        let fleet = all(count);
        for vm in fleet.keys() {
            let mut seen = HashSet::new();
            let mut next = vec![vm.clone()];
            while let Some(at) = next.pop() {
                for upstream in &fleet[&at].vms {
                    assert_ne!(upstream, vm, "{count} routers");
                    if seen.insert(upstream.clone()) {
                        next.push(upstream.clone());
                    }
                }
            }
        }
    }
}

/// Routers start at nearly the same time, and each knows only a part of the fleet at first.
#[test]
fn a_root_has_followers_with_any_partial_membership() {
    let members = members(100);
    let roots = members
        .iter()
        .filter(|member| upstreams(&member.vm, &members).vms.is_empty());
    for root in roots {
        for part in [20, 50, 90] {
            let mut known: Vec<_> = members.iter().take(part).cloned().collect();
            if known.contains(root) {
                continue;
            }
            known.push(root.clone());
            let plan = upstreams(&root.vm, &known);
            assert!(plan.has_followers, "{} of {part}", root.vm);
        }
    }
}
