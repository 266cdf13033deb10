//! Exchange of updates about backend servers between routers, so that each router knows the load
//! that the prompts of all routers put on the servers, and not only its own.
//!
//! In a small fleet each router sends what has changed to all peers, at most ten times a second,
//! and no request waits for it. A router that receives nothing relies on its own requests.

use std::sync::Arc;
use std::time::Duration;

use swiftlink_link::LinkError;
use swiftlink_routing::{ServerUpdate, StreamGaps};
use swiftlink_telemetry::event;
use swiftlink_types::{PoolName, ServerInstance, ServerName, VmName};
use swiftlink_wire::link::{Flow as FlowMessage, Notes, ServerNote, reply, request};
use tokio::task::JoinSet;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Pools;
use crate::node::Node;
use crate::peers::Peers;
use crate::quota::PeerClient;

/// Minimum time between two rounds of updates. The prefill of a long prompt takes a few hundred
/// milliseconds, so most updates still arrive in time to be useful.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of peers that updates are exchanged with; routers of larger fleets send none.
/// With 86 routers that sent to 8 peers each, twice as many tokens were prefilled again: each
/// router learned of a small part of the requests, and routers that knew of different parts sent
/// the same prefix to different servers.
pub(crate) const MAX_PEERS: usize = 16;
/// Maximum time for a peer's reply; a link without one is reconnected.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends updates to peers until the task is aborted.
pub(crate) async fn run(node: Arc<Node>, peers: Arc<Peers>) {
    let changed = node.pools.changed();
    let mut calls = JoinSet::new();
    loop {
        changed.notified().await;
        let servers = collect(&node.pools);
        let vms = peers.all();
        if !servers.is_empty() && vms.len() <= MAX_PEERS {
            for vm in vms {
                let updates = Notes {
                    servers: servers.clone(),
                };
                calls.spawn(send(Arc::clone(&peers), vm, updates));
            }
        }
        sleep(SEND_INTERVAL).await;
        while calls.try_join_next().is_some() {}
    }
}

async fn send(peers: Arc<Peers>, vm: VmName, updates: Notes) {
    let kind = request::Kind::Notes(updates);
    match peers.call(&vm, kind, REPLY_TIMEOUT).await {
        Ok(reply::Kind::Noted(_)) => {}
        Ok(_) => event!(
            warn,
            "server_update.lost",
            peer = vm,
            reason = "unexpected reply"
        ),
        // The next update supersedes this one, and a link that is down is logged elsewhere.
        Err(LinkError::Down) => {}
        Err(error) => event!(debug, "server_update.lost", peer = vm, reason = error),
    }
}

/// Takes the pending updates of all pools.
fn collect(pools: &Pools) -> Vec<ServerNote> {
    let mut all = Vec::new();
    for pool in pools.all() {
        for update in pool.take_updates() {
            all.push(message(&pool.name, update));
        }
    }
    all
}

fn message(pool: &PoolName, update: ServerUpdate) -> ServerNote {
    let gaps = update.gaps.iter().map(|stream| FlowMessage {
        gap: stream.gap,
        longest: stream.longest,
    });
    ServerNote {
        pool: pool.to_string(),
        server: update.server.name.to_string(),
        born: update.server.started,
        unread: update.backlog,
        flows: gaps.collect(),
        prefixes: update.prefixes,
    }
}

/// Applies a peer's updates. Those of unknown pools or servers are dropped: the peer has a newer
/// configuration.
pub(crate) fn apply(pools: &Pools, peer: &str, updates: Notes) {
    let peer = xxh3_64(peer.as_bytes());
    for message in updates.servers {
        let Some(pool) = pools.get(&PoolName::from(message.pool.as_str())) else {
            continue;
        };
        let gaps = message.flows.iter().map(|stream| StreamGaps {
            gap: stream.gap,
            longest: stream.longest,
        });
        let update = ServerUpdate {
            server: ServerInstance::new(ServerName::from(message.server.as_str()), message.born),
            backlog: message.unread,
            gaps: gaps.collect(),
            prefixes: message.prefixes,
        };
        pool.on_peer_update(peer, &update);
    }
}
