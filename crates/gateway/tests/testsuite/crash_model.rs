//! Routers that tell each other of crashes, without network.
//!
//! The store never answers, some VMs are permanently lost and still listed, and some links are cut in
//! one direction. The simulation has steps of a millisecond.

use std::collections::{BTreeMap, HashSet};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use swiftlink_gateway::fingerprint::Fingerprint;
use swiftlink_gateway::quarantine::{
    Clearance, CrashHistory, GOSSIP_FANOUT, GOSSIP_ROUNDS, HeldRequest, OBSERVERS, ServerCrash,
    ranking,
};
use swiftlink_types::{DomainName, VmName};

/// Number of routers up to which each crash is reported to all.
const SMALL: usize = 17;
/// Milliseconds that a message takes.
const DELAY: u64 = 2;
/// Milliseconds after which a router counts as unreachable.
const TIMEOUT: u64 = 500;
/// Milliseconds between two gossip rounds.
const GOSSIP_INTERVAL: u64 = 250;
/// A message in transit.
struct Message {
    to: usize,
    crashes: Vec<ServerCrash>,
    /// Requests and parts that completed.
    completed: Vec<Fingerprint>,
}

/// The routers of a fleet.
pub(crate) struct Fleet {
    pub(crate) histories: Vec<CrashHistory>,
    pub(crate) is_up: Vec<bool>,
    /// Links that carry nothing in the direction from the first to the second router.
    cut: HashSet<(usize, usize)>,
    ranked: Vec<usize>,
    /// Messages by the time at which they arrive.
    in_transit: BTreeMap<u64, Vec<Message>>,
    pub(crate) rng: SmallRng,
}

impl Fleet {
    pub(crate) fn new(count: usize, lost: f64, cut: f64, seed: u64) -> Self {
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

    fn send(&mut self, at: u64, to: usize, crashes: Vec<ServerCrash>, completed: Vec<Fingerprint>) {
        let messages = self.in_transit.entry(at).or_default();
        messages.push(Message {
            to,
            crashes,
            completed,
        });
    }

    /// Sends crashes and completions from a router to the observers, or to the next routers in place of
    /// those that don't answer. Their answers contain the evidence for what they hold.
    fn report(
        &mut self,
        now: u64,
        from: usize,
        crashes: &[ServerCrash],
        completed: &[Fingerprint],
    ) {
        let is_small = self.is_small();
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
                self.send(at, to, crashes.to_vec(), completed.to_vec());
                let evidence = self.histories[to].evidence();
                if !evidence.is_empty() && !crashes.is_empty() {
                    self.send(at + DELAY, from, evidence, Vec::new());
                }
            }
            at += TIMEOUT;
        }
    }

    fn is_small(&self) -> bool {
        self.histories.len() <= SMALL
    }

    /// Gossips the evidence for what is newly held, and completions, in a large fleet.
    fn gossip(&mut self, now: u64, from: usize, held: &[HeldRequest], completed: &[Fingerprint]) {
        let crashes: Vec<ServerCrash> = held.iter().flat_map(HeldRequest::evidence).collect();
        if (crashes.is_empty() && completed.is_empty()) || self.is_small() {
            return;
        }
        let mut at = now + DELAY;
        for round in 0..u64::from(GOSSIP_ROUNDS) {
            at += GOSSIP_INTERVAL * round;
            let others = (0..self.histories.len()).filter(|to| *to != from);
            for to in others.sample(&mut self.rng, GOSSIP_FANOUT) {
                if self.reaches(from, to) {
                    self.send(at, to, crashes.clone(), completed.to_vec());
                }
            }
        }
    }

    /// Delivers the messages that arrive at `now`.
    pub(crate) fn deliver_due(&mut self, now: u64) {
        for message in self.in_transit.remove(&now).unwrap_or_default() {
            self.deliver(now, message.to, &message.crashes);
            let completed = message.completed.iter();
            let cleared = completed.filter(|one| {
                self.histories[message.to].on_completed(**one, now) == Clearance::Hold
            });
            let cleared: Vec<Fingerprint> = cleared.copied().collect();
            self.announce(now, message.to, &cleared);
        }
    }

    fn deliver(&mut self, now: u64, to: usize, crashes: &[ServerCrash]) {
        let crashes = crashes.iter();
        let held = crashes.flat_map(|crash| self.histories[to].on_crash(now, crash).held);
        let held: Vec<HeldRequest> = held.collect();
        self.gossip(now, to, &held, &[]);
    }

    /// A router sees a crash.
    pub(crate) fn on_crash(&mut self, now: u64, router: usize, crash: &ServerCrash) {
        self.deliver(now, router, std::slice::from_ref(crash));
        self.report(now, router, std::slice::from_ref(crash), &[]);
    }

    /// A request with these fingerprints completes at a router.
    pub(crate) fn on_completed(&mut self, now: u64, router: usize, fingerprints: &[Fingerprint]) {
        let history = &mut self.histories[router];
        let cleared = fingerprints
            .iter()
            .filter(|one| history.on_completed(**one, now) != Clearance::Nothing);
        let cleared: Vec<Fingerprint> = cleared.copied().collect();
        self.announce(now, router, &cleared);
    }

    fn announce(&mut self, now: u64, router: usize, completed: &[Fingerprint]) {
        if completed.is_empty() {
            return;
        }
        self.report(now, router, &[], completed);
        self.gossip(now, router, &[], completed);
    }

    /// The routers that run.
    pub(crate) fn up(&self) -> Vec<usize> {
        (0..self.is_up.len())
            .filter(|one| self.is_up[*one])
            .collect()
    }

    /// A router that runs, drawn at random.
    pub(crate) fn any_of(&mut self, up: &[usize]) -> usize {
        up[self.rng.random_range(0..up.len())]
    }
}
