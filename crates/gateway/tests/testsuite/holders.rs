//! Where accounts are placed.

use std::collections::HashMap;

use swiftlink_gateway::quota::holders::Placement;
use swiftlink_types::{VmName, WorkspaceName};
use tokio::time::Instant;

use crate::net::{members, name};

fn workspace(index: usize) -> WorkspaceName {
    WorkspaceName::from(format!("w{index}"))
}

fn placement(own: usize, count: usize) -> Placement {
    Placement::new(name(own), members(count), Instant::now())
}

#[test]
fn each_router_of_a_small_fleet_holds_a_share_of_each_account() {
    for own in 0..8 {
        assert!(placement(own, 8).is_holder(&workspace(own)));
        assert!(placement(own, 8).peer_holders().is_empty());
    }
}

#[test]
fn strong_routers_in_different_domains_hold_an_account_of_a_large_fleet() {
    for count in [30, 100, 300, 1_000] {
        let all = members(count);
        let placements: Vec<_> = (0..count).map(|own| placement(own, count)).collect();
        for index in 0..10 {
            let is_holder = |own: &usize| placements[*own].is_holder(&workspace(index));
            let holders: Vec<_> = (0..count).filter(is_holder).collect();
            assert_eq!(holders.len(), 3, "{count} routers: {holders:?}");
            let mut domains: Vec<_> = holders.iter().map(|vm| &all[*vm].domain).collect();
            domains.sort();
            domains.dedup();
            assert_eq!(domains.len(), 3, "{count} routers: {holders:?}");
            assert!(holders.iter().all(|vm| all[*vm].cpu_millis == 500));
        }
    }
}

/// The number of links grows with the fleet, not with its square.
#[test]
fn number_of_links_is_bounded() {
    for count in [30, 300, 1_000] {
        let links = placement(count - 1, count).peer_holders().len();
        assert!((3..=24).contains(&links), "{links} of {count}");
    }
}

#[test]
fn routers_ask_the_holders_first_in_rotating_order() {
    let mut first: HashMap<VmName, usize> = HashMap::new();
    for own in 100..300 {
        let order = placement(own, 300).reserve_order(&workspace(1), own as u64);
        let holders = &order[..3];
        for vm in holders {
            let index = (0..300).find(|index| name(*index) == *vm).expect("a VM");
            assert!(placement(index, 300).is_holder(&workspace(1)));
        }
        *first.entry(order[0].clone()).or_default() += 1;
    }
    assert_eq!(first.len(), 3);
    assert!(first.values().all(|count| *count > 40), "{first:?}");
}

/// When a VM is permanently lost, only the accounts that it held are moved.
#[test]
fn lost_member_moves_only_its_own_accounts() {
    let all = members(300);
    let without: Vec<_> = all.iter().skip(1).cloned().collect();
    let before = Placement::new(name(200), all, Instant::now());
    let after = Placement::new(name(200), without, Instant::now());
    for index in 0..40 {
        let mut old: Vec<_> = before.reserve_order(&workspace(index), 0)[..3].to_vec();
        let mut new: Vec<_> = after.reserve_order(&workspace(index), 0)[..3].to_vec();
        old.sort();
        new.sort();
        if !old.contains(&name(0)) {
            assert_eq!(old, new);
        }
    }
}

#[test]
fn no_router_holds_unrequested_quota_before_members_are_known() {
    let placement = Placement::unknown(name(0));
    assert!(!placement.is_holder(&workspace(0)));
    assert!(placement.reserve_order(&workspace(0), 0).is_empty());
}
