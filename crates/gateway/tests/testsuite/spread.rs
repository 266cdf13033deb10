//! How the quarantine of a request spreads to all routers, in fleets of 7, 75 and 300 VMs.
//!
//! A query of death is retried four times a second, at any router. The router that sent it sees the
//! crash that it causes. The store never answers, some VMs are permanently lost and still listed,
//! and some links are cut in one direction.

use std::collections::{BTreeSet, HashSet};

use swiftlink_gateway::quarantine::{CRASHES_TO_HOLD, INITIAL_HOLD, ServerCrash};
use swiftlink_types::{ServerInstance, ServerName, VmName};

use crate::crash_model::Fleet;
use crate::quarantine::fingerprint;

/// Maximum number of crashes that are allowed after the request is identified as their cause.
const MAX_LATE: usize = 3;
/// Milliseconds after the third crash from which on crashes count: the shortest limit that users
/// set.
const GRACE: u64 = 3_000;
/// Milliseconds between two retries of the request.
const RETRY_INTERVAL: u64 = 250;

/// Simulates two minutes; returns when servers crashed, and how many routers hold the request at the
/// end.
fn simulate(fleet: &mut Fleet) -> (Vec<u64>, usize) {
    let up = fleet.up();
    let mut crashes = Vec::new();
    for now in 1..120_000 {
        fleet.deliver_due(now);
        if now % RETRY_INTERVAL != 0 {
            continue;
        }
        let router = fleet.any_of(&up);
        let held = fleet.histories[router].remaining_hold(&fingerprint(7), now);
        if held.is_some() {
            continue;
        }
        crashes.push(now);
        let crash = ServerCrash {
            instance: ServerInstance::from(ServerName::from(format!("i-{now}").as_str())),
            at: now,
            fingerprints: HashSet::from([fingerprint(7)]),
            seen_by: BTreeSet::from([VmName::from(format!("vm-{router}").as_str())]),
        };
        fleet.on_crash(now, router, &crash);
    }
    let holds = |one: &&usize| {
        fleet.histories[**one]
            .remaining_hold(&fingerprint(7), 120_000)
            .is_some()
    };
    let held = up.iter().filter(holds).count();
    (crashes, held)
}

#[test]
fn all_routers_of_an_intact_fleet_hold_it_after_three_crashes() {
    assert!(
        INITIAL_HOLD.as_millis() > 120_000,
        "a hold outlasts the simulation"
    );
    for count in [7, 75, 300] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(count, 0.0, 0.0, seed);
            let (crashes, held) = simulate(&mut fleet);
            assert_eq!(crashes.len(), CRASHES_TO_HOLD, "{count} routers");
            assert_eq!(held, count);
        }
    }
}

/// A third of the VMs is lost, and one link in ten is cut in one direction.
#[test]
fn fleet_with_lost_vms_and_cut_links_stays_within_the_limit() {
    for count in [7, 75, 300] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(count, 0.33, 0.1, seed);
            let (crashes, _) = simulate(&mut fleet);
            let identified = crashes[CRASHES_TO_HOLD - 1] + GRACE;
            let late = crashes.iter().filter(|at| **at > identified).count();
            assert!(
                late <= MAX_LATE,
                "{count} routers, seed {seed}: {crashes:?}"
            );
        }
    }
}
