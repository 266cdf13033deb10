//! Exchange of crash reports between routers.
//!
//! Everything is sent over two paths that fail independently: directly between routers, and through
//! the feed on the store that every router follows. In a small fleet each crash is sent to all
//! routers. In a large fleet it is sent to a few observers, the same for all senders, so that one
//! router sees all crashes with a request. The holds that follow are gossiped to all routers.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use prost::Message;
use swiftlink_link::LinkError;
use swiftlink_telemetry::event;
use swiftlink_types::{ServerInstance, ServerName, VmName};
use swiftlink_wire::link::{Ends, ServerEnd, reply, request};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::{Clearance, HeldRequest, OBSERVERS, Outbox, Quarantine, ServerCrash};
use crate::clock::Clock;
use crate::fingerprint::Fingerprint;
use crate::peers::Peers;
use crate::store::{Feed, Store, StoreError};

/// Prefix of crash records' keys in the members feed. Names of VMs contain no slash.
pub(crate) const KEY_PREFIX: &str = "ended/";
/// Routers that each router forwards a hold to. With a fan-out of eight one router in 3,000 misses
/// the announcement, and one in fifty if half of the calls fail.
pub const GOSSIP_FANOUT: usize = 8;
/// Number of gossip rounds per router, each to other routers, so that one round reaches routers
/// that the previous one missed.
pub const GOSSIP_ROUNDS: u32 = 3;
/// Delay before a round, multiplied by the number of rounds so far.
const ROUND_DELAY: Duration = Duration::from_millis(250);
/// Timeout of a call to a peer. Opening a link takes a few milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of crashes written to the store.
const MAX_WRITTEN: usize = 32;
/// Delay after a failed write to the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Sends announcements until the task is aborted.
pub(crate) async fn run(
    quarantine: Arc<Quarantine>,
    peers: Arc<Peers>,
    store: Arc<dyn Store>,
    partition: u32,
) {
    let mut calls = JoinSet::new();
    let undelivered = watch::Sender::new(Vec::new());
    let writer = Writer {
        store,
        partition,
        key: format!("{KEY_PREFIX}{}", quarantine.vm),
        producer: format!("{}/{:016x}/ended", quarantine.vm, rand::random::<u64>()),
        sequence: 0,
    };
    calls.spawn(writer.run(undelivered.subscribe(), Arc::clone(&quarantine)));
    loop {
        let outbox = quarantine.take_outbox().await;
        while calls.try_join_next().is_some() {}
        let has_changed = !outbox.held.is_empty() || !outbox.completed.is_empty();
        if has_changed && peers.is_observer() {
            // Rewrite the record, which contains the current holds.
            undelivered.send_modify(|_| {});
        }
        let announcement = announce(
            Arc::clone(&quarantine),
            Arc::clone(&peers),
            outbox,
            undelivered.clone(),
        );
        calls.spawn(announcement);
    }
}

async fn announce(
    quarantine: Arc<Quarantine>,
    peers: Arc<Peers>,
    outbox: Outbox,
    undelivered: watch::Sender<Vec<ServerCrash>>,
) {
    let clock = &*quarantine.clock;
    if !outbox.crashes.is_empty() || !outbox.completed.is_empty() {
        let message = encode(clock, &outbox.crashes, &outbox.completed);
        let is_delivered = inform_observers(&quarantine, &peers, &message).await;
        let is_small = !peers.is_large();
        if (is_small || !is_delivered) && !outbox.crashes.is_empty() {
            // Routers that couldn't be reached directly, or that aren't known here yet, read the
            // crashes from the store.
            undelivered.send_modify(|crashes| add_undelivered(crashes, &outbox.crashes));
        }
    }
    // Each router forwards only what is new to it, so the gossip terminates.
    let evidence: Vec<ServerCrash> = outbox.held.iter().flat_map(HeldRequest::evidence).collect();
    let has_update = !evidence.is_empty() || !outbox.completed.is_empty();
    if has_update && peers.is_large() {
        let message = encode(clock, &evidence, &outbox.completed);
        for round in 0..GOSSIP_ROUNDS {
            sleep(ROUND_DELAY * round).await;
            send(&quarantine, &peers, peers.sample(GOSSIP_FANOUT), &message).await;
        }
    }
}

/// Sends to the observers, and to further candidates in place of those that can't be reached.
/// Returns whether enough routers received it.
async fn inform_observers(quarantine: &Quarantine, peers: &Peers, message: &Ends) -> bool {
    let candidates = peers.observers();
    let wanted = if peers.is_large() {
        OBSERVERS
    } else {
        candidates.len()
    };
    let mut candidates = candidates.into_iter();
    let mut informed = 0;
    while informed < wanted {
        let batch: Vec<VmName> = candidates.by_ref().take(wanted - informed).collect();
        if batch.is_empty() {
            return false;
        }
        informed += send(quarantine, peers, batch, message).await;
    }
    true
}

/// Adds crashes to those that some router hasn't received. Keeps the newest ones.
fn add_undelivered(undelivered: &mut Vec<ServerCrash>, crashes: &[ServerCrash]) {
    undelivered.extend(crashes.iter().cloned());
    let excess = undelivered.len().saturating_sub(MAX_WRITTEN);
    undelivered.drain(..excess);
}

/// Sends to each of `vms`. Returns how many received it.
async fn send(quarantine: &Quarantine, peers: &Peers, vms: Vec<VmName>, message: &Ends) -> usize {
    let calls = vms
        .iter()
        .map(|vm| call(quarantine, peers, vm, message.clone()));
    let received = join_all(calls).await;
    received.into_iter().filter(|received| *received).count()
}

