//! What routers tell each other of the backend servers, so that each knows what the prompts of
//! all have made of them, and not of its own requests alone.
//!
//! Each router sends what has changed to all peers of a small fleet, at most ten times a
//! second; nobody waits for it. A router that hears nothing goes by its own requests.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::LinkError;
use swiftlink_routing::{Flow, Note};
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, ServerInstance, ServerName, VmName};
use swiftlink_wire::link::{Flow as FlowMessage, Notes, ServerNote, reply, request};
use tokio::task::JoinSet;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Pools;
use crate::node::Node;
use crate::peers::Peers;
use crate::rights::Calls;

/// Shortest time between two notes. Long prompts are read in a few hundred milliseconds, so most
/// news comes while it is of use.
const PAUSE: Duration = Duration::from_millis(100);
/// Peers that are told. Routers of larger fleets tell nobody: each would hear of a small part
/// of the requests only, and those that know different parts send the same prefix to different
/// servers (measured with 86 routers that told 8 each: twice as many tokens were read again).
pub(crate) const TOLD: usize = 16;
/// Longest time for a peer's answer; a link that is silent for so long is opened anew.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Tells peers until the task is aborted.
pub(crate) async fn run(node: Arc<Node>, peers: Arc<Peers>) {
    let changed = node.pools.changed();
    let mut calls = JoinSet::new();
    loop {
        changed.notified().await;
        let servers = notes(&node.pools);
        let told = peers.all();
        if !servers.is_empty() && told.len() <= TOLD {
            for vm in told {
                let notes = Notes {
                    servers: servers.clone(),
                };
                calls.spawn(tell(Arc::clone(&peers), vm, notes));
            }
        }
        sleep(PAUSE).await;
        while calls.try_join_next().is_some() {}
    }
}

async fn tell(peers: Arc<Peers>, vm: VmName, notes: Notes) {
    let kind = request::Kind::Notes(notes);
    match peers.call(&vm, kind, ANSWER_TIME).await {
        Ok(reply::Kind::Noted(_)) => {}
        Ok(_) => event!(warn, "note.lost", peer = vm, reason = "wrong reply"),
        // The next note has what counts; a link that is down is told of elsewhere.
        Err(LinkError::Down) => {}
        Err(error) => event!(debug, "note.lost", peer = vm, reason = error),
    }
}

/// News of all pools.
fn notes(pools: &Pools) -> Vec<ServerNote> {
    let mut all = Vec::new();
    for pool in pools.all() {
        for note in pool.take_updates() {
            all.push(message(&pool.name, note));
        }
    }
    all
}

fn message(pool: &PoolName, note: Note) -> ServerNote {
    let flows = note.flows.iter().map(|flow| FlowMessage {
        gap: flow.gap,
        longest: flow.longest,
    });
    ServerNote {
        pool: pool.to_string(),
        server: note.server.name.to_string(),
        born: note.server.started,
        unread: note.unread,
        flows: flows.collect(),
        prefixes: note.prefixes,
    }
}

/// Takes a peer's notes. Those of pools or servers that aren't known here are dropped: the
/// peer has a newer configuration.
pub(crate) fn take(pools: &Pools, peer: &str, notes: Notes) {
    let peer = xxh3_64(peer.as_bytes());
    for note in notes.servers {
        let Some(pool) = pools.get(&PoolName::from(note.pool.as_str())) else {
            continue;
        };
        let flows = note.flows.iter().map(|flow| Flow {
            gap: flow.gap,
            longest: flow.longest,
        });
        let note = Note {
            server: ServerInstance::new(ServerName::from(note.server.as_str()), note.born),
            unread: note.unread,
            flows: flows.collect(),
            prefixes: note.prefixes,
        };
        pool.on_peer_update(peer, &note);
    }
}
