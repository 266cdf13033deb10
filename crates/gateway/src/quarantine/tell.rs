//! What routers tell each other of servers that ended.
//!
//! All is told in two ways that don't fail together: from router to router, and on the store, in
//! the feed that every router follows anyway. In a small fleet all routers are told of each end. In a
//! large one a few are, the same for all, so that one place sees all ends under a request; what they
//! find is told to all, each router passing it on to some.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use prost::Message;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::{ServerName, Start, VmName};
use swiftlink_wire::link::{Ends, ServerEnd as EndMessage, reply, request};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Cleared, Held, OBSERVERS, Quarantine, ServerEnd, Untold};
use crate::clock::Clock;
use crate::fingerprint::Fingerprint;
use crate::peers::Peers;
use crate::store::{Feed, Store, StoreError};

/// What keys of the members' feed with ends begin with; no VM's name has a slash.
pub(crate) const KEY_START: &str = "ended/";
/// Routers that each one passes on to that a request is held: after eight of each router one in
/// 3,000 hasn't heard, and one in fifty where half of the calls fail.
pub const PASSED_ON: usize = 8;
/// How often each router does so, to others each time: what one round misses the next one finds.
pub const ROUNDS: u32 = 3;
/// Time between the rounds, as often as there were some.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for a peer's answer; a link is opened in a few milliseconds.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Most ends that are written to the store.
const WRITTEN_MAX: usize = 32;
/// Pause after the store took no record.
const BACKOFF: Duration = Duration::from_millis(250);

/// Tells others until the task is aborted.
pub(crate) async fn run(
    quarantine: Arc<Quarantine>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    part: u32,
) {
    let mut calls = JoinSet::new();
    let unheard = watch::Sender::new(Vec::new());
    let writer = Writer {
        store,
        part,
        key: format!("{KEY_START}{}", quarantine.vm),
        producer: format!("{}/{:016x}/ended", quarantine.vm, rand::random::<u64>()),
        sequence: 0,
    };
    calls.spawn(writer.run(unheard.subscribe(), Arc::clone(&quarantine)));
    loop {
        let untold = quarantine.untold().await;
        while calls.try_join_next().is_some() {}
        let has_changed = !untold.held.is_empty() || !untold.served.is_empty();
        if has_changed && peers.is_observer() {
            // The record says what is held now.
            unheard.send_modify(|_| {});
        }
        let told = tell(
            Arc::clone(&quarantine),
            Arc::clone(&peers),
            untold,
            unheard.clone(),
        );
        calls.spawn(told);
    }
}

async fn tell(
    quarantine: Arc<Quarantine>,
    peers: Arc<Peers>,
    untold: Untold,
    unheard: watch::Sender<Vec<ServerEnd>>,
) {
    let clock = &*quarantine.clock;
    if !untold.ends.is_empty() || !untold.served.is_empty() {
        let seen = message(clock, &untold.ends, &untold.served);
        let all_told = tell_observers(&quarantine, &peers, &seen).await;
        let is_cheap = !peers.is_large();
        if (is_cheap || !all_told) && !untold.ends.is_empty() {
            // Who didn't hear it directly may read it on the store: one that can't be reached, or
            // that isn't known here yet.
            unheard.send_modify(|ends| add(ends, &untold.ends));
        }
    }
    // Each router passes on what is new to it, so this ends.
    let proofs: Vec<ServerEnd> = untold.held.iter().flat_map(Held::proofs).collect();
    let is_news = !proofs.is_empty() || !untold.served.is_empty();
    if is_news && peers.is_large() {
        let news = message(clock, &proofs, &untold.served);
        for round in 0..ROUNDS {
            sleep(ROUND_PAUSE * round).await;
            send(&quarantine, &peers, peers.sample(PASSED_ON), &news).await;
        }
    }
}

/// Tells the observers, and others in the place of those that can't be reached. Says whether as
/// many were told as have to be.
async fn tell_observers(quarantine: &Quarantine, peers: &Peers, seen: &Ends) -> bool {
    let candidates = peers.observers();
    let wanted = if peers.is_large() {
        OBSERVERS
    } else {
        candidates.len()
    };
    let mut candidates = candidates.into_iter();
    let mut told = 0;
    while told < wanted {
        let next: Vec<VmName> = candidates.by_ref().take(wanted - told).collect();
        if next.is_empty() {
            return false;
        }
        told += send(quarantine, peers, next, seen).await;
    }
    true
}

/// Adds ends to those that somebody hasn't heard of; the newest ones stay.
fn add(unheard: &mut Vec<ServerEnd>, ends: &[ServerEnd]) {
    unheard.extend(ends.iter().cloned());
    let over = unheard.len().saturating_sub(WRITTEN_MAX);
    unheard.drain(..over);
}

/// Sends to each of `vms`; gives how many have taken it.
async fn send(quarantine: &Quarantine, peers: &Peers, vms: Vec<VmName>, ends: &Ends) -> usize {
    let calls = vms
        .iter()
        .map(|vm| call(quarantine, peers, vm, ends.clone()));
    let taken = join_all(calls).await;
    taken.into_iter().filter(|taken| *taken).count()
}