async fn call(quarantine: &Quarantine, peers: &Peers, vm: &VmName, message: Ends) -> bool {
    let kind = request::Kind::Ends(message);
    match peers.connect_and_call(vm, kind, CALL_TIMEOUT).await {
        Ok(reply::Kind::Noted(_)) => true,
        Ok(reply::Kind::Ends(known)) => {
            receive(quarantine, vm.as_str(), &known);
            true
        }
        Ok(_) => {
            event!(
                warn,
                "crashes.not_sent",
                peer = vm,
                reason = "unexpected reply"
            );
            false
        }
        // The link itself reports that it is down.
        Err(LinkError::Down) => false,
        Err(error) => {
            event!(info, "crashes.not_sent", peer = vm, reason = error);
            false
        }
    }
}

/// Applies a router's announcement.
pub(crate) fn receive(quarantine: &Quarantine, from: &str, message: &Ends) {
    receive_delayed(quarantine, from, message, 0);
}

/// Applies an announcement made `delay` milliseconds ago.
fn receive_delayed(quarantine: &Quarantine, from: &str, message: &Ends, delay: u64) {
    let now = quarantine.clock.steady();
    for end in &message.ends {
        match decode(end, now.saturating_sub(end.age_ms.saturating_add(delay))) {
            Some(crash) => quarantine.add_crash(&crash),
            None => event!(warn, "crashes.unreadable", from = from),
        }
    }
    for bytes in &message.served {
        let Ok(fingerprint) = Fingerprint::try_from(&bytes[..]) else {
            event!(warn, "crashes.unreadable", from = from);
            continue;
        };
        if quarantine.clear(fingerprint, now.saturating_sub(delay)) == Clearance::Hold {
            quarantine.announce_completed(fingerprint);
        }
    }
}

/// Applies a router's announcement. Replies with the crashes that the reported requests are held
/// for here, since the sender of a held request hasn't received the hold.
pub(crate) fn reply_to(quarantine: &Quarantine, from: &str, message: &Ends) -> Option<Ends> {
    receive(quarantine, from, message);
    let crashes: Vec<ServerCrash> = message
        .ends
        .iter()
        .filter_map(|end| decode(end, 0))
        .collect();
    let evidence = quarantine.evidence_for(&crashes);
    (!evidence.is_empty()).then(|| encode(&*quarantine.clock, &evidence, &[]))
}

/// Applies a record of the members feed.
pub(crate) fn receive_record(quarantine: &Quarantine, key: &str, value: &Bytes) {
    match Ends::decode(value.clone()) {
        Ok(message) => {
            // The wall clock may have jumped on either side. A record from the future counts as
            // new.
            let wall = quarantine.clock.read().wall;
            let delay = wall.saturating_sub(message.wall_ms);
            receive_delayed(quarantine, key, &message, delay);
        }
        Err(error) => event!(error, "crashes.unreadable", from = key, error = error),
    }
}

fn decode(end: &ServerEnd, at: u64) -> Option<ServerCrash> {
    let fingerprints = end.prints.iter().map(|bytes| (&bytes[..]).try_into());
    let fingerprints: Result<HashSet<Fingerprint>, _> = fingerprints.collect();
    let seen_by = end.seen_by.iter().map(|vm| VmName::from(vm.as_str()));
    Some(ServerCrash {
        instance: ServerInstance::new(ServerName::from(end.server.as_str()), end.born),
        at,
        fingerprints: fingerprints.ok()?,
        seen_by: seen_by.collect::<BTreeSet<VmName>>(),
    })
}

fn encode(clock: &dyn Clock, crashes: &[ServerCrash], completed: &[Fingerprint]) -> Ends {
    let now = clock.read();
    let ends = crashes.iter().map(|crash| ServerEnd {
        server: crash.instance.name.to_string(),
        born: crash.instance.started,
        age_ms: now.steady.saturating_sub(crash.at),
        prints: crash
            .fingerprints
            .iter()
            .map(|fingerprint| fingerprint.as_bytes().to_vec())
            .collect(),
        seen_by: crash.seen_by.iter().map(VmName::to_string).collect(),
    });
    Ends {
        ends: ends.collect(),
        served: completed
            .iter()
            .map(|fingerprint| fingerprint.as_bytes().to_vec())
            .collect(),
        wall_ms: now.wall,
    }
}

/// Writes this VM's crash record to the store.
struct Writer {
    store: Arc<dyn Store>,
    /// Partition of the members feed.
    partition: u32,
    key: String,
    producer: String,
    sequence: u64,
}

impl Writer {
    /// Writes the crashes behind current holds and those that some router hasn't received, whenever
    /// they change or the store comes back from an older copy, until the task is aborted.
    async fn run(
        mut self,
        mut undelivered: watch::Receiver<Vec<ServerCrash>>,
        quarantine: Arc<Quarantine>,
    ) {
        let mut era = self.store.era();
        loop {
            tokio::select! {
                Ok(()) = undelivered.changed() => {}
                Ok(()) = era.changed() => {
                    if self.sequence == 0 {
                        continue;
                    }
                }
                else => return,
            }
            let mut crashes = quarantine.evidence();
            crashes.extend(undelivered.borrow_and_update().iter().cloned());
            crashes.truncate(MAX_WRITTEN);
            let record = encode(&*quarantine.clock, &crashes, &[]).encode_to_vec();
            self.sequence += 1;
            while let Err(error) = self.write(&record).await {
                event!(info, "crashes.not_written", error = error);
                sleep(RETRY_DELAY).await;
            }
        }
    }

    async fn write(&self, record: &[u8]) -> Result<u64, StoreError> {
        let record = (self.key.clone(), Bytes::copy_from_slice(record));
        self.store
            .append_next(
                Feed::Members(self.partition),
                &self.producer,
                self.sequence,
                record,
            )
            .await
    }
}
