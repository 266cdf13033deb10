//! How the quarantine of a request spreads to all routers, in fleets of 7, 75 and 300 VMs.
//!
//! A query of death is retried four times a second, at any router. The router that sent it sees the
//! crash that it causes. The store never answers, some VMs are permanently lost and still listed,
//! and some links are cut in one direction. The simulation has steps of a millisecond and no
//! network.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use swiftlink_gateway::quarantine::{
    CRASHES_TO_HOLD, CrashHistory, GOSSIP_FANOUT, GOSSIP_ROUNDS, HeldRequest, INITIAL_HOLD,
    OBSERVERS, ServerCrash, ranking,
};
use swiftlink_types::{DomainName, ServerInstance, ServerName, VmName};

use crate::quarantine::fingerprint;

/// Maximum number of crashes that are allowed after the request is identified as their cause.
const MAX_LATE: usize = 3;
/// Milliseconds after the third crash from which on crashes count: the shortest limit that users
/// set.
const GRACE: u64 = 3_000;
/// Milliseconds that a message takes.
const DELAY: u64 = 2;
/// Milliseconds after which a router counts as unreachable.
const TIMEOUT: u64 = 500;
/// Milliseconds between two gossip rounds.
const GOSSIP_INTERVAL: u64 = 250;
/// Milliseconds between two retries of the request.
const RETRY_INTERVAL: u64 = 250;

/// A message in transit.
struct Message {
    to: usize,
    crashes: Vec<ServerCrash>,
}

struct Fleet {
    histories: Vec<CrashHistory>,
    is_up: Vec<bool>,
    /// Links that carry nothing in the direction from the first to the second router.
    cut: HashSet<(usize, usize)>,
    ranked: Vec<usize>,
    /// Messages by the time at which they arrive.
    in_transit: BTreeMap<u64, Vec<Message>>,
    rng: SmallRng,
}

impl Fleet {
    fn new(count: usize, lost: f64, cut: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let vm = |number: usize| VmName::from(format!("vm-{number}").as_str());
        let domain = |number: usize| DomainName::from(format!("d-{}", number % 4).as_str());
        let members = (0..count)
            .map(|number| (vm(number), domain(number)))
            .collect();
        let ranked = ranking(members);
        let place = |name: &VmName| (0..count).find(|number| vm(*number) == *name);
        let ranked = ranked.iter().filter_map(place).collect();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        let cut = links.filter(|_| rng.random_bool(cut)).collect();
        Self {
            histories: (0..count).map(|_| CrashHistory::default()).collect(),
            is_up: (0..count).map(|_| !rng.random_bool(lost)).collect(),
            cut,
            ranked,
            in_transit: BTreeMap::new(),
            rng,
        }
    }

    /// Whether `from` can call `to`: a call and its answer need both directions.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        self.is_up[to] && !is_cut
    }

    fn send(&mut self, at: u64, to: usize, crashes: Vec<ServerCrash>) {
        self.in_transit
            .entry(at)
            .or_default()
            .push(Message { to, crashes });
    }

    /// Sends a crash from a router to the observers, or to the next routers in place of those that
    /// don't answer. Their answers contain the evidence against the requests that they hold.
    fn report(&mut self, now: u64, from: usize, crash: &ServerCrash) {
        let is_small = self.histories.len() <= 17;
        let all: Vec<usize> = match is_small {
            true => (0..self.histories.len()).collect(),
            false => self.ranked.clone(),
        };
        let mut candidates = all.into_iter().filter(|to| *to != from);
        let wanted = if is_small {
            self.histories.len() - 1
        } else {
            OBSERVERS
        };
        let (mut reached, mut at) = (0, now + DELAY);
        while reached < wanted {
            let next: Vec<usize> = candidates.by_ref().take(wanted - reached).collect();
            if next.is_empty() {
                return;
            }
            for to in next {
                if !self.reaches(from, to) {
                    continue;
                }
                reached += 1;
                self.send(at, to, vec![crash.clone()]);
                let evidence = self.histories[to].evidence();
                if !evidence.is_empty() {
                    self.send(at + DELAY, from, evidence);
                }
            }
            at += TIMEOUT;
        }
    }

    /// Gossips the evidence for newly held requests, in a large fleet.
    fn gossip(&mut self, now: u64, from: usize, held: &[HeldRequest]) {
        let crashes: Vec<ServerCrash> = held.iter().flat_map(HeldRequest::evidence).collect();
        if crashes.is_empty() || self.histories.len() <= 17 {
            return;
        }
        let mut at = now + DELAY;
        for round in 0..u64::from(GOSSIP_ROUNDS) {
            at += GOSSIP_INTERVAL * round;
            let others = (0..self.histories.len()).filter(|to| *to != from);
            for to in others.sample(&mut self.rng, GOSSIP_FANOUT) {
                if self.reaches(from, to) {
                    self.send(at, to, crashes.clone());
                }
            }
        }
    }

    /// Delivers crashes to a router.
    fn deliver(&mut self, now: u64, to: usize, crashes: &[ServerCrash]) {
        let held: Vec<HeldRequest> = crashes
            .iter()
            .flat_map(|crash| self.histories[to].on_crash(now, crash).held)
            .collect();
        self.gossip(now, to, &held);
    }

    /// Simulates two minutes; returns when servers crashed, and how many routers hold the request
    /// at the end.
    fn simulate(&mut self) -> (Vec<u64>, usize) {
        let up: Vec<usize> = (0..self.is_up.len())
            .filter(|one| self.is_up[*one])
            .collect();
        let mut crashes = Vec::new();
        for now in 1..120_000 {
            for Message { to, crashes } in self.in_transit.remove(&now).unwrap_or_default() {
                self.deliver(now, to, &crashes);
            }
            if now % RETRY_INTERVAL != 0 {
                continue;
            }
            let router = up[self.rng.random_range(0..up.len())];
            if self.histories[router]
                .remaining_hold(&fingerprint(7), now)
                .is_some()
            {
                continue;
            }
            crashes.push(now);
            let crash = ServerCrash {
                instance: ServerInstance::from(ServerName::from(format!("i-{now}").as_str())),
                at: now,
                fingerprints: HashSet::from([fingerprint(7)]),
                seen_by: BTreeSet::from([VmName::from(format!("vm-{router}").as_str())]),
            };
            self.deliver(now, router, std::slice::from_ref(&crash));
            self.report(now, router, &crash);
        }
        let holds = |one: &&usize| {
            self.histories[**one]
                .remaining_hold(&fingerprint(7), 120_000)
                .is_some()
        };
        let held = up.iter().filter(holds).count();
        (crashes, held)
    }
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
            let (crashes, held) = fleet.simulate();
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
            let (crashes, _) = fleet.simulate();
            let identified = crashes[CRASHES_TO_HOLD - 1] + GRACE;
            let late = crashes.iter().filter(|at| **at > identified).count();
            assert!(
                late <= MAX_LATE,
                "{count} routers, seed {seed}: {crashes:?}"
            );
        }
    }
}
