//! Whether a server has ended whose connection broke in the middle of an answer.
//!
//! A broken connection alone doesn't say so: servers cut answers off, and links reset connections,
//! while the server goes on. One that has ended has nobody at its address, so a connection is
//! tried, once for all sends that broke at the same time. One that doesn't answer may be cut off
//! or have lost power, which no request is the cause of.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use swiftlink_telemetry::event;
use swiftlink_types::{Start, VmName};
use tokio::task::JoinSet;

use super::{Break, Quarantine, ServerEnd};
use crate::fingerprint::Fingerprint;
use crate::upstream::{self, ListenerState};

/// Servers whose end is remembered here, for sends that are found broken a little later.
const ENDED_MAX: usize = 64;

/// What is known of the servers of broken sends.
#[derive(Debug, Default)]
struct Servers {
    /// Those that are being asked for, with the requests that broke there.
    asked: HashMap<Start, HashSet<Fingerprint>>,
    /// When those that have ended did, in the order in which that was found.
    ended: Vec<(Start, u64)>,
}

impl Servers {
    fn ended_at(&self, start: &Start) -> Option<u64> {
        let known = self.ended.iter().find(|(one, _)| one == start)?;
        Some(known.1)
    }

    fn note_ended(&mut self, start: Start, at: u64) {
        if self.ended.len() >= ENDED_MAX {
            self.ended.remove(0);
        }
        self.ended.push((start, at));
    }
}

/// Looks into breaks until the task is aborted.
pub(crate) async fn watch(quarantine: Arc<Quarantine>) {
    let mut servers = Servers::default();
    let mut asking = JoinSet::new();
    loop {
        tokio::select! {
            () = quarantine.broken.notified() => {}
            Some(answer) = asking.join_next() => {
                if let Ok((start, presence)) = answer {
                    conclude(&quarantine, &mut servers, start, presence);
                }
            }
        }
        for broken in quarantine.take_breaks() {
            look_into(&quarantine, &mut servers, &mut asking, &broken);
        }
    }
}

fn look_into(
    quarantine: &Quarantine,
    servers: &mut Servers,
    asking: &mut JoinSet<(Start, ListenerState)>,
    broken: &Break,
) {
    let start = &broken.server.start;
    if let Some(at) = servers.ended_at(start) {
        let prints = HashSet::from([broken.print]);
        quarantine.on_end(&seen(quarantine.vm.clone(), start.clone(), at, prints));
        return;
    }
    if let Some(prints) = servers.asked.get_mut(start) {
        prints.insert(broken.print);
        return;
    }
    servers
        .asked
        .insert(start.clone(), HashSet::from([broken.print]));
    let (endpoint, start) = (broken.into(), start.clone());
    asking.spawn(async move { (start, upstream::probe(endpoint).await) });
}

fn conclude(quarantine: &Quarantine, servers: &mut Servers, start: Start, presence: ListenerState) {
    let Some(prints) = servers.asked.remove(&start) else {
        return;
    };
    if presence != ListenerState::Refused {
        return;
    }
    let now = quarantine.clock.steady();
    event!(
        info,
        "server.ended",
        server = start.name,
        requests = prints.len()
    );
    servers.note_ended(start.clone(), now);
    quarantine.on_end(&seen(quarantine.vm.clone(), start, now, prints));
}

fn seen(vm: VmName, start: Start, at: u64, prints: HashSet<Fingerprint>) -> ServerEnd {
    ServerEnd {
        start,
        at,
        prints,
        seen_by: BTreeSet::from([vm]),
    }
}