async fn call(quarantine: &Quarantine, peers: &Peers, vm: &VmName, ends: Ends) -> bool {
    let kind = request::Kind::Ends(ends);
    match peers.connect_and_call(vm, kind, ANSWER_TIME).await {
        Ok(reply::Kind::Noted(_)) => true,
        Ok(reply::Kind::Ends(known)) => {
            take(quarantine, vm.as_str(), &known);
            true
        }
        Ok(_) => {
            event!(warn, "ends.not_told", peer = vm, reason = "wrong reply");
            false
        }
        // A link that is down is told of elsewhere.
        Err(LinkError::Down) => false,
        Err(error) => {
            event!(info, "ends.not_told", peer = vm, reason = error);
            false
        }
    }
}

/// Takes what a router tells.
pub(crate) fn take(quarantine: &Quarantine, from: &str, told: &Ends) {
    take_late(quarantine, from, told, 0);
}

/// Takes what was told so many milliseconds ago.
fn take_late(quarantine: &Quarantine, from: &str, told: &Ends, late: u64) {
    let now = quarantine.clock.steady();
    for end in &told.ends {
        match read(end, now.saturating_sub(end.age_ms.saturating_add(late))) {
            Some(end) => quarantine.learn(&end),
            None => event!(warn, "ends.unreadable", from = from),
        }
    }
    for bytes in &told.served {
        let Ok(print) = Fingerprint::try_from(&bytes[..]) else {
            event!(warn, "ends.unreadable", from = from);
            continue;
        };
        if quarantine.clear(print, now.saturating_sub(late)) == Cleared::Hold {
            quarantine.pass_on_good_end(print);
        }
    }
}

/// Takes what a router tells, and answers with what requests of it are held for here: a router that
/// sends one hasn't heard of that.
pub(crate) fn answer(quarantine: &Quarantine, from: &str, told: &Ends) -> Option<Ends> {
    take(quarantine, from, told);
    let ends: Vec<ServerEnd> = told.ends.iter().filter_map(|end| read(end, 0)).collect();
    let proofs = quarantine.proofs_for(&ends);
    (!proofs.is_empty()).then(|| message(&*quarantine.clock, &proofs, &[]))
}

/// Takes a record of the members' feed.
pub(crate) fn take_record(quarantine: &Quarantine, key: &str, value: &Bytes) {
    match Ends::decode(value.clone()) {
        Ok(ends) => {
            // The time of day may have jumped at either side: what seems to come is new.
            let wall = quarantine.clock.read().wall;
            let late = wall.saturating_sub(ends.wall_ms);
            take_late(quarantine, key, &ends, late);
        }
        Err(error) => event!(error, "ends.unreadable", from = key, error = error),
    }
}

fn read(end: &EndMessage, at: u64) -> Option<ServerEnd> {
    let prints = end.prints.iter().map(|bytes| (&bytes[..]).try_into());
    let prints: Result<HashSet<Fingerprint>, _> = prints.collect();
    let seen_by = end.seen_by.iter().map(|vm| VmName::from(vm.as_str()));
    Some(ServerEnd {
        start: Start::new(ServerName::from(end.server.as_str()), end.born),
        at,
        prints: prints.ok()?,
        seen_by: seen_by.collect::<BTreeSet<VmName>>(),
    })
}

fn message(clock: &dyn Clock, ends: &[ServerEnd], served: &[Fingerprint]) -> Ends {
    let now = clock.read();
    let ends = ends.iter().map(|end| EndMessage {
        server: end.start.name.to_string(),
        born: end.start.born,
        age_ms: now.steady.saturating_sub(end.at),
        prints: end
            .prints
            .iter()
            .map(|one| one.as_bytes().to_vec())
            .collect(),
        seen_by: end.seen_by.iter().map(VmName::to_string).collect(),
    });
    Ends {
        ends: ends.collect(),
        served: served.iter().map(|one| one.as_bytes().to_vec()).collect(),
        wall_ms: now.wall,
    }
}

/// Writes this VM's record of ends.
struct Writer {
    store: Arc<dyn Store>,
    /// Partition of the members' feed.
    part: u32,
    key: String,
    producer: String,
    sequence: u64,
}

impl Writer {
    /// Writes what is held and what others haven't heard of, whenever that changes, until the
    /// task is aborted.
    async fn run(
        mut self,
        mut unheard: watch::Receiver<Vec<ServerEnd>>,
        quarantine: Arc<Quarantine>,
    ) {
        while unheard.changed().await.is_ok() {
            let mut ends = quarantine.proofs();
            ends.extend(unheard.borrow_and_update().iter().cloned());
            ends.truncate(WRITTEN_MAX);
            let record = message(&*quarantine.clock, &ends, &[]).encode_to_vec();
            self.sequence += 1;
            while let Err(error) = self.write(&record).await {
                event!(info, "ends.not_written", error = error);
                sleep(BACKOFF).await;
            }
        }
    }

    async fn write(&self, record: &[u8]) -> Result<u64, StoreError> {
        let record = (self.key.clone(), Bytes::copy_from_slice(record));
        self.store
            .append_next(
                Feed::Members(self.part),
                &self.producer,
                self.sequence,
                record,
            )
            .await
    }
}
