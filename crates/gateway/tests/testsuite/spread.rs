//! How all routers come to know that a request is held, in fleets of 7, 75 and 300 VMs.
//!
//! The load: a deadly request comes back four times a second, to any router. Each end is seen by the
//! router that had sent it. The store is silent throughout, a part of the VMs is gone for good and
//! still listed, and some links carry nothing in one direction. Steps of a millisecond, no network.

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

/// Sends that are allowed after as many ends as show what a request does.
const MORE: usize = 3;
/// Time after the third end from which on sends count, the shortest of the users' sheets.
const WINDOW: u64 = 3_000;
/// Time of a message, and that after which a router counts as out of reach.
const DELAY: u64 = 2;
const SILENCE: u64 = 500;
/// Time between two rounds of passing on.
const PAUSE: u64 = 250;
/// Time between two returns of the request.
const RETURN: u64 = 250;

/// A message under way, by when it arrives.
struct Mail {
    to: usize,
    ends: Vec<ServerCrash>,
}

struct Fleet {
    cases: Vec<CrashHistory>,
    is_up: Vec<bool>,
    /// Links that carry nothing, in this direction.
    cut: HashSet<(usize, usize)>,
    ranked: Vec<usize>,
    mail: BTreeMap<u64, Vec<Mail>>,
    rng: SmallRng,
}

impl Fleet {
    fn new(count: usize, gone: f64, cut: f64, seed: u64) -> Self {
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
            cases: (0..count).map(|_| CrashHistory::default()).collect(),
            is_up: (0..count).map(|_| !rng.random_bool(gone)).collect(),
            cut,
            ranked,
            mail: BTreeMap::new(),
            rng,
        }
    }

    /// A call and its answer need both directions.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        self.is_up[to] && !is_cut
    }

    fn post(&mut self, at: u64, to: usize, ends: Vec<ServerCrash>) {
        self.mail.entry(at).or_default().push(Mail { to, ends });
    }

    /// A router tells observers, in the place of those that are silent the next ones, and hears
    /// what the request is held for.
    fn tell(&mut self, now: u64, from: usize, end: &ServerCrash) {
        let is_small = self.cases.len() <= 17;
        let all: Vec<usize> = match is_small {
            true => (0..self.cases.len()).collect(),
            false => self.ranked.clone(),
        };
        let mut candidates = all.into_iter().filter(|to| *to != from);
        let wanted = if is_small {
            self.cases.len() - 1
        } else {
            OBSERVERS
        };
        let (mut told, mut at) = (0, now + DELAY);
        while told < wanted {
            let next: Vec<usize> = candidates.by_ref().take(wanted - told).collect();
            if next.is_empty() {
                return;
            }
            for to in next {
                if !self.reaches(from, to) {
                    continue;
                }
                told += 1;
                self.post(at, to, vec![end.clone()]);
                let proofs = self.cases[to].evidence();
                if !proofs.is_empty() {
                    self.post(at + DELAY, from, proofs);
                }
            }
            at += SILENCE;
        }
    }

    fn pass_on(&mut self, now: u64, from: usize, held: &[HeldRequest]) {
        let ends: Vec<ServerCrash> = held.iter().flat_map(HeldRequest::evidence).collect();
        if ends.is_empty() || self.cases.len() <= 17 {
            return;
        }
        let mut at = now + DELAY;
        for round in 0..u64::from(GOSSIP_ROUNDS) {
            at += PAUSE * round;
            let others = (0..self.cases.len()).filter(|to| *to != from);
            for to in others.sample(&mut self.rng, GOSSIP_FANOUT) {
                if self.reaches(from, to) {
                    self.post(at, to, ends.clone());
                }
            }
        }
    }

    fn take(&mut self, now: u64, to: usize, ends: &[ServerCrash]) {
        let held: Vec<HeldRequest> = ends
            .iter()
            .flat_map(|end| self.cases[to].on_crash(now, end).held)
            .collect();
        self.pass_on(now, to, &held);
    }

    /// Plays two minutes; gives when servers ended, and the routers that hold the request then.
    fn play(&mut self) -> (Vec<u64>, usize) {
        let up: Vec<usize> = (0..self.is_up.len())
            .filter(|one| self.is_up[*one])
            .collect();
        let mut ends = Vec::new();
        for now in 1..120_000 {
            for Mail { to, ends } in self.mail.remove(&now).unwrap_or_default() {
                self.take(now, to, &ends);
            }
            if now % RETURN != 0 {
                continue;
            }
            let router = up[self.rng.random_range(0..up.len())];
            if self.cases[router]
                .remaining_hold(&fingerprint(7), now)
                .is_some()
            {
                continue;
            }
            ends.push(now);
            let end = ServerCrash {
                instance: ServerInstance::from(ServerName::from(format!("i-{now}").as_str())),
                at: now,
                fingerprints: HashSet::from([fingerprint(7)]),
                seen_by: BTreeSet::from([VmName::from(format!("vm-{router}").as_str())]),
            };
            self.take(now, router, std::slice::from_ref(&end));
            self.tell(now, router, &end);
        }
        let holds = |one: &&usize| {
            self.cases[**one]
                .remaining_hold(&fingerprint(7), 120_000)
                .is_some()
        };
        let held = up.iter().filter(holds).count();
        (ends, held)
    }
}

#[test]
fn all_routers_of_a_whole_fleet_hold_it_after_three_ends() {
    assert!(
        INITIAL_HOLD.as_millis() > 120_000,
        "a hold outlives the play"
    );
    for count in [7, 75, 300] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(count, 0.0, 0.0, seed);
            let (ends, held) = fleet.play();
            assert_eq!(ends.len(), CRASHES_TO_HOLD, "{count} routers");
            assert_eq!(held, count);
        }
    }
}

/// A third of the VMs is gone, and one link in ten is cut in one direction.
#[test]
fn a_fleet_with_lost_vms_and_cut_links_stays_within_what_is_allowed() {
    for count in [7, 75, 300] {
        for seed in 0..6 {
            let mut fleet = Fleet::new(count, 0.33, 0.1, seed);
            let (ends, _) = fleet.play();
            let known = ends[CRASHES_TO_HOLD - 1] + WINDOW;
            let late = ends.iter().filter(|at| **at > known).count();
            assert!(late <= MORE, "{count} routers, seed {seed}: {ends:?}");
        }
    }
}
