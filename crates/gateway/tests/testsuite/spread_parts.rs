//! How the quarantine of a part of prompts spreads to all routers, in fleets of 7 to 985 VMs.
//!
//! Requests with a deadly part come four times a second at any router, no two alike, among twenty a
//! second that have the first part of the prompt in common with them. Guards against routers that
//! each see too few crashes to hold the part, and against one that holds the first part since it
//! hasn't heard that others complete requests with it.

use std::collections::BTreeSet;

use swiftlink_gateway::fingerprint::Fingerprint;
use swiftlink_gateway::quarantine::ServerCrash;
use swiftlink_types::{ServerInstance, ServerName, VmName};

use crate::crash_model::Fleet;
use crate::parts::part;
use crate::quarantine::fingerprint;

/// Crashes under one part that are allowed.
const MAX_CRASHES: usize = 5;
/// Requests that may reach servers once the fleet had the time that a change takes after these
/// crashes.
const MAX_LATE: usize = 3;
/// Milliseconds after the fifth crash from which on requests count: the shortest limit that users set.
const GRACE: u64 = 3_000;
/// Milliseconds between two requests with the part.
const DEADLY_INTERVAL: u64 = 250;
/// Milliseconds between two sound requests.
const SOUND_INTERVAL: u64 = 50;
/// Longest time in milliseconds from the first to the last refusal of sound requests.
const MAX_REFUSING: u64 = 1_000;
const FLEETS: [usize; 4] = [7, 75, 300, 985];

/// When servers crashed and when sound requests were refused.
struct Course {
    crashes: Vec<u64>,
    refusals: Vec<u64>,
}

/// Simulates a minute.
fn simulate(fleet: &mut Fleet) -> Course {
    let up = fleet.up();
    let first = part("f1");
    let deadly = [first, part("dead")];
    let mut course = Course {
        crashes: Vec::new(),
        refusals: Vec::new(),
    };
    for now in 1..60_000 {
        fleet.deliver_due(now);
        if now % SOUND_INTERVAL == 0 {
            let router = fleet.any_of(&up);
            let sound = [first, part(&format!("a{}", now % 7))];
            if is_held(fleet, router, &sound, now) {
                course.refusals.push(now);
            } else {
                fleet.on_completed(now, router, &sound);
            }
        }
        if now % DEADLY_INTERVAL != DEADLY_INTERVAL / 2 {
            continue;
        }
        let router = fleet.any_of(&up);
        if is_held(fleet, router, &deadly, now) {
            continue;
        }
        course.crashes.push(now);
        let request = fingerprint(now as u32);
        let crash = ServerCrash {
            instance: ServerInstance::from(ServerName::from(format!("i-{now}").as_str())),
            at: now,
            fingerprints: deadly.into_iter().chain([request]).collect(),
            seen_by: BTreeSet::from([VmName::from(format!("vm-{router}").as_str())]),
        };
        fleet.on_crash(now, router, &crash);
    }
    course
}

fn is_held(fleet: &Fleet, router: usize, parts: &[Fingerprint], now: u64) -> bool {
    fleet.histories[router]
        .remaining_part_hold(parts, now)
        .is_some()
}

#[test]
fn intact_fleet_holds_the_part_and_refuses_no_sound_request() {
    for count in FLEETS {
        for seed in 1..=6 {
            let mut fleet = Fleet::new(count, 0.0, 0.0, seed);
            let course = simulate(&mut fleet);
            let crashes = course.crashes.len();
            assert!(
                crashes <= MAX_CRASHES,
                "{count} routers, seed {seed}: {crashes} crashes"
            );
            let refusals = course.refusals;
            assert!(
                refusals.is_empty(),
                "{count} routers, seed {seed}: {refusals:?}"
            );
        }
    }
}

/// A third of the VMs is lost, and one link in ten is cut in one direction.
#[test]
fn fleet_with_lost_vms_and_cut_links_stays_within_the_limits() {
    for count in FLEETS {
        for seed in 1..=6 {
            let mut fleet = Fleet::new(count, 0.33, 0.1, seed);
            let Course { crashes, refusals } = simulate(&mut fleet);
            let fifth = crashes.get(MAX_CRASHES - 1);
            let late = crashes
                .iter()
                .filter(|at| fifth.is_some_and(|fifth| **at > fifth + GRACE));
            assert!(
                late.count() <= MAX_LATE,
                "{count} routers, seed {seed}: {crashes:?}"
            );
            let refusing = refusals.last().unwrap_or(&0) - refusals.first().unwrap_or(&0);
            assert!(
                refusing <= MAX_REFUSING,
                "{count} routers, seed {seed}: {refusals:?}"
            );
        }
    }
}
